"""Simulated calls, and the outcome of each time a call was sent."""

import dataclasses
import enum
from collections.abc import Callable

from eelgrassrack.document.sections import Organisation


class SendOutcome(enum.Enum):
    """The outcome of sending a call once."""

    WHOLE = "whole"
    REFUSED = "refused"
    LATE = "late"
    FAILED = "failed"


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A caller's call; `resends` is how often the caller may still send it again.

    `requested_tokens` is the expected length of the answer, `tokens` the real one.
    `prefill` is the seconds from the start of a run to the first token, `within` the
    seconds from sending the call to its deadline.  Requests with the same `affinity`
    share a prompt prefix.
    """

    key: int
    created_at: float
    organisation: Organisation
    kind: str
    requested_tokens: int
    tokens: int
    prefill: float
    within: float
    resends: int = 0
    affinity: str | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """A call that an entry is handling, after it was sent once.

    `on_done` is called once, with the outcome and the seconds after which a refused
    caller may try again.  `tries` counts the attempts at endpoints, `runs` the
    attempts that began to run.  Times are in virtual seconds.
    """

    call: Call
    sent: float
    deadline: float
    on_done: Callable[["Job", SendOutcome, float], None]
    started: float | None = None
    tries: int = 0
    endpoint: str = ""
    runs: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class SendRecord:
    """The outcome that a caller got after sending a call once.

    `first` is the seconds from sending to the first token and `wait` those to the
    start of the run; both are None if it never ran.  `created_at` is the time at
    which the call was first sent, `retry_after` is in seconds.
    """

    call: int
    created_at: float
    organisation: str
    kind: str
    end: SendOutcome
    sent: float
    ended: float
    tokens: int
    wait: float | None
    first: float | None
    retry_after: float
    runs: int
    endpoint: str
    is_resend: bool
