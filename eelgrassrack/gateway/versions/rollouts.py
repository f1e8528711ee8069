"""Roll-outs: choose the version for each request, judge it, and write its status.

Gateways exchange what they see of a trial, so that all of them judge it alike.
"""

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from typing import Protocol

import logbook
import msgspec
import xxhash

from ...decisions.answertimes import (
    PiecePace,
    Slowness,
    find_slowness,
    find_unfinished_slowness,
)
from ...decisions.exposure import (
    Allowance,
    Holder,
    covers,
    find_gifts,
    find_moved_share,
    limit_share,
)
from ...decisions.versionevidence import Demand, Tally, Verdict, confirm, judge
from ...decisions.versiontrial import (
    FREE_SESSIONS_PART,
    MAX_TRIAL_SHARE,
    Progress,
    find_demand,
    find_slot,
    find_trial_share,
    is_quiet,
    may_end,
    may_move,
    must_give_up,
    must_move,
)
from ..endpoints.endpointstate import EndpointState
from ..endpoints.fleet import ANY_VERSION, Fleet, VersionChoice
from ..peers.updatemessages import (
    Audience,
    Gift,
    PeerUpdate,
    SessionPin,
    TrialReport,
)
from ..requests.job import Delivered, Failed, Lost, NotRun, Outcome, Unsure
from ..settings import GatewaySettings
from ..store.storecontact import StoreContact
from ..store.storeobjects import RolloutOrder, RolloutState, RolloutStatus
from .attempt import VersionAttempt
from .rolloutlog import log_counts, log_evidence, log_since_end
from .trial import (
    PinnedSession,
    TallyKey,
    Trial,
    make_tally,
    name_source,
    sum_tallies,
)

log = logbook.Logger("rollout")

# Interval at which trials are judged and statuses written.
TICK_SECONDS = 0.25

# The same while a version with all requests waits for its end.
END_TICK_SECONDS = 0.05

# How long before the end of a trial gateways tell each other what they have counted:
# those of other failure domains report once a second otherwise.  A trial whose order
# was seen late has less time for its evidence.
LAST_REPORTS_SECONDS = (0.1,)
LATE_REPORTS_SECONDS = (0.6, 0.35, 0.1)

# Interval at which a gateway gives what it has too much of a version's allowance: its
# peers have reported what they got by then.
GIFT_SECONDS = 0.6

# How long a roll-out goes on while its order is missing.  A list that lacks an order
# for a moment would otherwise take the counts and the verdict with it.
MISSING_SECONDS = 5.0

# Time after an order in which the rate of requests is counted, before some of them use
# the new version.
RATE_SECONDS = 1.0

# Timeout of writing a status.
WRITE_TIMEOUT_SECONDS = 1.5

# The first live gateway writes a status at once.  Each further one waits this much
# longer, in case those before it fail to write.
WRITE_DELAY_SECONDS = 0.6

# How long a new pin is reported to peers, which is in two or three updates.
PIN_REPORT_SECONDS = {Audience.NEAR: 0.7, Audience.FAR: 2.3}
MOST_REPORTED_PINS = 40

# Interval between updates with tallies.  They are most of the bytes during a roll-out;
# in every update, they would leave little of a slow link for callers.
TALLY_SECONDS = 0.4

# Time after the end of a roll-out at which the version's answers since are logged.
AFTER_SECONDS = 5.0


class StatusWriter(Protocol):
    """The call to the store that writes a status."""

    async def write_status(
        self, *, service: str, revision: int, status: RolloutStatus, timeout: float
    ) -> bool:
        """Write the status if the order is still at `revision`; return success."""


class Rollouts:
    """All roll-outs, at most one per service.

    `find_write_rank` returns this gateway's turn in writing statuses, 0 for the
    first, and `count_gateways` how many there are, None while it isn't known.
    `lifetime` tells this process from earlier ones of the same name, `is_stopping`
    returns whether it takes no more requests, and `tell_peers` sends them an update
    soon.
    """

    __slots__ = (
        "_contact",
        "_count_gateways",
        "_fleet",
        "_is_loaded",
        "_is_stopping",
        "_loop",
        "_find_write_rank",
        "_pace",
        "_running",
        "_settings",
        "_source",
        "_store",
        "_tallied_at",
        "_tell_peers",
        "_trials",
    )

    def __init__(
        self,
        *,
        fleet: Fleet,
        store: StatusWriter,
        settings: GatewaySettings,
        find_write_rank: Callable[[], int],
        count_gateways: Callable[[], int | None],
        contact: StoreContact,
        lifetime: str,
        is_stopping: Callable[[], bool],
        tell_peers: Callable[[], None],
    ) -> None:
        self._contact = contact
        self._count_gateways = count_gateways
        self._fleet = fleet
        self._is_loaded = False
        self._is_stopping = is_stopping
        self._source = name_source(settings.name, lifetime)
        self._tell_peers = tell_peers
        self._store = store
        self._settings = settings
        self._find_write_rank = find_write_rank
        self._loop = asyncio.get_running_loop()
        self._trials: dict[str, Trial] = {}
        self._pace = PiecePace()
        self._running: dict[int, VersionAttempt] = {}
        self._tallied_at = dict.fromkeys(Audience, float("-inf"))

    def replace_all(
        self, objects: dict[str, object], *, made_after: float | None = None
    ) -> None:
        """Replace all orders by the store's list.

        New ones were made after the loop time `made_after`, None if it isn't known.
        """
        for service in self._trials.keys() - objects.keys():
            self._drop(service)
        self.apply_changes(objects, made_after=made_after)

    def apply_changes(
        self, objects: dict[str, object | None], *, made_after: float | None = None
    ) -> None:
        """Apply changed orders; None stands for a removed one.

        New ones were made after the loop time `made_after`, None if it isn't known.
        """
        for name, found in objects.items():
            match found:
                case RolloutOrder():
                    self._apply(found, made_after=made_after)
                case None:
                    self._drop(name)
        self._is_loaded = True

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        self._settings = settings

    @property
    def orders(self) -> tuple[RolloutOrder, ...]:
        """Return all orders that aren't missing."""
        trials = self._trials.values()
        return tuple(trial.order for trial in trials if trial.missing_since is None)

    def choose_version(
        self, *, service: str, session: str, request: str
    ) -> VersionChoice:
        """Return the versions that a request may go to."""
        trial = self._trials.get(service)
        if trial is None or self._is_gone(trial):
            return ANY_VERSION
        version = trial.order.version
        if trial.is_bad or trial.state is RolloutState.ROLLED_BACK:
            return VersionChoice(never=version, is_strict=True)
        if trial.state is RolloutState.DONE:
            return VersionChoice(only=version)
        allowance = self._find_allowance(trial)
        if not allowance.has_room:
            return VersionChoice(never=version, is_strict=True)
        share = self._find_share(trial, allowance, session=session)
        if self._is_new(trial, session, request, share=share):
            return VersionChoice(
                only=version, share=trial.share, slot=self._find_slot(trial)
            )
        return VersionChoice(never=version)

    def _find_allowance(self, trial: Trial) -> Allowance:
        """Return what this gateway may send to a version on trial."""
        return trial.account.find_allowance(
            share=self._settings.exposure_share, slack=self._settings.exposure_slack
        )

    def _find_share(self, trial: Trial, allowance: Allowance, *, session: str) -> float:
        """Return the share of sessions that use the new version at this gateway.

        A session stays there for as long as all gateways together have enough and this
        one has room: its caller would otherwise see the old version again.
        """
        if trial.moved_at is None:
            return trial.share
        if session:
            return max(trial.common_share, trial.trial_share)
        own = self._find_moved_share(
            trial, allowance.left, rate=trial.account.find_rate(self._loop.time())
        )
        return max(limit_share(trial.common_share, own), trial.trial_share)

    def _find_moved_share(self, trial: Trial, left: float, *, rate: float) -> float:
        return find_moved_share(
            left=left,
            share=self._settings.exposure_share,
            rate=rate,
            remaining=trial.since + trial.order.seconds - self._loop.time(),
            end_seconds=trial.end_seconds,
            kept_factor=trial.kept_factor,
        )

    def _find_slot(self, trial: Trial) -> int:
        if trial.share >= 1.0:
            return 0
        elapsed = self._loop.time() - trial.since
        return find_slot(elapsed=elapsed, limit=trial.order.seconds)

    def begin(self, attempt: VersionAttempt) -> None:
        """Note that a request was sent."""
        self._running[id(attempt)] = attempt
        trial = self._trials.get(attempt.service)
        if trial is not None:
            trial.account.count_sent(
                is_new=attempt.version == trial.order.version, now=self._loop.time()
            )

    def note_reached(self, attempt: VersionAttempt) -> None:
        """Note that an endpoint begins to answer an attempt."""
        trial = self._trials.get(attempt.service)
        if trial is None or attempt.has_reached or not is_counted(trial, attempt):
            return
        attempt.has_reached = True
        trial.account.count_reached()

    def end(self, attempt: VersionAttempt, outcome: Outcome | None) -> None:
        """Count the answer of an attempt; `outcome` is None if it was cancelled."""
        self._running.pop(id(attempt), None)
        self._count_since_end(attempt, outcome)
        self._count_reach(attempt, outcome)
        match outcome:
            case NotRun() | Lost(is_blameless=True):
                return
            case Delivered() | Unsure():
                attempt.slowness = self._measure(attempt)
                self._count(attempt, is_bad=False)
            case Failed():
                self._count(attempt, is_bad=True)
            case Lost():
                attempt.slowness = self._measure_unfinished(attempt)
                self._count_loss(attempt)
            case None:
                attempt.slowness = self._measure_unfinished(attempt)
                if attempt.slowness.whole is not None:
                    self._count(attempt, is_bad=attempt.slowness.is_overdue)

    def _count_reach(self, attempt: VersionAttempt, outcome: Outcome | None) -> None:
        """Count whether an attempt reached its endpoint, or wasn't even sent."""
        if isinstance(outcome, Delivered | Unsure | Failed):
            self.note_reached(attempt)
        trial = self._trials.get(attempt.service)
        if trial is None or not is_counted(trial, attempt):
            return
        if isinstance(outcome, NotRun) or not attempt.is_sent:
            trial.account.count_not_run(
                is_new=attempt.version == trial.order.version, is_sent=attempt.is_sent
            )

    def _count_since_end(
        self, attempt: VersionAttempt, outcome: Outcome | None
    ) -> None:
        trial = self._trials.get(attempt.service)
        if trial is None or not trial.has_ended:
            return
        if attempt.version == trial.order.version:
            trial.answers_since_end += isinstance(outcome, Delivered | Failed | Lost)
            trial.bad_since_end += isinstance(outcome, Failed | Lost)

    def _measure(self, attempt: VersionAttempt) -> Slowness:
        """Return the slowness of a complete answer, and learn the usual pace from it.

        A version on trial must not influence what it is measured by.
        """
        slowness = find_slowness(
            attempt.times,
            piece_seconds=self._pace.find(attempt.model),
            now=self._loop.time(),
        )
        trial = self._trials.get(attempt.service)
        if trial is None or trial.order.version != attempt.version:
            self._pace.note(attempt.model, attempt.times)
        return slowness

    def _measure_unfinished(self, attempt: VersionAttempt) -> Slowness:
        return find_unfinished_slowness(
            attempt.times,
            piece_seconds=self._pace.find(attempt.model),
            now=self._loop.time(),
        )

    def _find_running_trial(self, service: str) -> Trial | None:
        trial = self._trials.get(service)
        return None if trial is None or trial.has_ended else trial

    def _count(self, attempt: VersionAttempt, *, is_bad: bool) -> None:
        trial = self._find_running_trial(attempt.service)
        if trial is not None:
            self._note_latest(trial, attempt, is_bad=is_bad)
            key = find_key(trial, attempt)
            trial.count(make_tally(key, is_bad=is_bad, slowness=attempt.slowness))

    def _note_latest(
        self, trial: Trial, attempt: VersionAttempt, *, is_bad: bool
    ) -> None:
        """Note an answer since the move; peers hear of doubts soon."""
        if trial.moved_at is None or attempt.version != trial.order.version:
            return
        now = self._loop.time()
        was_doubting = trial.is_doubting(now)
        trial.note_latest(is_bad=is_bad, now=now)
        if trial.is_doubting(now) and not was_doubting:
            self._tell_peers()

    def _count_loss(self, attempt: VersionAttempt) -> None:
        trial = self._find_running_trial(attempt.service)
        if trial is not None:
            self._note_latest(trial, attempt, is_bad=True)
            key = find_key(trial, attempt)
            tally = make_tally(key, is_bad=True, slowness=attempt.slowness)
            trial.count_loss(tally, endpoint=attempt.endpoint, now=self._loop.time())

    def _list_tallies(self, trial: Trial) -> tuple[Tally, ...]:
        """Return this gateway's tallies, with the answers that are under way."""
        under_way = (
            self._make_unfinished_tally(trial, attempt)
            for attempt in self._running.values()
            if attempt.service == trial.order.service
        )
        totals = sum_tallies(itertools.chain(trial.tallies.values(), under_way))
        return tuple(totals.values())

    def _make_unfinished_tally(self, trial: Trial, attempt: VersionAttempt) -> Tally:
        """Return the tally of an answer under way, which counts by its times only."""
        tally = make_tally(
            find_key(trial, attempt),
            is_bad=False,
            slowness=self._measure_unfinished(attempt),
        )
        return msgspec.structs.replace(tally, answers=0)

    def receive_update(self, update: PeerUpdate) -> None:
        """Merge a peer's reports of the current roll-outs."""
        now = self._loop.time()
        for report in update.trials:
            trial = self._trials.get(report.service)
            if trial is None or trial.key != (
                report.service,
                report.version,
                report.created,
            ):
                continue
            if report.is_witnessed:
                trial.receive_since(now - report.elapsed)
            if report.unseen >= 0.0:
                trial.receive_made_after(now - report.elapsed - report.unseen)
            if report.is_bad and not trial.is_bad:
                log.notice("rollout: {} says {} is bad", update.name, report.version)
                trial.is_bad = True
            if not trial.is_bad:
                self._receive_share(trial, report)
            source = name_source(update.name, update.lifetime)
            trial.receive_counts(source, report, now)
            self._receive_gifts(trial, source, report.gifts)
            for pin in update.pins:
                trial.pins[pin.session] = PinnedSession(now, pin.is_new, float("-inf"))

    def _receive_gifts(
        self, trial: Trial, source: str, gifts: tuple[Gift, ...]
    ) -> None:
        for gift in gifts:
            if gift.receiver == self._source:
                trial.account.receive(source, gift.requests)

    def report(
        self, audience: Audience
    ) -> tuple[tuple[TrialReport, ...], tuple[SessionPin, ...]]:
        """Return the trials and pins to report to peers."""
        now = self._loop.time()
        running = [
            trial
            for trial in self._trials.values()
            if not (trial.has_ended or self._is_gone(trial))
        ]
        has_tallies = now >= self._tallied_at[audience] + TALLY_SECONDS
        if has_tallies:
            self._tallied_at[audience] = now
        trials = tuple(
            self._report_trial(trial, has_tallies=has_tallies) for trial in running
        )
        pins = [
            SessionPin(session, seen.is_new)
            for trial in running
            for session, seen in trial.pins.items()
            if now < seen.set_at + PIN_REPORT_SECONDS[audience]
        ]
        return trials, tuple(pins[-MOST_REPORTED_PINS:])

    def _report_trial(self, trial: Trial, *, has_tallies: bool) -> TrialReport:
        now = self._loop.time()
        account = trial.account
        has_tallies = has_tallies or (trial.is_seen_late and trial.last_reports > 0)
        return TrialReport(
            *trial.key,
            now - trial.since,
            trial.is_bad,
            self._list_tallies(trial) if has_tallies else (),
            trial.is_witnessed,
            account.sent,
            account.sent_new,
            trial.share,
            -1.0 if trial.moved_at is None else now - trial.moved_at,
            0.0 if self._is_stopping() else account.find_mean_rate(now),
            0.0 if self._is_stopping() else account.find_latest_rate(now),
            self._find_allowance(trial).left,
            account.list_gifts(now),
            trial.is_doubting(now),
            trial.last_reports,
            -1.0 if trial.unseen is None else trial.unseen,
        )

    def stop(self) -> None:
        """Give peers all that is left for versions on trial; they get the requests."""
        for trial in self._trials.values():
            trial.given_at = float("-inf")
            if not trial.has_ended:
                self._give(trial)
        self._tell_peers()

    async def run(self) -> None:
        """Judge trials and write statuses until cancelled."""
        while True:
            await asyncio.sleep(self._find_pause())
            for trial in tuple(self._trials.values()):
                self._log_progress(trial)
                if not (trial.has_ended or self._is_gone(trial)):
                    await self._advance(trial)

    def _find_pause(self) -> float:
        """Return the seconds to the next tick, less around the end of a trial."""
        running = (trial for trial in self._trials.values() if not trial.has_ended)
        is_near = any(map(self._is_step_near, running))
        return END_TICK_SECONDS if is_near else TICK_SECONDS

    def _is_step_near(self, trial: Trial) -> bool:
        """Return whether a trial moves all requests soon, or is about to end."""
        now = self._loop.time()
        if trial.moved_at is not None:
            return -trial.end_seconds <= trial.ends_at - now <= TICK_SECONDS
        if not trial.is_seen_late:
            return False
        progress = self._find_progress(trial)
        soon = msgspec.structs.replace(
            progress, elapsed=progress.elapsed + TICK_SECONDS
        )
        return must_move(soon) and progress.remaining > 0.0

    def _log_progress(self, trial: Trial) -> None:
        """Log the counts at the time limit, and the answers after the end."""
        if not trial.is_overdue:
            self._log_at_limit(trial)
        now = self._loop.time()
        if trial.ended_at is not None and now >= trial.ended_at + AFTER_SECONDS:
            trial.ended_at = None
            log_since_end(trial)

    def _log_at_limit(self, trial: Trial) -> None:
        progress = self._find_progress(trial)
        if progress.part < 1.0:
            return
        trial.is_overdue = True
        log_counts(trial, progress)
        if not trial.has_ended:
            log_evidence(trial, progress)

    def _receive_share(self, trial: Trial, report: TrialReport) -> None:
        """Use as much of the new version as a peer, so that sessions may go there."""
        trial.raise_share(report.share)
        if report.moved_for >= 0.0:
            at = self._loop.time() - report.moved_for
            self._move(trial, at)

    async def _advance(self, trial: Trial) -> None:
        now = self._loop.time()
        trial.apply_estimate(now)
        trial.account.note_gateways(self._count_gateways())
        self._judge(trial)
        self._change_share(trial)
        self._give(trial)
        self._report_last(trial)
        if trial.missing_since is not None:
            return
        wanted = self._find_state(trial)
        status = trial.order.status
        is_written = status is not None and status.version == trial.order.version
        if is_written and status.state is wanted:
            trial.write_after = None
            return
        if trial.write_after is None:
            wait = WRITE_DELAY_SECONDS * self._find_write_rank()
            trial.write_after = now + wait * (0.8 + 0.4 * random.random())
        if now < trial.write_after or self._contact.lost_at is not None:
            return
        await self._write(trial, wanted)

    def _judge(self, trial: Trial) -> None:
        if trial.is_bad:
            return
        now = self._loop.time()
        peers = (peer.tallies for peer in trial.peers.values())
        totals = sum_tallies(itertools.chain(self._list_tallies(trial), *peers))
        demand = self._find_demand(trial)
        before = trial.evidence.verdict
        trial.evidence = judge(
            tallies=totals.values(),
            recent=trial.list_recent(totals, now),
            version=trial.order.version,
            demand=demand,
        )
        if trial.moved_at is not None:
            trial.full_load = confirm(
                tallies=trial.list_since_move(totals),
                version=trial.order.version,
                demand=demand,
            )
        trial.keep_totals(totals, now)
        verdicts = {trial.evidence.verdict, trial.full_load.verdict}
        trial.is_bad = Verdict.BAD in verdicts or self._gives_up(trial)
        if trial.is_bad or trial.evidence.verdict is not before:
            log_evidence(trial, self._find_progress(trial))

    def _gives_up(self, trial: Trial) -> bool:
        """Return whether a version is rolled back for want of evidence."""
        progress = self._find_progress(trial)
        return not self._is_sound(trial, progress) and must_give_up(
            progress,
            has_moved=trial.moved_at is not None,
            is_doubted=trial.evidence.is_doubted or trial.full_load.is_doubted,
        )

    def _find_demand(self, trial: Trial) -> Demand:
        versions = VersionChoice(only=trial.order.version, is_strict=True)
        states = self._fleet.select(service=trial.order.service, versions=versions)
        return find_demand(
            self._find_progress(trial),
            endpoints=len(states),
            old_endpoints=trial.old_endpoints,
            moved=trial.moved,
        )

    def _find_progress(self, trial: Trial) -> Progress:
        sent, sent_new = trial.find_sent()
        now = self._loop.time()
        return Progress(
            elapsed=now - trial.since,
            limit=trial.order.seconds,
            sent=sent,
            sent_new=sent_new,
            rate=trial.find_mean_rate(now),
            latest_rate=trial.find_rate(now),
            left=sum(max(holder.left, 0.0) for holder in self._list_holders(trial)),
            allowed_share=self._settings.exposure_share,
            slack=self._settings.exposure_slack,
            unseen=trial.counted_unseen,
        )

    def _list_holders(self, trial: Trial) -> list[Holder]:
        """Return what all live gateways have left, this one first.

        One that stops needs nothing any more, and gives all that it has left.
        """
        now = self._loop.time()
        left = self._find_allowance(trial).left
        rate = 0.0 if self._is_stopping() else trial.account.find_rate(now)
        own = Holder(self._source, left, rate)
        return [own, *trial.list_peers(now)]

    def _give(self, trial: Trial) -> None:
        """Give peers what this gateway has too much for the requests that it gets."""
        now = self._loop.time()
        if trial.is_bad or now < trial.given_at + GIFT_SECONDS:
            return
        trial.given_at = now
        own, *others = self._list_holders(trial)
        gifts = find_gifts(own=own, others=others)
        trial.account.give(gifts, now=now)

    def _report_last(self, trial: Trial) -> None:
        """Tell peers shortly before the end what has been counted so far."""
        if trial.moved_at is None:
            return
        remaining = trial.ends_at - self._loop.time()
        times = LATE_REPORTS_SECONDS if trial.is_seen_late else LAST_REPORTS_SECONDS
        due = sum(remaining <= seconds for seconds in times)
        if due > trial.last_reports:
            trial.last_reports = due
            self._tell_peers()

    def _change_share(self, trial: Trial) -> None:
        """Raise the new version's share as far as its evidence and the time allow."""
        if trial.is_bad:
            return
        progress = self._find_progress(trial)
        self._update_common_share(trial, progress)
        if trial.moved_at is not None:
            return
        settling = self._settings.session_seconds
        if progress.sent and progress.elapsed >= RATE_SECONDS:
            trial.raise_share(find_trial_share(progress, settling=settling))
        is_due = may_move(progress) and not trial.evidence.is_doubted
        is_good = trial.evidence.verdict is Verdict.GOOD
        if is_due or (is_good and must_move(progress)):
            self._move(trial, self._loop.time())
            log_evidence(trial, progress)

    def _update_common_share(self, trial: Trial, progress: Progress) -> None:
        trial.common_share = self._find_moved_share(
            trial, progress.left, rate=progress.latest_rate
        )

    def _is_sound(self, trial: Trial, progress: Progress) -> bool:
        """Return whether the evidence suffices to give up the old endpoints."""
        found = (trial.evidence, trial.full_load)
        if is_quiet(progress):
            return not any(evidence.is_doubted for evidence in found)
        return all(evidence.verdict is Verdict.GOOD for evidence in found)

    def _move(self, trial: Trial, at: float) -> None:
        """Let all requests use the new version since the loop time `at`."""
        if trial.moved is None:
            trial.old_endpoints = len(self._list_old(trial))
        progress = self._find_progress(trial)
        trial.move(at, progress=progress)
        self._update_common_share(trial, progress)

    def _find_state(self, trial: Trial) -> RolloutState:
        if trial.is_bad:
            return RolloutState.ROLLED_BACK
        progress = self._find_progress(trial)
        now = self._loop.time()
        is_held_up = trial.is_held_up(now) or not self._is_sound(trial, progress)
        if trial.moved_at is None or is_held_up:
            trial.sound_since = None
            return RolloutState.RUNNING
        if trial.sound_since is None:
            trial.sound_since = now
        is_over = may_end(
            progress,
            moved_for=now - trial.moved_at,
            sound_for=now - trial.sound_since,
            is_covered=self._is_covered(trial, progress),
        )
        return RolloutState.DONE if is_over else RolloutState.RUNNING

    def _is_covered(self, trial: Trial, progress: Progress) -> bool:
        """Return whether all requests until the limit may use the new version."""
        return covers(
            self._list_holders(trial),
            share=progress.allowed_share,
            rate=progress.latest_rate,
            remaining=progress.remaining,
            end_seconds=progress.end_seconds,
            kept_factor=trial.kept_factor,
        )

    def _list_old(self, trial: Trial) -> list[EndpointState]:
        """Return the endpoints of other versions."""
        versions = VersionChoice(never=trial.order.version, is_strict=True)
        return self._fleet.select(service=trial.order.service, versions=versions)

    async def _write(self, trial: Trial, state: RolloutState) -> None:
        order = trial.order
        status = RolloutStatus(
            state=state,
            version=order.version,
            since=time.time() - (self._loop.time() - trial.since),
        )
        written = await self._store.write_status(
            service=order.service,
            revision=order.revision,
            status=status,
            timeout=WRITE_TIMEOUT_SECONDS,
        )
        log.info(
            "rollout: {} of {} {}: {} at revision {}",
            order.version,
            order.service,
            state.value,
            "written" if written else "not written",
            order.revision,
        )
        trial.write_after = None
        if written and self._trials.get(order.service) is trial:
            order = msgspec.structs.replace(trial.order, status=status)
            trial.replace_order(order, now=self._loop.time())

    def _is_new(
        self, trial: Trial, session: str, request: str, *, share: float
    ) -> bool:
        now = self._loop.time()
        elapsed = now - trial.since
        point = xxhash.xxh3_64_intdigest((session or request).encode()) / 2**64
        is_new = point < share
        if not session or elapsed >= trial.order.seconds * FREE_SESSIONS_PART:
            return is_new
        # In the first half a session that used the old version a moment ago stays
        # there, since its caller would otherwise see answers of two versions.
        if point >= MAX_TRIAL_SHARE:
            return is_new
        key = xxhash.xxh32_intdigest(session.encode())
        seen = trial.pins.get(key)
        if seen is not None and now < seen.at + self._settings.session_seconds:
            seen.at = now
            return seen.is_new
        is_new = is_new and elapsed >= self._settings.session_seconds
        trial.pins[key] = PinnedSession(now, is_new, now)
        return is_new

    def _apply(self, order: RolloutOrder, *, made_after: float | None) -> None:
        trial = self._trials.get(order.service)
        known = trial.key if trial else None
        if known == (order.service, order.version, order.created):
            trial.missing_since = None
            if order.revision >= trial.order.revision:
                self._note_state(trial, order)
                trial.replace_order(order, now=self._loop.time())
            return
        now = self._loop.time()
        estimated_since = _estimate_since(order, now)
        self._trials[order.service] = Trial(
            order=order,
            now=now,
            estimated_since=estimated_since,
            made_after=made_after,
            has_slack=self._is_loaded,
        )
        self._trials[order.service].account.note_gateways(self._count_gateways())
        log.info(
            "rollout: {} to {} within {:.1f} s, seen after {:.1f} s by the clock",
            order.service,
            order.version,
            order.seconds,
            now - estimated_since if estimated_since is not None else 0.0,
        )

    def _note_state(self, trial: Trial, order: RolloutOrder) -> None:
        before = trial.state
        after = Trial(order=order, now=0.0).state
        if before is not after:
            log.info(
                "rollout: {} of {} is {}", order.version, order.service, after.value
            )

    def _drop(self, service: str) -> None:
        """Note that an order is missing; its counts stay, as it may return."""
        trial = self._trials.get(service)
        if trial is not None and trial.missing_since is None:
            log.info("rollout: order for {} was removed", service)
            trial.missing_since = self._loop.time()

    def _is_gone(self, trial: Trial) -> bool:
        """Return whether an order has been missing for so long that it is withdrawn."""
        since = trial.missing_since
        return since is not None and self._loop.time() >= since + MISSING_SECONDS


def is_counted(trial: Trial, attempt: VersionAttempt) -> bool:
    """Return whether an attempt was sent since its roll-out was seen."""
    return attempt.times.sent_at >= trial.received_at


def find_key(trial: Trial, attempt: VersionAttempt) -> TallyKey:
    """Return the key of the tally that an attempt counts in.

    The other versions' endpoints count together, which keeps updates small.
    """
    is_new = attempt.version == trial.order.version
    version = attempt.version if is_new else ""
    return (version, attempt.route, attempt.endpoint if is_new else "")


def _estimate_since(order: RolloutOrder, now: float) -> float | None:
    """Return the loop time at which a roll-out began according to its status.

    Returns None if the order has no status.  An order may still hold the status of
    the previous version, which doesn't count.
    """
    status = order.status
    if status is None or status.version != order.version:
        return None
    return min(now, now - (time.time() - status.since)) if status.since else now
