Feature: A caller gets the whole answer to its own request
  Tokens go from an engine through an agent and an entry to the caller. A batch of
  messages carries the tokens of many answers. Messages that are lost, late,
  duplicated or out of order must not corrupt any caller's answer.

  Scenario: Batches are lost while answers are streamed
    A connection between agent and entry breaks again and again, so that some
    pieces of the answers never arrive. Callers wait a little longer and get every
    token once and in order.

    Given two entries and an engine in each of two failure domains
    When some pieces sent to entry 0 are lost
    And twelve questions come to entry 0
    Then each caller got its own whole answer
    And every answer, refusal and bill is correct

  Scenario: Batches come late, twice and out of order
    Each batch to the entry arrives after the next one, and both arrive twice.
    Callers still get every token once and in order, and no answer contains a
    token of another answer.

    Given two entries and an engine in each of two failure domains
    When batches to entry 0 arrive out of order and twice
    And twelve questions come to entry 0
    Then each caller got its own whole answer
    And every answer, refusal and bill is correct

  Scenario: An engine gives the answer of another request
    An engine mixes up two requests and answers one with the answer and the id of
    the other. No caller gets such an answer: the request is run elsewhere.

    Given two entries and an engine in each of two failure domains
    When the engine in the east answers with the id of another request
    And twelve questions come to entry 0
    Then no caller got an answer from the east
    And every answer, refusal and bill is correct

  Scenario: The engine ends its answers early and batches are lost
    The engine closes the connection in the middle of its answers as if they were
    complete, and some pieces are lost as well. A caller may see an error, but
    never a partial answer that looks complete.

    Given two entries and an engine in each of two failure domains
    When the engine in the east ends its answers early
    And some pieces sent to entry 0 are lost
    And twelve questions come to entry 0
    Then no partial answer looks complete
    And every answer, refusal and bill is correct

  Scenario: Batches are lost and the agent has no room to keep its answers
    Pieces are lost, and by the time the entry asks for them again the agent has
    dropped them to limit its memory use. The caller sees an error at once, not at
    its deadline, and never an answer with a gap.

    Given two entries and an engine in each of two failure domains
    When some pieces sent to entry 0 are lost
    And the missing pieces are not kept by the agents
    And twelve questions come to entry 0
    Then no partial answer looks complete
    And every caller was answered well before its deadline
    And every answer, refusal and bill is correct

  Scenario: Bills are settled while the entry still lacks pieces
    Pieces are lost, and the entry's requests for them are delayed. Meanwhile the
    bills of the answers are written and settled. Callers still get their whole
    answers.

    Given two entries and an engine in each of two failure domains
    When some pieces sent to entry 0 are lost
    And the entries' requests for missing pieces are delayed
    And twelve questions come to entry 0
    And all bills are settled
    And the links are restored
    Then each caller got its own whole answer
    And every answer, refusal and bill is correct
