"""A request under way, and what its attempts came to."""

import enum

import msgspec
import xxhash

from ..decisions.urgency import LEAST_URGENT
from .configuration import Permit
from .messages import Arrival, ResponseHead

# A caller that leaves the choice of the model to the router names this one.
ANY_MODEL = "*"


class Standing(enum.IntEnum):
    """What is known of whether a request has run, weakest first."""

    NOT_RUN = 0
    UNKNOWN = 1
    RAN = 2


class Delivered(msgspec.Struct, frozen=True):
    """The answer is with the caller, whole."""


class NotRun(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt surely didn't run and never will.

    `is_down` says that the endpoint couldn't even be connected to.
    """

    reason: str
    is_down: bool = False


class Lost(msgspec.Struct, kw_only=True, frozen=True):
    """The attempt may have run; its answer can't be had."""

    reason: str


class Failed(msgspec.Struct, kw_only=True, frozen=True):
    """The endpoint answered with a failure of its own."""

    head: ResponseHead
    body: bytes


class Unsure(msgspec.Struct, kw_only=True, frozen=True):
    """The model holds little of its own answer; another is asked."""

    model: str
    confidence: int


class Placement(msgspec.Struct, kw_only=True, frozen=True):
    """What an endpoint was chosen by: seconds to wait, requests, and ages."""

    wait: float = 0.0
    running: int = 0
    slowness: float = 1.0
    news_age: float = 0.0


UNPLACED = Placement()

Outcome = Delivered | NotRun | Lost | Failed | Unsure


class Job:
    """One request under way.

    `expected` is the seconds to the first piece that placing reckons with,
    `usual` the same if the endpoint is as fast as others.  `longest_gap` is the
    longest pause between events so far, and `passed_at` when the last was passed on.
    """

    __slots__ = (
        "arrival",
        "attempts",
        "confidence",
        "deadline",
        "expected",
        "failure",
        "fingerprint",
        "first_at",
        "longest_gap",
        "model",
        "passed_at",
        "passed_over",
        "permit",
        "placement",
        "reading",
        "sent_at",
        "resume_after",
        "standing",
        "tried",
        "urgency",
        "usual",
        "was_idle",
    )

    def __init__(self, *, arrival: Arrival, permit: Permit, deadline: float) -> None:
        self.arrival = arrival
        self.permit = permit
        self.deadline = deadline
        self.attempts = 0
        self.tried: list[str] = []
        self.standing = Standing.NOT_RUN
        self.failure: Failed | None = None
        self.resume_after = arrival.resume_after
        self.first_at: float | None = None
        self.sent_at = 0.0
        self.passed_over: set[str] = set()
        self.fingerprint = make_fingerprint(arrival, permit)
        self.model = arrival.model
        self.placement = UNPLACED
        self.passed_at = 0.0
        self.longest_gap = 0.0
        self.confidence: int | None = None
        self.expected = 0.0
        self.usual = 0.0
        self.reading = 0.0
        self.urgency = LEAST_URGENT
        self.was_idle = False

    @property
    def is_repeatable(self) -> bool:
        """Tell whether it may run more than once."""
        return self.permit.route.is_repeatable

    @property
    def attempts_left(self) -> int:
        """Return to how many more endpoints it may be sent."""
        return self.permit.route.attempts - self.attempts

    def note(self, standing: Standing) -> None:
        """Take over what an attempt showed."""
        self.standing = max(self.standing, standing)

    @property
    def has_choice(self) -> bool:
        """Tell whether the router chooses the model."""
        return self.arrival.model == ANY_MODEL and bool(self.permit.route.models)


def make_fingerprint(arrival: Arrival, permit: Permit) -> str:
    """Return what the same request has in common each time it comes."""
    digest = xxhash.xxh3_64()
    for text in (arrival.method, arrival.target, permit.organisation_name):
        digest.update(text.encode() + b"\0")
    digest.update(arrival.body)
    return digest.hexdigest()
