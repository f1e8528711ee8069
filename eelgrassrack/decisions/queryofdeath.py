"""Detection of queries of death: what crashes the endpoints that answer it.

It may be a request that its caller sends again and again, or a part of a prompt that
many requests share, no two of them alike.  Without detection it brings down one
endpoint after the other, each time together with all requests that run there.

All of them, and all parts of their prompts, are suspects of a crash.  What tells the
cause from the others:

- A trait of requests is harmless if an endpoint answered on it and stayed up.
- Endpoints that end at the same moment, as with their power, are one event, unless the
  requests of the later one were sent after the earlier crash.  Many count as two.
- A trait that was there only together with a guilty one is explained by it.

A trait is blocked after three events that nothing else explains.  If several parts
were always there together, requests with all of them are blocked.  Requests with a part
of two events or more that wasn't answered since are suspected, also if it is explained.
Suspected requests go one at a time until one is answered or crashes its endpoint.

Gateways tell each other the crashes of each suspected trait, so the count doesn't
depend on who saw which crash, and a gateway that starts knows what others have seen.
"""

import collections
import heapq
from collections.abc import Iterable

import msgspec

from .crashrecords import (
    MILLISECONDS,
    NEVER,
    Record,
    Sighting,
    TraitReport,
    count_events,
    is_part,
    make_report,
)
from .runs import Crash, Traits

# Number of unexplained events after which a trait is suspected, and blocked.  One that
# was answered before is blocked later: most of its requests may be harmless.
SUSPECT_EVENTS = 2
GUILTY_EVENTS = 3
GUILTY_EVENTS_ANSWERED = 6

# A crash that led to no block is forgotten after this time.
MEMORY_SECONDS = 120.0

# A block lasts an hour after the last crash.  Then one request at a time is let
# through, and a single crash blocks the trait again.
BLOCK_SECONDS = 3_600.0
PROBATION_SECONDS = 3_600.0

# Gateways send suspected requests this long after each other, so that the others have
# learned of a crash by then.  After a block they take more time: nobody waits for it.
TURN_SECONDS = 0.5
PROBATION_TURN_SECONDS = 10.0

# New crashes are told to peers for this long, in several updates; suspected and blocked
# traits as long as they are.
REPORT_SECONDS = 3.0

# Bounds of what one update tells, so that a crash among hundreds of requests doesn't
# fill the links, and of what is remembered.
MAX_REPORTED = 60
MAX_RECORDS = 5_000
MAX_ANSWERED = 20_000

# Suspicions and blocks are judged again after this time even if nothing was noted.
JUDGE_SECONDS = 0.5

# Interval between searches for crashes to forget.
FORGET_SECONDS = 5.0


class Clear(msgspec.Struct, kw_only=True, frozen=True):
    """The request may be sent."""


class Suspected(msgspec.Struct, kw_only=True, frozen=True):
    """Requests with any of these traits go one at a time, and gateways in turn.

    The first gateway may send one from `since` on, the next ones `turn` seconds later
    each.
    """

    traits: frozenset[int]
    since: float
    turn: float


class Blocked(msgspec.Struct, kw_only=True, frozen=True):
    """The request may not be sent for so many seconds."""

    seconds: float


class Guilt(msgspec.Struct, kw_only=True, frozen=True):
    """Traits that were always there together when endpoints crashed.

    `crashed_at` is the time of the last crash.
    """

    traits: frozenset[int]
    crashed_at: float

    @property
    def parts(self) -> frozenset[int]:
        """Return the parts among the traits."""
        return frozenset(filter(is_part, self.traits))

    def covers(self, traits: Traits) -> bool:
        """Return whether a request is certainly one that crashes endpoints.

        If single requests were there each time, the parts may be harmless.
        """
        if traits.request in self.traits:
            return True
        return self.parts == self.traits and self.parts <= traits.parts


class QueryOfDeathDetector:
    """Find the traits that crash endpoints, from own crashes and peers' reports."""

    __slots__ = (
        "_answered",
        "_forgot_at",
        "_guilty",
        "_is_changed",
        "_judged_at",
        "_records",
        "_suspected",
    )

    def __init__(self) -> None:
        self._records: dict[int, Record] = {}
        self._answered: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._guilty: tuple[Guilt, ...] = ()
        self._suspected: frozenset[int] = frozenset()
        self._is_changed = False
        self._judged_at = NEVER
        self._forgot_at = NEVER

    @property
    def suspected(self) -> frozenset[int]:
        """Return the parts that were suspected when last judged."""
        return self._suspected

    @property
    def guilty(self) -> tuple[Guilt, ...]:
        """Return what was blocked when last judged."""
        return self._guilty

    def find_guilty(self, *, now: float) -> tuple[Guilt, ...]:
        """Return what is blocked."""
        self._judge(now)
        return self._guilty

    def find_crashes(self, trait: int) -> tuple[int, ...]:
        """Return the hashed lifetimes whose crashes a trait is blamed for."""
        record = self._records.get(trait)
        return tuple(record.find_open()) if record else ()

    def note_crash(self, crash: Crash) -> None:
        """Note a crash of which this gateway had requests."""
        for trait, sent_at in crash.sent_at.items():
            self._add(trait, crash.lifetime, Sighting(crash.at, sent_at))

    def note_answer(self, traits: Traits, *, at: float) -> None:
        """Note that an endpoint answered a request and stayed up."""
        for part in traits.parts:
            self._answered[part] = max(at, self._answered.pop(part, NEVER))
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        for trait in traits.all:
            self._clear(trait, at)

    def merge(self, reports: Iterable[TraitReport], *, now: float) -> dict[int, float]:
        """Add a peer's reports; return when the lifetimes that it names crashed."""
        crashed: dict[int, float] = {}
        for report in reports:
            for crash in report.crashes:
                at = now - crash.age / MILLISECONDS
                crashed[crash.lifetime] = at
                sighting = Sighting(at, at - crash.lead / MILLISECONDS)
                self._add(report.trait, crash.lifetime, sighting)
            if report.answered is not None:
                self._clear(report.trait, now - report.answered / MILLISECONDS)
        return crashed

    def report(self, *, now: float) -> tuple[TraitReport, ...]:
        """Return what peers need to know, the most suspected traits first."""
        self._judge(now)
        held = self._suspected.union(*(guilt.traits for guilt in self._guilty))
        told = [
            (trait in held, is_part(trait), len(record.crashes), trait)
            for trait, record in self._records.items()
            if trait in held or now < record.crashed_at + REPORT_SECONDS
        ]
        return tuple(
            make_report(trait, self._records[trait], now)
            for *_, trait in heapq.nlargest(MAX_REPORTED, told)
        )

    def judge(self, traits: Traits, *, now: float) -> Clear | Suspected | Blocked:
        """Return whether and how a request may be sent."""
        if not self._records:
            return Clear()
        self._judge(now)
        if not self._guilty and not self._suspected:
            return Clear()
        for guilt in self._guilty:
            if guilt.covers(traits):
                return Blocked(seconds=guilt.crashed_at + BLOCK_SECONDS - now)
        suspected = traits.parts & self._suspected
        if not suspected:
            return Clear()
        crashed_at = max(self._records[trait].crashed_at for trait in suspected)
        if now < crashed_at + BLOCK_SECONDS:
            return Suspected(traits=suspected, since=crashed_at, turn=TURN_SECONDS)
        since = crashed_at + BLOCK_SECONDS
        return Suspected(traits=suspected, since=since, turn=PROBATION_TURN_SECONDS)

    def _add(self, trait: int, lifetime: int, sighting: Sighting) -> None:
        record = self._records.get(trait)
        if record is None:
            answered_at = self._answered.get(trait, NEVER)
            record = self._records[trait] = Record(answered_at=answered_at)
            if len(self._records) > MAX_RECORDS:
                self._drop_oldest()
        is_new = record.add(lifetime, sighting)
        self._is_changed = self._is_changed or is_new

    def _clear(self, trait: int, at: float) -> None:
        record = self._records.get(trait)
        if record is not None and at > record.answered_at:
            record.answered_at = at
            self._is_changed = True

    def _judge(self, now: float) -> None:
        """Find what is guilty and what is suspected, if that may have changed."""
        if not self._is_changed and now < self._judged_at + JUDGE_SECONDS:
            return
        self._is_changed = False
        self._judged_at = now
        blamed = {
            trait: crashes
            for trait, record in self._records.items()
            if len(record.crashes) >= SUSPECT_EVENTS
            and len(crashes := record.find_open()) >= SUSPECT_EVENTS
        }
        suspected = frozenset(
            trait
            for trait, crashes in blamed.items()
            if is_part(trait) and count_events(crashes.values()) >= SUSPECT_EVENTS
        )
        guilty = tuple(self._find_guilty(blamed))
        self._guilty = tuple(
            guilt for guilt in guilty if now < guilt.crashed_at + BLOCK_SECONDS
        )
        # A part that another one explains stays suspected until it is answered: more
        # crashes of other causes may make a sound part seem to explain the guilty one.
        self._suspected = suspected.difference(
            *(guilt.traits for guilt in self._guilty if len(guilt.traits) == 1)
        )
        if now >= self._forgot_at + FORGET_SECONDS:
            self._forgot_at = now
            self._forget(now, frozenset().union(*(guilt.traits for guilt in guilty)))
            self._suspected &= self._records.keys()

    def _find_guilty(self, blamed: dict[int, dict[int, Sighting]]) -> Iterable[Guilt]:
        """Return the fewest traits that explain crashes; `blamed` keeps the others.

        A trait in `blamed` loses the crashes that are explained.
        """
        while True:
            counts = {
                trait: count_events(crashes.values())
                for trait, crashes in blamed.items()
            }
            candidates = [
                trait
                for trait, count in counts.items()
                if count >= self._find_threshold(trait)
            ]
            if not candidates:
                return
            first = max(
                candidates,
                key=lambda trait: (
                    not self._is_doubtful(trait),
                    counts[trait],
                    len(blamed[trait]),
                    trait,
                ),
            )
            lifetimes = blamed[first].keys()
            traits = frozenset(
                trait for trait in candidates if blamed[trait].keys() == lifetimes
            )
            crashed_at = max(one.at for one in blamed[first].values())
            yield Guilt(traits=traits, crashed_at=crashed_at)
            explained = set(lifetimes)
            for trait, crashes in tuple(blamed.items()):
                left = {
                    key: one for key, one in crashes.items() if key not in explained
                }
                blamed[trait] = left

    def _find_threshold(self, trait: int) -> int:
        """Return the number of unexplained events that block a trait."""
        doubtful = self._is_doubtful(trait)
        return GUILTY_EVENTS_ANSWERED if doubtful else GUILTY_EVENTS

    def _is_doubtful(self, trait: int) -> bool:
        """Return whether a trait is a part on which endpoints have answered before."""
        return is_part(trait) and self._records[trait].answered_at > NEVER

    def _forget(self, now: float, guilty: frozenset[int]) -> None:
        """Forget old crashes, those of guilty traits later."""
        for trait, record in tuple(self._records.items()):
            seconds = MEMORY_SECONDS
            if trait in guilty:
                seconds = BLOCK_SECONDS + PROBATION_SECONDS
            if now > record.crashed_at + seconds:
                del self._records[trait]

    def _drop_oldest(self) -> None:
        """Drop the record with the fewest crashes, of these the oldest."""

        def find_weight(item: tuple[int, Record]) -> tuple[int, float]:
            _, record = item
            return (len(record.crashes), record.crashed_at)

        trait, _ = min(self._records.items(), key=find_weight)
        del self._records[trait]
