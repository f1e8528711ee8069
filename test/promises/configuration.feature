Feature: An accepted configuration is in force everywhere and never reverts
  Teams change their sections at any time. A change that the command reported as
  accepted must be in force at all entries and agents within seconds, and stay in
  force.

  Scenario: Two teams apply their changes at the same moment
    One team withdraws a version while another takes a failure domain out, and
    the object API is slow. Both changes are accepted, both are in force, and
    neither undoes the other.

    Given two entries and an engine in each of two failure domains
    When two teams apply their changes at the same moment
    Then both changes have a revision of their own
    And both changes are in force everywhere
    And every answer, refusal and bill is correct

  Scenario: An old document arrives late
    A version is withdrawn. Then messages with the previous document arrive, which
    were delayed on their way to an entry and to an agent. Nothing reverts.

    Given two entries and one engine
    When tutor/2 is withdrawn and old copies arrive late
    Then tutor/2 is withdrawn at both entries and the agent
    And the links are restored
    And a question for tutor/2 is refused as withdrawn
    And every answer, refusal and bill is correct

  Scenario: An entry that is cut off from the object API learns from a peer
    A new entry can't reach the object API. An operator withdraws a version, and
    the object API's answers to the operator get lost. The entry learns both the
    document and the change from its peer within seconds.

    Given two entries and one engine
    When entry 0 is replaced by one that is cut off from the object API
    And the answers to the next 3 writes get lost
    And tutor/2 is withdrawn
    Then tutor/2 is withdrawn at both entries and the agent
    And a question for tutor/2 is refused as withdrawn
