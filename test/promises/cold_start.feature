Feature: An endpoint in a cold start gets no more requests than it can handle
  An engine that has just started falls over under full load, and every request
  that it runs fails. The callers retry, and it falls over again.

  Scenario: A burst meets an engine and an agent that have just started
    A whole class of candidates asks at the same moment, right after the engine
    came up. The engine gets two requests at a time until it is warm, and all
    candidates get their answers.

    Given two entries and one engine in a cold start
    When sixteen questions come at once
    And every caller has an answer
    Then the engine never fell over
    And each caller got its own whole answer
    And every answer, refusal and bill is correct

  Scenario: A warm engine crashes under full load and comes back cold
    The engine crashes without warning while it runs eight requests. It is up
    again within a second, but cold, and all callers that were cut off retry at
    once. The engine stays up.

    Given two entries and one engine in a cold start
    When the engine has become warm
    And sixteen long questions come and eight of them run
    And the engine crashes
    And the engine is up again and sixteen questions come at once
    And every caller has an answer
    Then the engine never fell over
    And every answer, refusal and bill is correct

  Scenario: The engine crashes and its agent is lost with it
    The whole instance restarts, so the new agent has no record of the engine. It
    gives the engine only as many requests as a cold engine can handle.

    Given two entries and one engine in a cold start
    When the engine has become warm
    And sixteen long questions come and eight of them run
    And the engine crashes and its agent is replaced
    And the engine is up again and sixteen questions come at once
    And every caller has an answer
    Then the engine never fell over
    And every answer, refusal and bill is correct

  Scenario: An idle engine turns cold just before a burst
    The engine restarts while nothing runs, between two health checks, and a whole
    class of candidates asks right after. The engine gets no more requests than it
    can handle.

    Given two entries and one engine in a cold start
    When the engine has become warm
    And the engine turns cold and sixteen questions come at once
    And every caller has an answer
    Then the engine never fell over
    And each caller got its own whole answer
    And every answer, refusal and bill is correct

  Scenario: A query of death crashes each engine that runs it
    The caller of this request sends it again and again, through both entries.
    After it has crashed a few engines it is refused. The engines never fall over
    under load, and the other callers are served in the end.

    Given two entries and an engine in each of two failure domains
    When a query of death is sent five times while others ask
    Then the query of death crashed engines at most four times
    And the engine never fell over
    And every answer, refusal and bill is correct
