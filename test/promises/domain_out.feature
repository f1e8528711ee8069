Feature: A failure domain that is out gets no new work
  Operators take a failure domain out of service, for example before its power is
  cut. A request that starts there a few seconds later would be lost.

  Scenario: A domain is taken out while requests wait at its agent
    Engines in both failure domains are busy and requests wait at their agents
    when one domain is taken out. The requests that run there finish, and those
    that wait there are answered by the other domain. Callers notice nothing.

    Given two entries and two engines that run one request at a time
    When requests run and wait at both engines
    And the domain east is taken out
    And the engines resume
    Then the engine in the east was given one request
    And each caller got its own whole answer
    And every answer, refusal and bill is correct

  Scenario: The operator's answer is lost and an entry is killed
    The object API's answers to the operator's change get lost, so the operator
    retries it. Then an entry is killed. From then on all requests go to the other
    domain.

    Given two entries and an engine in each of two failure domains
    When the answers to the next 3 writes get lost
    And the domain east is taken out
    And entry 0 is killed
    And eight questions come to entry 1
    Then the engines in the east were given nothing
    And each caller got its own whole answer
    And every answer, refusal and bill is correct

  Scenario: The last domain is taken out, and one comes back
    With no domain in service no request may run. Callers are told that their
    requests were not run and when to retry. Once a domain is back they are
    served.

    Given two entries and an engine in each of two failure domains
    When the domain east is taken out
    And the domain west is taken out
    And eight questions come to entry 1
    Then each was refused because the domains are out, not run
    And the engines in the east were given nothing
    When the domain west is brought back
    And eight questions come to entry 1
    Then the last eight got their whole answers
    And the engines in the east were given nothing
    And every answer, refusal and bill is correct
