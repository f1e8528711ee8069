Feature: A request that may not be repeated runs at most once
  A credential that is issued twice means two certificate numbers and a failed
  audit. A caller that saw no answer retries with the same idempotency key, and
  that must be safe.

  Scenario: The entry is killed while it issues a credential
    The caller's connection breaks, and it retries through the other entry at
    once. The credential is issued once, and both later requests get the same
    certificate.

    Given two entries and a credential service
    When a credential is being issued through entry 0
    And entry 0 is killed
    And the same credential is asked for through entry 1 twice
    Then the credential was issued once
    And the resends got the same answer
    And every answer, refusal and bill is correct

  Scenario: The same request comes through both entries at once
    A client library retries too early, and the load balancer sends the two
    requests to two entries at the same moment while the object API is slow.
    Both callers get the same certificate.

    Given two entries and a credential service
    When the object API is slow
    And the same credential is asked for through both entries at once
    Then the credential was issued once
    And the resends got the same answer
    And every answer, refusal and bill is correct

  Scenario: The service breaks off after it has issued the credential
    The service closes the connection after it has issued the credential and
    before it answers. The outcome can't be known, so the caller is told that it
    is unknown, and so is each resend. The credential is never issued again.

    Given two entries and a credential service
    When the service breaks off each answer after its effect
    And a credential is asked for through entry 0 and again through entry 1
    Then the credential was issued once
    And both were told that the outcome is unknown
    And every answer, refusal and bill is correct

  Scenario: The agent is killed and replaced while a credential is issued
    Only the agent could have learned the outcome of the request. The callers
    are told that the outcome is unknown, and the request is not run again.

    Given two entries and a credential service
    When a credential is being issued through entry 0
    And the agent is killed and replaced
    And the same credential is asked for through entry 1 again
    Then the credential was issued at most once
    And both were told that the outcome is unknown

  Scenario: The object API is down, then loses its answers
    Without a stored claim the request could run twice, so it is refused and not
    run. When the object API is back, its answers to the writes of claims get
    lost. The caller resends, and the credential is issued once.

    Given two entries and a credential service
    When the object API goes down
    And a credential is asked for through entry 0
    Then it was refused as not run with a Retry-After
    When the object API comes back
    And the answers to the next 4 writes get lost
    And the same credential is asked for until it is answered
    Then the credential was issued once
    And every answer, refusal and bill is correct

  Scenario: The message that starts the request comes late
    The message is delayed on its way to the agent. The entry asks the agent about
    the attempt, and the agent records a tombstone so that the attempt never
    starts. The entry then makes a second attempt. When the delayed message
    arrives, the agent must not run it.

    Given two entries and a credential service
    When the first message that starts a request is delayed
    And a credential is asked for through entry 0
    And the delayed message arrives
    Then the credential was issued once
    And every answer, refusal and bill is correct

  Scenario: The entry is killed and the object API is down at the resend
    Two failures at once: the entry that gets the resend can't read the claim. It
    refuses the resend as not run. Once the object API is back, the next resend
    gets the answer of the first run.

    Given two entries and a credential service
    When a credential is being issued through entry 0
    And the object API goes down
    And entry 0 is killed
    And the same credential is asked for through entry 1 again
    And the object API comes back
    And the same credential is asked for until it is answered
    Then the credential was issued once

  Scenario: An entry is frozen after it has claimed the request
    An entry freezes after it has claimed the request and before it dispatches it,
    and the caller resends through the other entry. The other entry learns that
    the first attempt never reached the agent, and takes over the claim. When the
    first entry resumes, the attempt that it sends must not run, and both callers
    get the same answer.

    Given two entries and a credential service
    When everything that entry 0 sends to the agent is delayed
    And a credential is claimed through entry 0
    And the same credential is asked for through entry 1 again
    And the delayed message arrives
    Then the credential was issued once
    And the resends got the same answer
    And every answer, refusal and bill is correct
