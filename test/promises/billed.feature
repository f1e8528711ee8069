Feature: Each request is billed once
  A bill goes from the agent that ran the request through an entry into the
  ledger. Each of these may fail, and a sender that doesn't know whether a bill
  arrived sends it again.

  Scenario: An entry dies in an outage of the object API with unwritten bills
    The object API is down, so bills wait in the entry's memory when it is
    killed. Callers have their answers already. Once the object API is back,
    the agents send the bills to another entry, and each request is billed once.

    Given two entries and an engine in each of two failure domains
    When the object API goes down
    And six questions come to entry 0
    And every caller has an answer
    And entry 0 is killed
    And the object API comes back
    Then each caller got its own whole answer
    And every answer, refusal and bill is correct

  Scenario: The answers to writes of the ledger get lost
    Each write to the ledger takes effect, but the entry sees a failure. It
    writes again, and the totals must not count the bills twice.

    Given two entries and an engine in each of two failure domains
    When the answers to the next 6 writes get lost
    And six questions come to entry 0
    And every caller has an answer
    Then each caller got its own whole answer
    And every answer, refusal and bill is correct

  Scenario: A live entry is taken for dead
    An entry has written its bills, but its confirmations to the agents are lost.
    It is cut off from the agents and the instance list drops it, so they send the
    same bills to another entry. No organisation pays twice.

    Given two entries and an engine in each of two failure domains
    When the agents receive no confirmation of written bills
    And six questions come to entry 0
    And every caller has an answer
    And all bills of entry 0 are written
    And the instance list drops entry 0, which is cut off from the agents
    Then each caller got its own whole answer
    And every answer, refusal and bill is correct

  Scenario: An agent dies in an outage of the object API
    The agent has sent its bills to the entry, which can't write them yet. Then
    the agent is killed. Once the object API is back, each request is billed once.

    Given two entries and one engine
    When the object API goes down
    And six questions come to entry 0
    And every caller has an answer
    And the agent is killed
    And the object API comes back
    Then each caller got its own whole answer
    And every answer, refusal and bill is correct

  Scenario: An engine crashes and its requests are run again
    A request that failed at one engine before its caller got a byte is run at
    another engine. It is billed once.

    Given two entries and an engine in each of two failure domains
    When twelve unstreamed questions come to both entries
    And an engine crashes that runs some of them
    And every caller has an answer
    Then every answer, refusal and bill is correct

  Scenario: All entries are gone when an agent is stopped
    The object API is down when the answers end. Then every entry is killed, and
    an agent that still holds the bills is told to stop. No entry comes back
    within its grace period. Callers have their answers, and each request is
    billed.

    Given two entries and one engine
    When the object API goes down
    And six questions come to entry 0
    And every caller has an answer
    And both entries are killed
    And the object API comes back
    And the agent is stopped and finds no entry in its grace period
    Then each caller got its own whole answer
    And every answer, refusal and bill is correct
