"""The messages that entries and agents send each other.

All messages are msgspec structs, encoded as MessagePack arrays with a
tag.  Times inside messages are durations in seconds, never points in
time, because instances don't share a clock.
"""

import enum

import msgspec

PROTOCOL = 1


class Message(msgspec.Struct, kw_only=True, frozen=True, array_like=True, tag=True):
    """Base of every message."""


class Facts(Message, kw_only=True):
    """What an agent needs to know of the document.

    `withdrawn` holds version names, `domains_out` domain names,
    `endpoints_out` endpoint names, `weights` the share of each
    organisation whose share differs from one, `costs` what the pool's
    versions cost.  `concurrency` and
    `cold_concurrency` are those of the receiver's pool.
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
    """The facts of revision `since` hold unchanged up to `revision`.

    Most changes of the document don't touch what a pool's agents need.
    """

    revision: int
    since: int


class Start(Message, kw_only=True):
    """Ask an agent to run one attempt.

    `attempt` names this try and is never used again; `request` names
    the caller's request, which is what is billed.  `agent` is the
    incarnation the entry means: a restarted agent refuses the message,
    since it can't know what its predecessor did with it.  `ledger` names
    the entry's ledger that the attempt's bill goes into.  `step` is the
    rung of a cascade: of several attempts at one step of a request only
    one is billed.  `within` is the seconds left to the caller's deadline.
    `alone` asks that nothing else runs beside it.  One that isn't
    `repeatable` is never cut once it has started.
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
    method: str = "POST"
    path: str = "/v1/chat/completions"
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Cancel(Message, kw_only=True):
    """Withdraw an attempt; one that hasn't started never will.

    With `only_waiting` one that has started goes on.  Only an agent that is
    the incarnation `agent` can say of an attempt it never saw that it
    didn't run.
    """

    attempt: str
    agent: str = ""
    only_waiting: bool = False


class Ask(Message, kw_only=True):
    """Ask what became of an attempt.

    An agent that never saw it vows never to start it, so that the
    answer stays true.
    """

    attempt: str
    agent: str


class Resume(Message, kw_only=True):
    """Ask for an attempt's pieces again, from number `offset` on.

    Sent to fill a gap, and by another entry to take an answer over.
    """

    attempt: str
    offset: int


class Settle(Message, kw_only=True):
    """Tell an agent that these attempts' bills are in the ledger."""

    attempts: tuple[str, ...]


class Piece(Message, kw_only=True):
    """One piece of an answer; `number` counts from zero.

    For a streamed chat it is the JSON text of the engine's `choices`;
    otherwise it is a part of the body.
    """

    attempt: str
    number: int
    data: bytes


class Begun(Message, kw_only=True):
    """An attempt has started: from here on it may have had effect."""

    attempt: str


class Bill(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """What one attempt used, to be billed once under its request and step.

    `ledger` names the ledger that its agent believes to hold it: that of
    the start, or of the entry that recovered the bill last.
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

    `pieces` and `digest` (hexadecimal xxh3_64 of all pieces in order)
    let the entry prove that it holds the whole answer.  `status` and
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


class NotStarted(Message, kw_only=True):
    """An agent's vow: this attempt hasn't started and never will."""

    attempt: str
    refusal: Refusal
    retry_after: float = 0.0


class UnknownAttempt(Message, kw_only=True):
    """The agent that was asked is not the one that was given the attempt."""

    attempt: str


class Load(Message, kw_only=True):
    """An agent's heartbeat and load report.

    `queued_tokens` wait in all; `queued_by` holds the organisations with
    most of them, each with its tokens, and `patient_by` how many of these
    are those of long jobs with time to spare.
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


class Crash(Message, kw_only=True):
    """An engine died while these requests ran on it."""

    endpoint: str
    fingerprints: tuple[str, ...]
    alone: bool = False


class Cleared(Message, kw_only=True):
    """These suspected requests ran whole and are innocent."""

    fingerprints: tuple[str, ...]


class Quarantined(Message, kw_only=True):
    """Entries tell each other, and agents, of requests that crash endpoints."""

    fingerprints: tuple[str, ...]


class Custody(Message, kw_only=True):
    """An agent hands over bills that a lost entry never settled.

    `holders` are the ledgers of all entries that were given them before,
    the first one first.  `into` is the ledger they are meant for: an entry
    that was restarted since has another one and must not take them.
    """

    holders: tuple[str, ...]
    bills: tuple[Bill, ...]
    into: str = ""


class Presence(Message, kw_only=True):
    """An entry's heartbeat to other entries and to its agents.

    `ledger` names the ledger that takes recovered bills.  `answers` is the
    question that the heartbeat answers, zero if it answers none: only an
    answer was surely said after the question.
    """

    entry: str
    domain: str
    revision: int
    ledger: str = ""
    leaving: bool = False
    answers: int = 0


class WantDocument(Message, kw_only=True):
    """Ask a peer for the document it has in force.

    `question` is repeated in the answer.
    """

    revision: int
    question: int = 0


class DocumentCopy(Message, kw_only=True):
    """A peer's whole document, as MessagePack of a snapshot.

    `answers` is the question that it answers.
    """

    revision: int
    snapshot: bytes
    answers: int = 0


class Hello(Message, kw_only=True):
    """Ask a peer for its heartbeat at once; `question` is repeated in it."""

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
    """What one process sends another in one go.

    `address` is the sender's mailbox address, `incarnation` is new each
    time the sender starts.
    """

    protocol: int = PROTOCOL
    address: str
    incarnation: str
    messages: list[AnyMessage]
