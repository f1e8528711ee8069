"""One roll-out as a gateway sees it: its order, its requests and its sessions."""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from ...decisions.answertimes import Slowness
from ...decisions.versionevidence import (
    NO_TIMES,
    Evidence,
    Tally,
    TimeSums,
    Verdict,
)
from ...decisions.versiontrial import Progress
from ..store.storeobjects import RolloutOrder, RolloutState

# A gateway that joins a running roll-out waits this long for a peer that saw it begin;
# peers of other failure domains report once a second.  Only then it relies on the
# clock: clocks may jump by seconds, which would end a version's trial too early.
WITNESS_WAIT_SECONDS = 2.0

# Answers that an endpoint loses within this time count once: a broken connection or a
# crash loses all that are under way there.
LOSS_SECONDS = 1.0

# How far back the latest answers go that are also judged by themselves, and the
# interval between the totals that are kept for that.
RECENT_SECONDS = 8.0
TOTALS_SECONDS = 1.0

TallyKey = tuple[str, str, str]

NO_EVIDENCE = Evidence(verdict=Verdict.OPEN)


class PinnedSession(msgspec.Struct):
    """A session that stays on the old or the new version for a while.

    `at` is the loop time of its last request here or of a peer's report.  `set_at`
    is the loop time at which this gateway chose the version, minus infinity if a
    peer did.
    """

    at: float
    is_new: bool
    set_at: float


class PeerTrial(msgspec.Struct, frozen=True):
    """What a peer has counted in a trial."""

    tallies: tuple[Tally, ...] = ()
    sent: int = 0
    sent_new: int = 0


class Trial:
    """One roll-out as this gateway sees it.

    `since` is the loop time at which it began, as far as known.  `is_witnessed` says
    that this gateway, or a peer that reported it, saw it begin.  Otherwise
    `estimated_since` is its start by the clocks of this gateway and of the one that
    wrote its status.

    `tallies` holds this gateway's counts of answers, `sent` and `sent_new` its counts
    of requests, `not_run` that of attempts that never ran, and `peers` the counts of
    each peer.  `share` is the share of sessions that use the new version.  `moved_at`
    is the loop time at which all requests moved to it, `moved` the progress then and
    `old_endpoints` the number of the old ones,
    None and 0 before.  `evidence` is the latest judgement, `full_load` that of the
    answers since the move, and `sound_since` the loop time since which both suffice to
    give up the old endpoints, None while they don't.  `pins` holds sessions by their
    hash.  `write_after` is the loop time from which this gateway writes the status,
    None if nothing needs to be written, and `is_overdue` says that the time limit has
    passed.  `answers_since_end` and `bad_since_end` are the version's answers here
    since the roll-out ended, `ended_at` the loop time of that, None before and once
    they are logged.
    """

    __slots__ = (
        "_before_move",
        "_lost_at",
        "_totals",
        "answers_since_end",
        "bad_since_end",
        "ended_at",
        "estimated_since",
        "evidence",
        "full_load",
        "is_bad",
        "is_overdue",
        "is_witnessed",
        "moved",
        "moved_at",
        "not_run",
        "old_endpoints",
        "order",
        "peers",
        "pins",
        "received_at",
        "sent",
        "sent_new",
        "share",
        "since",
        "sound_since",
        "tallies",
        "write_after",
    )

    def __init__(
        self, *, order: RolloutOrder, now: float, estimated_since: float | None = None
    ) -> None:
        self.order = order
        self.since = now
        self.received_at = now
        self.estimated_since = estimated_since
        self.is_witnessed = estimated_since is None
        self.is_bad = False
        self.is_overdue = self.has_ended
        self.evidence = NO_EVIDENCE
        self.full_load = NO_EVIDENCE
        self.tallies: dict[TallyKey, Tally] = {}
        self.sent = 0
        self.sent_new = 0
        self.not_run = 0
        self.answers_since_end = 0
        self.bad_since_end = 0
        self.ended_at: float | None = None
        self.share = 0.0
        self.moved: Progress | None = None
        self.old_endpoints = 0
        self.moved_at: float | None = None
        self.sound_since: float | None = None
        self.peers: dict[str, PeerTrial] = {}
        self.pins: dict[int, PinnedSession] = {}
        self.write_after: float | None = None
        self._before_move: dict[TallyKey, Tally] = {}
        self._lost_at: dict[str, float] = {}
        self._totals: deque[tuple[float, dict[TallyKey, Tally]]] = deque()

    def receive_since(self, since: float) -> None:
        """Apply the start reported by a peer that saw the roll-out begin."""
        self.since = min(self.since, since) if self.is_witnessed else since
        self.is_witnessed = True

    def apply_estimate(self, now: float) -> None:
        """Use the estimated start if no peer has reported the true one in time."""
        if not self.is_witnessed and now >= self.received_at + WITNESS_WAIT_SECONDS:
            self.since = min(self.since, self.estimated_since)

    def raise_share(self, share: float) -> None:
        """Raise the share; it never falls, as sessions stay on the new version."""
        self.share = max(self.share, share)

    def move(self, at: float, *, progress: Progress) -> None:
        """Let all requests use the new version since the loop time `at`."""
        self.share = 1.0
        if self.moved_at is None:
            self.moved = progress
            self._before_move = self._totals[-1][1] if self._totals else {}
        self.moved_at = at if self.moved_at is None else min(self.moved_at, at)

    @property
    def key(self) -> tuple[str, str, int]:
        """Return what identifies this roll-out."""
        return (self.order.service, self.order.version, self.order.created)

    @property
    def state(self) -> RolloutState:
        """Return the state written in the store, RUNNING if none is."""
        status = self.order.status
        if status is None or status.version != self.order.version:
            return RolloutState.RUNNING
        return status.state

    @property
    def has_ended(self) -> bool:
        """Return whether the roll-out has ended."""
        return self.state is not RolloutState.RUNNING

    def replace_order(self, order: RolloutOrder, *, now: float) -> None:
        """Use a later revision of the order, whose status may say that it has ended."""
        had_ended = self.has_ended
        self.order = order
        if self.has_ended and not had_ended:
            self.ended_at = now

    def count_sent(self, *, is_new: bool) -> None:
        """Count a request that was sent to the service."""
        self.sent += 1
        self.sent_new += is_new

    def find_sent(self) -> tuple[int, int]:
        """Return the requests of all gateways, and those to the new version."""
        reports = self.peers.values()
        return (
            self.sent + sum(report.sent for report in reports),
            self.sent_new + sum(report.sent_new for report in reports),
        )

    def count(self, tally: Tally) -> None:
        """Count an answer."""
        before = self.tallies.get(tally.key)
        self.tallies[tally.key] = tally if before is None else before + tally

    def count_loss(self, tally: Tally, *, endpoint: str, now: float) -> None:
        """Count a lost answer, unless it was lost together with others."""
        if now < self._lost_at.get(endpoint, float("-inf")) + LOSS_SECONDS:
            return
        self._lost_at[endpoint] = now
        self.count(tally)

    def keep_totals(self, totals: dict[TallyKey, Tally], now: float) -> None:
        """Keep the totals of all gateways, from which the latest answers follow."""
        if self._totals and now < self._totals[-1][0] + TOTALS_SECONDS:
            return
        self._totals.append((now, totals))
        while len(self._totals) > 1 and self._totals[1][0] <= now - RECENT_SECONDS:
            self._totals.popleft()

    def list_recent(
        self, totals: Mapping[TallyKey, Tally], now: float
    ) -> tuple[Tally, ...]:
        """Return those of all gateways' answers that are of the latest time."""
        if not self._totals or self._totals[0][0] > now - RECENT_SECONDS:
            return ()
        return subtract_tallies(totals, self._totals[0][1])

    def list_since_move(self, totals: Mapping[TallyKey, Tally]) -> tuple[Tally, ...]:
        """Return the new version's answers since the move, and all of the old one."""
        version = self.order.version
        before = {
            key: row for key, row in self._before_move.items() if key[0] == version
        }
        return subtract_tallies(totals, before)


def make_tally(key: TallyKey, *, is_bad: bool, slowness: Slowness) -> Tally:
    """Return the tally of one answer."""
    return Tally(
        *key,
        1,
        int(is_bad),
        *(
            NO_TIMES if found is None else TimeSums.make(found)
            for found in (slowness.whole, slowness.first, slowness.pace)
        ),
    )


def sum_tallies(tallies: Iterable[Tally]) -> dict[TallyKey, Tally]:
    """Return one tally for each version, route and endpoint."""
    totals: dict[TallyKey, Tally] = {}
    for row in tallies:
        before = totals.get(row.key)
        totals[row.key] = row if before is None else before + row
    return totals


def subtract_tallies(
    later: Mapping[TallyKey, Tally], earlier: Mapping[TallyKey, Tally]
) -> tuple[Tally, ...]:
    """Return the tallies of what came between both."""
    return tuple(
        row - earlier[key] if key in earlier else row for key, row in later.items()
    )
