Feature: A refusal that says "not run" is true
  A caller that is told "not run" retries at once and expects no duplicate effect.
  So a request that was refused as "not run" must never have run.

  Scenario: A request reaches its agent after its caller was told "not run"
    The message that starts a request is delayed on its way to the agent. At the
    caller's deadline the entry withdraws the request, the agent records a
    tombstone so that the request never starts, and the caller is told that it was
    not run. Then the delayed message arrives.

    Given two entries and one engine
    When a question with a deadline of one second is delayed on its way
    And its caller has an answer
    And the delayed question arrives at the agent
    Then the caller was told that the question was not run
    And the engine was never given the question
    And every answer, refusal and bill is correct

  Scenario: Engines crash under requests and second attempts are refused
    Both engines crash, and the entries don't know that yet when they retry the
    requests. The second attempts are refused. Callers whose request ran in the
    first attempt must not be told that it was not run.

    Given two entries and two engines that stay down after a crash
    When requests run and wait at both engines
    And the agents' load reports are lost
    And both engines crash
    Then the callers whose requests ran were told so
    And every answer, refusal and bill is correct

  Scenario: An agent is killed and the object API goes down under overload
    More requests come than the engines can serve before their deadlines, an
    agent is killed and replaced, and the object API is down for a while. Many
    callers are refused, and each is told correctly whether its request ran.

    Given two entries and two engines that run one request at a time
    When forty questions with short deadlines come to both entries
    And the object API goes down
    And an agent is killed and replaced
    And the object API comes back
    Then some were refused as not run with a Retry-After
    And every answer, refusal and bill is correct
