Feature: A leaving endpoint gets no new work
  The platform removes instances at short notice. A request that starts at an
  endpoint which is about to be removed would be cut.

  Scenario: An agent is told to stop while requests wait at it
    The engine is busy and requests wait at its agent when the agent is told to
    stop. The request that runs finishes, and those that wait are answered by the
    other engine.

    Given two entries and two engines that run one request at a time
    When requests run and wait at both engines
    And the agent in the east is told to stop
    And the engines resume
    Then the engine in the east was given one request
    And each caller got its own whole answer
    And every answer, refusal and bill is correct

  Scenario: The instance list lags, and an entry is killed
    The platform marks an instance as leaving, and the instance list shows that
    only after a lag. Then an entry is killed. Once the list shows the instance as
    leaving, all new requests go to the other engine.

    Given two entries and two engines that run one request at a time
    When requests run and wait at both engines
    And the instance list marks the east as leaving, with a lag
    And entry 0 is killed
    And the engines resume
    And eight questions come to entry 1
    Then the engine in the east was given one request
    And every answer, refusal and bill is correct

  Scenario: An operator drains an endpoint and the object API goes down
    The document marks the endpoint as draining, then the object API goes down. The
    agents and all entries have that document already: no request starts there.

    Given two entries and two engines that run one request at a time
    When requests run and wait at both engines
    And an operator drains the engine in the east
    And the object API goes down
    And the engines resume
    And eight questions come to entry 1
    And the object API comes back
    Then the engine in the east was given one request
    And every answer, refusal and bill is correct
