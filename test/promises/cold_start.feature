Feature: An endpoint in a cold start gets no more than it bears
  An engine that has just started falls over under full load, and all that it
  runs is lost. Callers then see errors, send again, and it falls over again.

  Scenario: A burst meets an engine and an agent that have just started
    A whole class of candidates asks at the same moment, right after the engine
    came up. The engine gets two requests at a time until it is warm, and all
    candidates get their answers.

    Given two entries and one engine in a cold start
    When sixteen questions come at once
    And every caller has an answer
    Then the engine never fell over
    And each caller got its own whole answer
    And every answer, refusal and bill is true

  Scenario: A warm engine crashes under full load and comes back cold
    The engine crashes without warning while it runs eight requests. It comes
    back within a second, cold, and the callers, who were cut off, send again all
    at once. The engine stays up.

    Given two entries and one engine in a cold start
    When the engine has become warm
    And sixteen long questions come and eight of them run
    And the engine crashes
    And the engine is up again and sixteen questions come at once
    And every caller has an answer
    Then the engine never fell over
    And every answer, refusal and bill is true

  Scenario: The engine crashes and its agent is lost with it
    The instance restarts as a whole, so the agent knows nothing of the engine
    before. It gives the engine only what a cold one bears.

    Given two entries and one engine in a cold start
    When the engine has become warm
    And sixteen long questions come and eight of them run
    And the engine crashes and its agent is replaced
    And the engine is up again and sixteen questions come at once
    And every caller has an answer
    Then the engine never fell over
    And every answer, refusal and bill is true

  Scenario: An idle engine turns cold just before a burst
    The engine restarts while nothing runs, between two looks at its health, and
    a whole class of candidates asks right after. It gets no more than it bears.

    Given two entries and one engine in a cold start
    When the engine has become warm
    And the engine turns cold and sixteen questions come at once
    And every caller has an answer
    Then the engine never fell over
    And each caller got its own whole answer
    And every answer, refusal and bill is true

  Scenario: A poison request crashes each engine that runs it
    One request crashes the engine. Its caller sends it again and again, through
    both entries. After it has crashed a few engines it is refused; the engines
    never fall over for load, and others are served in the end.

    Given two entries and an engine in each of two failure domains
    When a poison request is sent five times while others ask
    Then the poison request crashed at most four engines
    And the engine never fell over
    And every answer, refusal and bill is true
