"""In-flight requests and the outcomes of their attempts."""

import enum

import msgspec

from ...decisions.runs import Run
from ...decisions.urgency import LEAST_URGENT
from ..store.configuration import Permit
from ..versions.attempt import VersionAttempt
from .messages import Arrival, EndpointLoad, ResponseHead
from .traits import find_traits

# Callers send this model name to let the router choose the model.
ANY_MODEL = "*"


class ExecutionStatus(enum.IntEnum):
    """Whether a request has run, as far as known; the highest status prevails."""

    NOT_RUN = 0
    UNKNOWN = 1
    RAN = 2


class Delivered(msgspec.Struct, frozen=True):
    """The caller received a complete response."""


class NotRun(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt certainly did not run and never will.

    `is_down` is set if the endpoint refused the connection, `is_unreachable` if no
    connection could be opened in time, and `wants_rest` if the endpoint asked for a
    time without requests.
    """

    reason: str
    is_down: bool = False
    is_unreachable: bool = False
    wants_rest: bool = False


class Lost(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt may have run, and its response is lost.

    `is_endless` is set if the endpoint sent more than a response may have,
    `is_blameless` if the response is lost for want of memory here.
    """

    reason: str
    is_endless: bool = False
    is_blameless: bool = False


class Failed(msgspec.Struct, kw_only=True, frozen=True):
    """The endpoint responded with a 5xx status."""

    head: ResponseHead
    body: bytes


class Unsure(msgspec.Struct, kw_only=True, frozen=True):
    """The model's confidence is low, so the request escalates to `model`.

    `confidence` is from 0 to 100.
    """

    model: str
    confidence: int


class Placement(msgspec.Struct, kw_only=True, frozen=True):
    """Why an endpoint was chosen, for the request log.

    `wait` is the expected wait in seconds, `running` the requests of all gateways
    there, `slowness` the factor by which it is slower than others, `pace` how long work
    takes there by its own reports, and `update_age` the seconds since peers' updates
    were merged.
    """

    wait: float = 0.0
    running: int = 0
    slowness: float = 1.0
    pace: float = 1.0
    update_age: float = 0.0


NO_PLACEMENT = Placement()

# Log lines carry the names of these classes, which `eelgrassrack losses` matches.
Outcome = Delivered | NotRun | Lost | Failed | Unsure


class Job:
    """One in-flight request.

    `expected_seconds` is the estimated time to the first byte on the chosen endpoint,
    `typical_seconds` the same for an endpoint that isn't slow, and `reading_seconds`
    the reading time that the endpoint's backlog counts for the prompt.
    `longest_gap` is the longest pause between events so far in seconds,
    `last_event_at` the time at which the last event was forwarded.  `tried` are the
    endpoints of all attempts, `excluded` those that aren't chosen again, of them
    `unreachable` those to which no connection opened in time and `resting` those that
    asked for rest.
    `endpoint_was_idle` is set if the endpoint had no backlog at the time of
    placement.  `told` is the load that the endpoint of the latest attempt reported,
    `stretch` how long work took there then, as a multiple of the usual,
    `first_piece_seconds` how long that attempt's answer took to begin, 0 if it hasn't,
    `trial_attempt` that attempt as roll-outs judge it.
    `holds_retry` is set while a retry is reserved that the retry budget
    has granted and no attempt has used.  `traits` are what crashes may be blamed on,
    `trial` those that are suspected while an attempt is under way, and `run` is that
    attempt since it was sent.  Times are the event loop's.
    """

    __slots__ = (
        "arrival",
        "attempts",
        "confidence",
        "deadline",
        "expected_seconds",
        "failure",
        "first_at",
        "holds_retry",
        "longest_gap",
        "model",
        "last_event_at",
        "excluded",
        "permit",
        "placement",
        "reading_seconds",
        "first_piece_seconds",
        "sent_at",
        "stretch",
        "told",
        "resting",
        "resume_after",
        "run",
        "execution_status",
        "traits",
        "trial",
        "trial_attempt",
        "tried",
        "unreachable",
        "urgency",
        "typical_seconds",
        "endpoint_was_idle",
    )

    def __init__(self, *, arrival: Arrival, permit: Permit, deadline: float) -> None:
        self.arrival = arrival
        self.permit = permit
        self.deadline = deadline
        self.attempts = 0
        self.tried: list[str] = []
        self.execution_status = ExecutionStatus.NOT_RUN
        self.failure: Failed | None = None
        self.resume_after = arrival.resume_after
        self.first_at: float | None = None
        self.sent_at = 0.0
        self.first_piece_seconds = 0.0
        self.told: EndpointLoad | None = None
        self.stretch = 1.0
        self.excluded: set[str] = set()
        self.traits = find_traits(arrival, permit)
        self.trial: frozenset[int] = frozenset()
        self.trial_attempt: VersionAttempt | None = None
        self.run: Run | None = None
        self.model = arrival.model
        self.placement = NO_PLACEMENT
        self.last_event_at = 0.0
        self.longest_gap = 0.0
        self.confidence: int | None = None
        self.expected_seconds = 0.0
        self.typical_seconds = 0.0
        self.reading_seconds = 0.0
        self.urgency = LEAST_URGENT
        self.endpoint_was_idle = False
        self.holds_retry = False
        self.unreachable: set[str] = set()
        self.resting: set[str] = set()

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.permit.route.is_repeatable

    @property
    def attempts_left(self) -> int:
        """Return how many more attempts the route allows."""
        return self.permit.route.attempts - self.attempts

    @property
    def has_run(self) -> bool:
        """Return whether the request may have run, or its caller has a part of it."""
        is_begun = self.first_at is not None
        return is_begun or self.execution_status is not ExecutionStatus.NOT_RUN

    def note_status(self, status: ExecutionStatus) -> None:
        """Record whether an attempt ran, unless a higher status is known."""
        self.execution_status = max(self.execution_status, status)

    @property
    def has_choice(self) -> bool:
        """Return whether the router chooses the model."""
        return self.arrival.model == ANY_MODEL and bool(self.permit.route.models)
