Feature: A withdrawn version gets no new work
  Operators withdraw a version that gives bad answers. A request for it that has
  not started yet must not start, wherever the request is at that time.

  Scenario: A version is withdrawn while requests for it wait at an agent
    The engine is busy, so requests for a version queue at its agent. Then the
    version is withdrawn. The queued requests are refused at once as withdrawn and
    not run, and the request that runs gets its whole answer.

    Given two entries and one engine that runs one request at a time
    When a request for tutor/2 runs and three more wait
    And tutor/2 is withdrawn
    And the engine resumes
    Then the three were refused as withdrawn and not run
    And the engine was given tutor/2 once
    And every answer, refusal and bill is correct

  Scenario: An agent is frozen while the version is withdrawn
    An agent's instance freezes, and the message about the withdrawal waits in its
    socket. When the agent resumes, its queue is unchanged and the engine has free
    slots. No queued request gets an answer of the withdrawn version.

    Given two entries and one engine that runs one request at a time
    When a request for tutor/2 runs and three more wait
    And the agent freezes
    And tutor/2 is withdrawn
    And the agent and the engine resume, but the agent reads no message yet
    And the agent reads its messages
    Then the three were refused as withdrawn and not run
    And the engine was given tutor/2 once
    And every answer, refusal and bill is correct

  Scenario: An agent can't confirm its configuration after a pause
    The agent resumes and asks for the current configuration. The answers are
    delayed while requests still reach it. It doesn't know what is in force and
    holds each request for a second, but the entries know that the version is
    withdrawn, and tell the callers.

    Given two entries and one engine that runs one request at a time
    When a request for tutor/2 runs and three more wait
    And the agent freezes
    And tutor/2 is withdrawn
    And the agent and the engine resume, but the agent reads requests only
    Then the three were refused as withdrawn and not run
    And the engine was given tutor/2 once
    And the agent reads its messages
    And every answer, refusal and bill is correct

  Scenario: An entry starts in an outage of the object API after a withdrawal
    A version is withdrawn, then the object API goes down and an entry is lost.
    The entry that replaces it learns the document from the other one and
    refuses the withdrawn version; callers see no gap in service.

    Given two entries and one engine
    When tutor/2 is withdrawn
    And the object API goes down
    And entry 0 is killed
    And another entry joins as entry 0
    And eight requests for tutor and one for tutor/2 come to entry 0
    Then the one for tutor/2 was refused and the others got tutor/1
    And the object API comes back
    And every answer, refusal and bill is correct
