"""The messages that entries and agents send each other.

All messages are msgspec structs, encoded as MessagePack arrays with a tag.  Times
in messages are durations in seconds, never points in time, because instances don't
share a clock.
"""

import enum

import msgspec

PROTOCOL = 1

# The size of a body whose entry doesn't tell it.
UNKNOWN_SIZE = -1


class Message(msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=True):
    """Base class of all messages; a message is tagged with its class name."""


class Facts(Message, kw_only=True):
    """The part of the document that an agent needs.

    `withdrawn` holds version names, `domains_out` domain names and
    `endpoints_out` endpoint names.  `weights` holds the share of each
    organisation whose share differs from one, and `costs` the cost of each of the
    pool's versions.  `concurrency` and `cold_concurrency` are those of the
    receiver's pool.
    """

    revision: int
    withdrawn: tuple[str, ...] = ()
    domains_out: tuple[str, ...] = ()
    endpoints_out: tuple[str, ...] = ()
    weights: dict[str, float] = {}
    serves: tuple[str, ...] = ()
    service: str = ""
    concurrency: int = 16
    cold_concurrency: int = 2
    quarantined: tuple[str, ...] = ()
    costs: dict[str, float] = {}


class FactsKept(Message, kw_only=True):
    """The facts of revision `since` still hold at `revision`.

    Most changes of the document don't affect the facts of a pool's agents.
    """

    revision: int
    since: int


class Start(Message, kw_only=True):
    """Ask an agent to run one attempt.

    `attempt` names this attempt and is never reused; `request` names the caller's
    request, which is what is billed.  `agent` is the incarnation for which the
    message is meant: a restarted agent refuses it, because it can't know what the
    earlier incarnation did with it.  `ledger` names the entry's ledger that gets
    the attempt's bill.  `step` is the rung of a cascade: of several attempts at
    one step of a request only one is billed.  `within` is the number of seconds
    until the caller's deadline.  With `alone` no other attempt runs at the same
    time.  An attempt that isn't `repeatable` and has started isn't cut off at the
    caller's deadline.  `parts` are hashes of the parts of its prompt that other
    requests may share.  `size` is how many bytes the body has to have, or
    `UNKNOWN_SIZE` from an entry of an earlier release.
    """

    attempt: str
    request: str
    agent: str
    organisation: str
    revision: int
    ledger: str = ""
    step: int = 0
    version: str = ""
    service: str = ""
    priority: int = 1
    tokens: int = 1
    within: float
    stream: bool = False
    alone: bool = False
    repeatable: bool = True
    fingerprint: str = ""
    parts: tuple[str, ...] = ()
    method: str = "POST"
    path: str = "/v1/chat/completions"
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    size: int = UNKNOWN_SIZE


class Cancel(Message, kw_only=True):
    """Cancel an attempt; if it hasn't started it never will.

    With `only_waiting` an attempt that has started continues.  Only the agent of
    incarnation `agent` can say of an attempt unknown to it that it didn't run.
    """

    attempt: str
    agent: str = ""
    only_waiting: bool = False


class Ask(Message, kw_only=True):
    """Ask for the state of an attempt.

    An agent that doesn't know the attempt records a tombstone for it, so that its
    answer, that the attempt hasn't started, stays true.
    """

    attempt: str
    agent: str


class Resume(Message, kw_only=True):
    """Ask for an attempt's pieces again, from number `offset` on.

    An entry sends this to fill a gap, or to take over an answer from another entry.
    """

    attempt: str
    offset: int


class Settle(Message, kw_only=True):
    """Tell an agent that the bills of these attempts are in a ledger."""

    attempts: tuple[str, ...]


class Piece(Message, kw_only=True):
    """One piece of an answer; `number` counts from zero.

    For a streamed chat `data` is the JSON text of the engine's `choices`;
    otherwise it is a part of the body.
    """

    attempt: str
    number: int
    data: bytes


class Begun(Message, kw_only=True):
    """An attempt has started and may have an effect from now on."""

    attempt: str


class Bill(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """The usage of one attempt, to be billed once per request and step.

    `ledger` names the ledger to which the agent sent the bill: that of the start,
    or that of the entry to which the bill was reassigned last.
    """

    attempt: str
    request: str
    ledger: str = ""
    step: int = 0
    organisation: str
    version: str
    prompt_tokens: int = 0
    completion_tokens: int = 0


class Waits(Message, kw_only=True):
    """An attempt is queued and hasn't started."""

    attempt: str


class Finish(enum.Enum):
    """How a started attempt ended."""

    WHOLE = "whole"
    ENGINE_FAILED = "engine_failed"
    ENGINE_CRASHED = "engine_crashed"
    CUT = "cut"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"


class Ended(Message, kw_only=True):
    """A started attempt has ended.

    With `pieces`, their number, and `digest`, the hexadecimal xxh3_64 of all pieces
    in order, the entry checks that it has the complete answer.  `status` and
    `headers` are the endpoint's own.
    """

    attempt: str
    finish: Finish
    pieces: int = 0
    digest: str = ""
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    reason: str = ""
    bill: Bill | None = None


class Refusal(enum.Enum):
    """Why an agent didn't start an attempt."""

    WITHDRAWN = "withdrawn"
    NOT_SERVED = "not_served"
    DOMAIN_OUT = "domain_out"
    LEAVING = "leaving"
    STALE = "stale"
    OTHER_INCARNATION = "other_incarnation"
    FULL = "full"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    CANCELLED = "cancelled"
    NEVER_SEEN = "never_seen"
    ENGINE_DOWN = "engine_down"
    BODY_INCOMPLETE = "body_incomplete"


class NotStarted(Message, kw_only=True):
    """A tombstone: the agent hasn't started this attempt and never will."""

    attempt: str
    refusal: Refusal
    retry_after: float = 0.0


class UnknownAttempt(Message, kw_only=True):
    """The agent can't say whether or how the attempt ran.

    It is another incarnation than the one that was given the attempt, or its record
    of the attempt has expired.
    """

    attempt: str


class Load(Message, kw_only=True):
    """An agent's heartbeat and load report.

    `queued_tokens` is the number of all queued tokens.  `queued_by` holds the
    organisations with most queued tokens, each with its number, and `patient_by`
    how many of these belong to long jobs with time to spare.  `window` is the
    concurrency limit, and `drain` the tokens per second that the endpoint works off.
    `resting` is for how many seconds the endpoint wants no requests.
    """

    endpoint: str
    domain: str
    pool: str
    revision: int
    serves: tuple[str, ...] = ()
    service: str = ""
    window: int
    running: int
    queued: int
    queued_tokens: int
    queued_by: dict[str, int] = {}
    patient_by: dict[str, int] = {}
    drain: float = 0.0
    leaving: bool = False
    cold: bool = False
    engine_up: bool = True
    resting: float = 0.0


class Crash(Message, kw_only=True):
    """An engine crashed while requests with these fingerprints ran on it.

    `parts` are those of their prompts.
    """

    endpoint: str
    fingerprints: tuple[str, ...]
    alone: bool = False
    parts: tuple[str, ...] = ()


class Cleared(Message, kw_only=True):
    """Suspected requests with these fingerprints completed without a crash.

    `parts` are those of their prompts.
    """

    fingerprints: tuple[str, ...]
    parts: tuple[str, ...] = ()


class Quarantined(Message, kw_only=True):
    """The fingerprints of queries of death, sent to entries and agents.

    They are those of requests and of parts of prompts.
    """

    fingerprints: tuple[str, ...]


class Custody(Message, kw_only=True):
    """Bills that an agent reassigns because their entry or ledger is gone.

    `holders` are the ledgers that were given the bills before, the oldest first.
    `into` is the ledger that is to get them: an entry that has restarted since has
    another one and must not accept them.
    """

    holders: tuple[str, ...]
    bills: tuple[Bill, ...]
    into: str = ""


class Presence(Message, kw_only=True):
    """An entry's heartbeat to other entries and to its agents.

    `ledger` names the ledger that accepts recovered bills.  `answers` repeats the
    nonce of the `Hello` that this heartbeat answers, zero if it answers none.  Only
    a heartbeat with the nonce was certainly sent after the `Hello`.
    """

    entry: str
    domain: str
    revision: int
    ledger: str = ""
    leaving: bool = False
    answers: int = 0


class WantDocument(Message, kw_only=True):
    """Ask a peer for its current document.

    `question` is a nonce that is repeated in the answer.
    """

    revision: int
    question: int = 0


class DocumentCopy(Message, kw_only=True):
    """A peer's complete document, as MessagePack of a snapshot.

    `answers` repeats the nonce of the `WantDocument` that it answers.
    """

    revision: int
    snapshot: bytes
    answers: int = 0


class Hello(Message, kw_only=True):
    """Ask a peer for an immediate heartbeat, which repeats the nonce `question`."""

    question: int = 0


AnyMessage = (
    Facts
    | FactsKept
    | Start
    | Cancel
    | Ask
    | Resume
    | Settle
    | Piece
    | Begun
    | Waits
    | Ended
    | NotStarted
    | UnknownAttempt
    | Load
    | Crash
    | Cleared
    | Quarantined
    | Custody
    | Presence
    | WantDocument
    | DocumentCopy
    | Hello
)


class MessageBatch(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """The messages that one process sends to another in one iteration of its loop.

    `address` is the sender's mailbox address, `incarnation` is new each time the
    sender starts.
    """

    protocol: int = PROTOCOL
    address: str
    incarnation: str
    messages: list[AnyMessage]
