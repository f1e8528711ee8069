"""The crashes of each suspected trait, and what gateways tell each other of them.

Traits are hashes of requests and of the shared parts of their prompts.
"""

from collections.abc import Iterable

import msgspec

# Endpoints that crash within this time of each other may have a common cause.  A trait
# that was there at so many of them counts twice, which is enough to suspect it.
JOINT_SECONDS = 0.1
MANY_JOINT_CRASHES = 5

# An answer also clears a trait of crashes that follow so soon: with many requests some
# run beside each crash.
ANSWER_VALID_SECONDS = 3.0

# Bounds of the crashes of one trait that are remembered, and told in one update.
MAX_CRASHES = 64
MAX_REPORTED_CRASHES = 8

MILLISECONDS = 1000.0

NEVER = float("-inf")


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a hashed lifetime, and for how long requests had been there.

    `age` is the time since the crash, `lead` the time from when the first request with
    the trait was sent until the crash, both in milliseconds.
    """

    lifetime: int
    age: int
    lead: int


class TraitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway knows of a trait.

    `answered` is the time in milliseconds since an answer showed it to be harmless,
    None if none did.
    """

    trait: int
    crashes: tuple[CrashReport, ...] = ()
    answered: int | None = None


class Sighting(msgspec.Struct, frozen=True):
    """A crash at which a trait was there; `sent_at` is when its requests were sent."""

    at: float
    sent_at: float


class Record:
    """The crashes of a trait by lifetime.

    `answered_at` is when an answer last showed it to be harmless, `crashed_at` the time
    of the last crash.
    """

    __slots__ = ("answered_at", "crashed_at", "crashes")

    def __init__(self, *, answered_at: float) -> None:
        self.crashes: dict[int, Sighting] = {}
        self.answered_at = answered_at
        self.crashed_at = NEVER

    def add(self, lifetime: int, sighting: Sighting) -> bool:
        """Add a crash; return whether it is new."""
        known = self.crashes.get(lifetime)
        if known is not None:
            # The estimates of peers are late by the time that an update took.
            at = min(known.at, sighting.at)
            sighting = Sighting(at, min(known.sent_at, sighting.sent_at))
        elif len(self.crashes) >= MAX_CRASHES:
            del self.crashes[min(self.crashes, key=lambda key: self.crashes[key].at)]
        self.crashes[lifetime] = sighting
        self.crashed_at = max(one.at for one in self.crashes.values())
        return known is None

    def find_open(self) -> dict[int, Sighting]:
        """Return the crashes of which no answer clears the trait."""
        since = self.answered_at + ANSWER_VALID_SECONDS
        return {key: one for key, one in self.crashes.items() if one.at > since}


def is_part(trait: int) -> bool:
    """Return whether a trait is a part of a prompt, not a request."""
    return bool(trait & 1)


def make_part_trait(digest: int) -> int:
    """Return the trait of a part of a prompt from its hash."""
    return digest | 1


def make_request_trait(digest: int) -> int:
    """Return the trait of a request from its hash."""
    return digest & ~1


def count_events(sightings: Iterable[Sighting]) -> int:
    """Return the number of crashes; those of the same moment count once or twice.

    A crash is of a later moment if its requests were sent after the earlier one.
    """
    moments: list[int] = []
    last = NEVER
    for one in sorted(sightings, key=lambda one: one.at):
        if one.at > last + JOINT_SECONDS or one.sent_at > last:
            moments.append(0)
            last = one.at
        moments[-1] += 1
    return sum(1 + (crashes >= MANY_JOINT_CRASHES) for crashes in moments)


def make_report(trait: int, record: Record, now: float) -> TraitReport:
    """Return what to tell of a trait: its newest crashes, and when it was answered."""
    newest = sorted(record.find_open().items(), key=lambda item: -item[1].at)
    answered = record.answered_at
    return TraitReport(
        trait=trait,
        crashes=tuple(
            CrashReport(
                lifetime=lifetime,
                age=_to_milliseconds(now - one.at),
                lead=_to_milliseconds(one.at - one.sent_at),
            )
            for lifetime, one in newest[:MAX_REPORTED_CRASHES]
        ),
        answered=None if answered == NEVER else _to_milliseconds(now - answered),
    )


def _to_milliseconds(seconds: float) -> int:
    return max(int(seconds * MILLISECONDS), 0)
