Feature: A request runs only on a permitted model and version
  An organisation pays for the versions that it is allowed, and its answers are
  certified for those. No failure may bring it an answer of another version.

  Scenario: The engine crashes that serves an organisation with one version
    A college may use one version of the model only. While its requests run, an
    engine crashes and an entry is killed, so that requests are retried elsewhere.
    Some callers see an error, but none gets another version.

    Given two entries and an engine in each of two failure domains
    When the college and the school ask twenty questions each
    And an engine crashes
    And entry 1 is killed
    And every caller has an answer
    Then no engine was given another version than tutor/1 for the college
    And every answer, refusal and bill is correct

  Scenario: An operator narrows what an organisation may use
    An operator no longer allows an organisation one of two versions, and the
    object API's answers to the change get lost. From then on requests for that
    version are refused, and all others get the remaining version.

    Given two entries and an engine in each of two failure domains
    When the answers to the next 2 writes get lost
    And the school is allowed tutor/1 only
    And it asks ten questions and one for tutor/2
    Then the one for tutor/2 was refused as not allowed and not run
    And no engine was given another version than tutor/1 for the school
    And every answer, refusal and bill is correct
