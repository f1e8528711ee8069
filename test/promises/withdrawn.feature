Feature: A withdrawn version gets no new work
  Operators withdraw a version that turned bad. A request for it that has not
  started yet must not start, however the withdrawal meets it on its way.

  Scenario: A version is withdrawn while requests for it wait at an agent
    The engine is busy, so requests for a version queue at its agent. Then the
    version is withdrawn. Those that wait are told at once that the version is
    withdrawn and that they were not run; the one that runs ends whole.

    Given two entries and one engine that runs one request at a time
    When a request for tutor/2 runs and three more wait
    And tutor/2 is withdrawn
    And the engine goes on
    Then the three were refused as withdrawn and not run
    And the engine was given tutor/2 once
    And every answer, refusal and bill is true

  Scenario: An agent is frozen while the version is withdrawn
    An agent's instance stands still, and the news of the withdrawal waits in
    its socket. When it wakes, its queue looks as it did and there is room at
    the engine. Nobody gets an answer of the withdrawn version.

    Given two entries and one engine that runs one request at a time
    When a request for tutor/2 runs and three more wait
    And the agent freezes
    And tutor/2 is withdrawn
    And the agent wakes, reads no message yet, and the engine goes on
    And the agent reads its messages
    Then the three were refused as withdrawn and not run
    And the engine was given tutor/2 once
    And every answer, refusal and bill is true

  Scenario: An agent stays in doubt after a pause
    The agent wakes, and the answers to its question are held up on their way,
    while requests reach it. It doesn't know what is in force and holds each for a
    second, but the entries know that the version is withdrawn, and tell callers.

    Given two entries and one engine that runs one request at a time
    When a request for tutor/2 runs and three more wait
    And the agent freezes
    And tutor/2 is withdrawn
    And the agent wakes, reads requests only, and the engine goes on
    Then the three were refused as withdrawn and not run
    And the engine was given tutor/2 once
    And the agent reads its messages
    And every answer, refusal and bill is true

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
    And every answer, refusal and bill is true
