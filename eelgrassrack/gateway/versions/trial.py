"""One roll-out as a gateway sees it: its order, its requests and its sessions."""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from ...decisions.answertimes import Slowness
from ...decisions.exposure import (
    KEPT_FACTOR,
    Holder,
    find_end_seconds,
    find_kept_factor,
)
from ...decisions.versionevidence import (
    NO_TIMES,
    Evidence,
    Tally,
    TimeSums,
    Verdict,
    is_failing,
)
from ...decisions.versiontrial import Progress, is_held_up
from ..peers.updatemessages import TrialReport
from ..store.storeobjects import RolloutOrder, RolloutState
from .requestaccount import RequestAccount

# A gateway that joins a running roll-out waits this long for a peer that saw it begin;
# peers of other failure domains report once a second.  Only then it relies on the
# clock: clocks may jump by seconds, which would end a version's trial too early.
WITNESS_WAIT_SECONDS = 2.0

# An order that was seen sooner counts as seen at once.
LEAST_UNSEEN_SECONDS = 0.1

# For how long at most an order counts as made before it was seen, and that as a part of
# its time limit.
MOST_UNSEEN_SECONDS = 1.5
MOST_UNSEEN_PART = 0.1

# Answers that an endpoint loses within this time count once: a broken connection or a
# crash loses all that are under way there.
LOSS_SECONDS = 1.0

# How far back the latest answers go that are also judged by themselves, and the
# interval between the totals that are kept for that.
RECENT_SECONDS = 8.0
TOTALS_SECONDS = 1.0

# A peer that hasn't reported for this long sends no more requests.
PEER_SECONDS = 3.0

# How far back the latest answers go that hold up the end of a version's trial, and how
# many of them are kept at most.
LATEST_SECONDS = 0.5
MOST_LATEST = 256

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
    """What a peer has counted in a trial, heard at the loop time `at`.

    `mean_rate` and `latest_rate` are its requests per second, `left` is how many more
    of them the version may get.
    """

    tallies: tuple[Tally, ...] = ()
    sent: int = 0
    sent_new: int = 0
    mean_rate: float = 0.0
    latest_rate: float = 0.0
    left: float = 0.0
    is_doubting: bool = False
    at: float = float("-inf")

    def is_live(self, now: float) -> bool:
        """Return whether the peer still sends requests."""
        return now < self.at + PEER_SECONDS


class Trial:
    """One roll-out as this gateway sees it.

    `since` is the loop time at which it began, as far as known.  `is_witnessed` says
    that this gateway, or a peer that reported it, saw it begin.  Otherwise
    `estimated_since` is its start by the clocks of this gateway and of the one that
    wrote its status.  `made_after` is the loop time of the latest view of the store
    without the order, None if none is known.

    `tallies` holds this gateway's counts of answers, `account` its requests, `given_at`
    is the loop time at which it last considered to give some of what it has left, and
    `peers` the counts of each peer, by its name and lifetime.  `share` is the share of
    sessions that use the new version, `trial_share` that before the move, and
    `common_share` the share since then for which all gateways have enough, besides
    `kept_factor` of the requests after the end.  `moved_at`
    is the loop time at which all requests moved to it, `moved` the progress then and
    `old_endpoints` the number of the old ones,
    None and 0 before.  `evidence` is the latest judgement, `full_load` that of the
    answers since the move, and `sound_since` the loop time since which both suffice to
    give up the old endpoints, None while they don't.  `pins` holds sessions by their
    hash.  `write_after` is the loop time from which this gateway writes the status,
    None if nothing needs to be written.  `last_reports` counts the reports made as the
    end of the trial is near, `is_overdue` says that the time limit has passed.
    `missing_since` is the loop time since which the order is missing, None if it isn't.
    `answers_since_end` and `bad_since_end` are the version's answers here
    since the roll-out ended, `ended_at` the loop time of that, None before and once
    they are logged.
    """

    __slots__ = (
        "_before_move",
        "_latest",
        "_lost_at",
        "_totals",
        "account",
        "answers_since_end",
        "bad_since_end",
        "common_share",
        "ended_at",
        "estimated_since",
        "evidence",
        "full_load",
        "given_at",
        "is_bad",
        "is_overdue",
        "is_witnessed",
        "kept_factor",
        "last_reports",
        "made_after",
        "missing_since",
        "moved",
        "moved_at",
        "old_endpoints",
        "order",
        "peers",
        "pins",
        "received_at",
        "share",
        "since",
        "sound_since",
        "tallies",
        "trial_share",
        "write_after",
    )

    def __init__(
        self,
        *,
        order: RolloutOrder,
        now: float,
        estimated_since: float | None = None,
        made_after: float | None = None,
        has_slack: bool = False,
    ) -> None:
        self.order = order
        self.since = now
        self.received_at = now
        self.estimated_since = estimated_since
        self.is_witnessed = estimated_since is None
        self.made_after = made_after
        self.is_bad = False
        self.last_reports = 0
        self.is_overdue = self.has_ended
        self.evidence = NO_EVIDENCE
        self.full_load = NO_EVIDENCE
        self.tallies: dict[TallyKey, Tally] = {}
        self.given_at = now
        self.account = RequestAccount(began_at=now, has_slack=has_slack)
        self.answers_since_end = 0
        self.bad_since_end = 0
        self.ended_at: float | None = None
        self.missing_since: float | None = None
        self.share = 0.0
        self.trial_share = 0.0
        self.common_share = 1.0
        self.kept_factor = KEPT_FACTOR
        self.moved: Progress | None = None
        self.old_endpoints = 0
        self.moved_at: float | None = None
        self.sound_since: float | None = None
        self.peers: dict[str, PeerTrial] = {}
        self.pins: dict[int, PinnedSession] = {}
        self.write_after: float | None = None
        self._before_move: dict[TallyKey, Tally] = {}
        self._latest: deque[tuple[float, bool]] = deque(maxlen=MOST_LATEST)
        self._lost_at: dict[str, float] = {}
        self._totals: deque[tuple[float, dict[TallyKey, Tally]]] = deque()

    def receive_since(self, since: float) -> None:
        """Apply the start reported by a peer that saw the roll-out begin."""
        self.since = min(self.since, since) if self.is_witnessed else since
        self.is_witnessed = True

    def receive_made_after(self, at: float) -> None:
        """Apply the loop time at which a peer still had a view without the order."""
        self.made_after = at if self.made_after is None else max(self.made_after, at)

    @property
    def unseen(self) -> float | None:
        """Return for how long the order may have been in the store unseen."""
        if self.made_after is None:
            return None
        return max(self.since - self.made_after, 0.0)

    @property
    def is_seen_late(self) -> bool:
        """Return whether the trial ends earlier as its order was seen late."""
        return self.counted_unseen > 0.0

    @property
    def counted_unseen(self) -> float:
        """Return how many seconds earlier the trial ends for that."""
        if self.moved is not None:
            return self.moved.affordable_unseen
        if self.unseen is None or self.unseen < LEAST_UNSEEN_SECONDS:
            return 0.0
        most = min(MOST_UNSEEN_SECONDS, self.order.seconds * MOST_UNSEEN_PART)
        return min(self.unseen, most)

    @property
    def end_seconds(self) -> float:
        """Return the seconds between the end of the trial and its time limit."""
        return find_end_seconds(self.order.seconds, unseen=self.counted_unseen)

    @property
    def ends_at(self) -> float:
        """Return the loop time at which the trial of a good version ends."""
        return self.since + self.order.seconds - self.end_seconds

    def apply_estimate(self, now: float) -> None:
        """Use the estimated start if no peer has reported the true one in time."""
        if not self.is_witnessed and now >= self.received_at + WITNESS_WAIT_SECONDS:
            self.since = min(self.since, self.estimated_since)

    def raise_share(self, share: float) -> None:
        """Raise the share; it never falls, as sessions stay on the new version."""
        self.share = max(self.share, share)
        if self.moved_at is None:
            self.trial_share = self.share

    def move(self, at: float, *, progress: Progress) -> None:
        """Let all requests use the new version since the loop time `at`."""
        self.share = 1.0
        if self.moved_at is None:
            self.moved = progress
            self.kept_factor = find_kept_factor(
                left=progress.left,
                share=progress.allowed_share,
                rate=progress.latest_rate,
                seconds=self.end_seconds,
            )
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

    def receive_counts(self, source: str, report: TrialReport, now: float) -> None:
        """Apply the counts that a peer, given by name and lifetime, reports."""
        before = self.peers.get(source, PeerTrial())
        self.peers[source] = PeerTrial(
            report.tallies or before.tallies,
            report.sent,
            report.sent_new,
            report.mean_rate,
            report.latest_rate,
            report.left,
            report.is_doubting,
            now,
        )

    def find_sent(self) -> tuple[int, int]:
        """Return the requests of all gateways, and those to the new version."""
        reports = self.peers.values()
        return (
            self.account.sent + sum(report.sent for report in reports),
            self.account.sent_new + sum(report.sent_new for report in reports),
        )

    def find_mean_rate(self, now: float) -> float:
        """Return the mean requests per second of all gateways."""
        peers = (peer.mean_rate for peer in self._list_live(now))
        return self.account.find_mean_rate(now) + sum(peers)

    def find_rate(self, now: float) -> float:
        """Return the latest requests per second, or the mean if that is more."""
        peers = (peer.latest_rate for peer in self._list_live(now))
        latest = self.account.find_latest_rate(now) + sum(peers)
        return max(latest, self.find_mean_rate(now))

    def _list_live(self, now: float) -> list[PeerTrial]:
        return [self.peers[source] for source in self._list_sources(now)]

    def _list_sources(self, now: float) -> list[str]:
        """Return the live peers, of each name only the latest process."""
        live = [source for source, peer in self.peers.items() if peer.is_live(now)]
        latest = {find_name(source): source for source in live}
        return list(latest.values())

    def list_peers(self, now: float) -> list[Holder]:
        """Return what live peers have left for the version."""
        live = ((source, self.peers[source]) for source in self._list_sources(now))
        return [
            Holder(
                source,
                peer.left,
                max(peer.mean_rate, peer.latest_rate),
                now - peer.at,
            )
            for source, peer in live
        ]

    def count(self, tally: Tally) -> None:
        """Count an answer."""
        before = self.tallies.get(tally.key)
        self.tallies[tally.key] = tally if before is None else before + tally

    def note_latest(self, *, is_bad: bool, now: float) -> None:
        """Note an answer of the new version since the move."""
        self._latest.append((now, is_bad))

    def is_doubting(self, now: float) -> bool:
        """Return whether this gateway's latest answers speak against the version."""
        while self._latest and self._latest[0][0] <= now - LATEST_SECONDS:
            self._latest.popleft()
        evidence = self.evidence
        return is_failing(
            answers=len(self._latest),
            bad=sum(is_bad for _, is_bad in self._latest),
            usual=evidence.other_bad / max(evidence.other_answers, 1),
        )

    def is_held_up(self, now: float) -> bool:
        """Return whether gateways doubt the version so that its trial doesn't end."""
        peers = self._list_live(now)
        doubting = self.is_doubting(now) + sum(peer.is_doubting for peer in peers)
        return is_held_up(doubting=doubting, gateways=1 + len(peers))

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


def name_source(name: str, lifetime: str) -> str:
    """Return what names a gateway's process."""
    return f"{name}.{lifetime}"


def find_name(source: str) -> str:
    """Return the name of the gateway of a process."""
    return source.rpartition(".")[0]


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
