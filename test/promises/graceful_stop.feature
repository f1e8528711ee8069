Feature: A planned stop cuts no request
  Instances are replaced all day. A planned stop must affect neither callers nor
  bills.

  Scenario: An entry is stopped while it streams answers
    The platform replaces an entry that streams answers and has just received more
    questions. The entry answers all of them completely before it exits.

    Given two entries and an engine in each of two failure domains
    When eight long questions are being answered through both entries
    And entry 0 is stopped as planned, just after two more came to it
    Then each caller got its own whole answer
    And the stop has ended
    And every answer, refusal and bill is correct

  Scenario: An agent is stopped while its engine streams answers
    The platform replaces an endpoint. The requests that run there finish and are
    billed, and new questions go to the other endpoint.

    Given two entries and an engine in each of two failure domains
    When eight long questions are being answered through both entries
    And the agent in the east is stopped as planned, and two questions come
    Then each caller got its own whole answer
    And the stop has ended
    And every answer, refusal and bill is correct

  Scenario: An entry and an agent are stopped in an outage of the object API
    Both are replaced while bills can't be written. Callers get their answers, the
    stop waits for the object API, and each request is billed once.

    Given two entries and an engine in each of two failure domains
    When eight long questions are being answered through both entries
    And the object API goes down
    And entry 0 and the agent in the east are stopped as planned
    And every caller has an answer
    And the object API comes back
    Then each caller got its own whole answer
    And the stop has ended
    And every answer, refusal and bill is correct
