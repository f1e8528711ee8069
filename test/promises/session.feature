Feature: A session keeps its version
  A candidate's conversation is scored by one version from start to end. The
  model has two versions in service, and each new session gets one of them.

  Scenario: Two entries see a new session at the same moment
    A client opens two connections at once, and the load balancer sends them to
    two entries. Neither entry knows which version the other chose, and the object
    API is slow. All requests of the session get the same version.

    Given two entries and an engine in each of two failure domains
    When the object API is slow
    And each of twelve sessions asks through both entries at once
    Then each session got one version
    And every answer, refusal and bill is correct

  Scenario: The entry that pinned the sessions is killed after lost answers
    The object API's answers to the writes of the pins get lost, then the entry
    is killed. The sessions continue through the other entry and keep their
    versions.

    Given two entries and an engine in each of two failure domains
    When the answers to the next 30 writes get lost
    And each of twelve sessions asks through entry 0
    And every caller has an answer
    And entry 0 is killed
    And each of twelve sessions asks through entry 1
    Then each session got one version
    And every answer, refusal and bill is correct

  Scenario: The object API is down when a session asks at another entry
    The other entry can't read the session's pin. A caller that sends the token of
    its session is served by the pinned version. A caller that doesn't send it is
    told that the request was not run and when to retry.

    Given two entries and an engine in each of two failure domains
    When a session asks through entry 0 and keeps its token
    And the object API goes down
    And the session asks through entry 1 with its token and without
    Then the request with the token got the session's version
    And the request without was refused as not run with a Retry-After
    And the object API comes back
    And every answer, refusal and bill is correct

  Scenario: A session's version is withdrawn
    The withdrawal overrides the pin. The caller is told that the version is
    withdrawn and that the request was not run. Its new session gets the other
    version.

    Given two entries and an engine in each of two failure domains
    When a session asks through entry 0 and keeps its token
    And the session's version is withdrawn
    And the session asks through entry 1 with its token and without
    Then both were refused because the session's version is withdrawn
    And every answer, refusal and bill is correct
