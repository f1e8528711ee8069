"""Roll-outs: which version a request goes to, and what is written of it."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from typing import Protocol

import logbook
import msgspec
import xxhash

from ..decisions.versiontrial import (
    find_share,
    find_trial_share,
    is_bad,
    is_slow,
    may_end,
)
from .fleet import ANY_VERSION, Fleet, VersionChoice
from .follower import Contact
from .peerupdates import Audience, PeerUpdate, Pin, TrialReport
from .settings import GatewaySettings
from .storeobjects import RolloutOrder, RolloutState, RolloutStatus
from .trial import Seen, Trial

log = logbook.Logger("rollout")

# How often trials are judged and statuses written.
TICK_SECONDS = 0.25

WRITE_SECONDS = 1.5

# The first of the live entries writes; the others wait this long for it.
WRITE_DELAY_SECONDS = 0.6

# Usual times are averaged over about this many answers.
USUAL_WEIGHT = 1 / 16

# A pin is told to peers for this long after it was set, in two or three news.
PIN_NEWS_SECONDS = {Audience.NEAR: 0.7, Audience.FAR: 2.3}
MOST_PINS_TOLD = 40

# Between news with tallies.  They are most of the bytes during a roll-out: sent
# with all news, they leave little of a thin link for callers.
TALLY_SECONDS = 0.9


class StatusWriter(Protocol):
    """The call that writes a status."""

    async def write_status(
        self, *, service: str, revision: int, status: RolloutStatus, timeout: float
    ) -> bool:
        """Write it if the object is still at `revision`."""


class Rollouts:
    """All roll-outs."""

    __slots__ = (
        "_contact",
        "_fleet",
        "_loop",
        "_rank",
        "_settings",
        "_store",
        "_tallied_at",
        "_trials",
        "_usual",
    )

    def __init__(
        self,
        *,
        fleet: Fleet,
        store: StatusWriter,
        settings: GatewaySettings,
        rank: Callable[[], int],
        contact: Contact,
    ) -> None:
        self._contact = contact
        self._fleet = fleet
        self._store = store
        self._settings = settings
        self._rank = rank
        self._loop = asyncio.get_running_loop()
        self._trials: dict[str, Trial] = {}
        self._usual: dict[tuple[str, str], float] = {}
        self._tallied_at = dict.fromkeys(Audience, float("-inf"))

    def take_list(self, objects: dict[str, object]) -> None:
        """Take over all orders."""
        for service in self._trials.keys() - objects.keys():
            self._drop(service)
        self.take_changes(objects)

    def take_changes(self, objects: dict[str, object | None]) -> None:
        """Take over orders that changed or were removed."""
        for name, found in objects.items():
            match found:
                case RolloutOrder():
                    self._take(found)
                case None:
                    self._drop(name)
                case _:
                    log.warning("rollout: order {} can't be read: {}", name, found)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Take over changed settings."""
        self._settings = settings

    @property
    def orders(self) -> tuple[RolloutOrder, ...]:
        """Return all orders."""
        return tuple(trial.order for trial in self._trials.values())

    def choose_version(
        self, *, service: str, session: str, request: str
    ) -> VersionChoice:
        """Return the versions that a request may go to."""
        trial = self._trials.get(service)
        if trial is None:
            return ANY_VERSION
        version = trial.order.version
        if trial.is_bad or trial.state is RolloutState.ROLLED_BACK:
            return VersionChoice(never=version, is_strict=True)
        if trial.state is RolloutState.DONE:
            return VersionChoice(only=version)
        if self._is_new(trial, session, request):
            return VersionChoice(only=version)
        return VersionChoice(never=version)

    def note(
        self,
        *,
        service: str,
        version: str,
        route: str,
        model: str,
        endpoint: str,
        failed: bool,
        seconds: float,
    ) -> None:
        """Learn from an answer; `seconds` is the time to its first piece."""
        trial = self._trials.get(service)
        kind = (route, model)
        is_new = trial is not None and version == trial.order.version
        slow = not failed and is_slow(seconds=seconds, usual=self._usual.get(kind))
        # What a new version does must not become the measure of itself.
        if not is_new and not failed:
            usual = self._usual.setdefault(kind, seconds)
            self._usual[kind] = usual + (seconds - usual) * USUAL_WEIGHT
        if trial is None or trial.is_over:
            return
        place = endpoint if is_new else ""
        trial.count(
            version=version if is_new else "",
            route=route,
            endpoint=place,
            is_bad=failed or slow,
        )

    def receive_update(self, news: PeerUpdate) -> None:
        """Take over what a peer knows of roll-outs."""
        now = self._loop.time()
        for told in news.trials:
            trial = self._trials.get(told.service)
            if trial is None or trial.key != (told.service, told.version, told.created):
                continue
            if told.is_witnessed:
                trial.hear_since(now - told.elapsed)
            if told.is_bad and not trial.is_bad:
                log.notice("rollout: {} says {} is bad", news.name, told.version)
                trial.is_bad = True
            if told.tallies:
                trial.told[f"{news.name}.{news.lifetime}"] = told.tallies
            for pin in news.pins:
                trial.pins[pin.session] = Seen(now, pin.is_new, float("-inf"))

    def tell(
        self, audience: Audience
    ) -> tuple[tuple[TrialReport, ...], tuple[Pin, ...]]:
        """Return the trials and pins for peers."""
        now = self._loop.time()
        running = [one for one in self._trials.values() if not one.is_over]
        has_tallies = now >= self._tallied_at[audience] + TALLY_SECONDS
        if has_tallies:
            self._tallied_at[audience] = now
        trials = tuple(
            TrialReport(
                *one.key,
                now - one.since,
                one.is_bad,
                one.list_tallies() if has_tallies else (),
                one.is_witnessed,
            )
            for one in running
        )
        pins = [
            Pin(session, seen.is_new)
            for one in running
            for session, seen in one.pins.items()
            if now < seen.set_at + PIN_NEWS_SECONDS[audience]
        ]
        return trials, tuple(pins[-MOST_PINS_TOLD:])

    async def run(self) -> None:
        """Judge trials and write statuses until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for trial in tuple(self._trials.values()):
                if not trial.is_over:
                    await self._advance(trial)

    async def _advance(self, trial: Trial) -> None:
        now = self._loop.time()
        trial.settle(now)
        self._judge(trial)
        wanted = self._find_wanted(trial, now - trial.since)
        status = trial.order.status
        is_written = status is not None and status.version == trial.order.version
        if is_written and status.state is wanted:
            trial.writing_from = None
            return
        if trial.writing_from is None:
            wait = WRITE_DELAY_SECONDS * self._rank()
            trial.writing_from = now + wait * (0.8 + 0.4 * random.random())
        if now < trial.writing_from or self._contact.lost_at is not None:
            return
        await self._write(trial, wanted)

    def _judge(self, trial: Trial) -> None:
        if trial.is_bad:
            return
        tallies = [*trial.list_tallies()]
        tallies += itertools.chain.from_iterable(trial.told.values())
        if is_bad(tallies=tallies, version=trial.order.version):
            trial.is_bad = True
            bad = sum(row.bad for row in tallies if row.version)
            log.notice(
                "rollout: {} of {} is bad: {} of {} answers, others {} of {}",
                trial.order.version,
                trial.order.service,
                bad,
                sum(row.answers for row in tallies if row.version),
                sum(row.bad for row in tallies if not row.version),
                sum(row.answers for row in tallies if not row.version),
            )

    def _find_wanted(self, trial: Trial, elapsed: float) -> RolloutState:
        if trial.is_bad:
            return RolloutState.ROLLED_BACK
        limit = trial.order.seconds
        running = self._count_old(trial)
        if may_end(elapsed=elapsed, limit=limit, old_running=running):
            return RolloutState.DONE
        return RolloutState.RUNNING

    def _count_old(self, trial: Trial) -> int:
        flights = self._fleet.select(service=trial.order.service)
        return sum(
            flight.running
            for flight in flights
            if flight.endpoint.version != trial.order.version
        )

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
            timeout=WRITE_SECONDS,
        )
        log.info(
            "rollout: {} of {} {}: {} at revision {}",
            order.version,
            order.service,
            state.value,
            "written" if written else "not written",
            order.revision,
        )
        trial.writing_from = None
        if written and self._trials.get(order.service) is trial:
            trial.order = msgspec.structs.replace(trial.order, status=status)

    def _is_new(self, trial: Trial, session: str, request: str) -> bool:
        now = self._loop.time()
        elapsed = now - trial.since
        limit = trial.order.seconds
        point = xxhash.xxh3_64_intdigest((session or request).encode()) / 2**64
        allowed = self._settings.exposure_share
        is_new = point < find_share(elapsed=elapsed, limit=limit, allowed=allowed)
        if not session or elapsed * 2 >= limit:
            return is_new
        # A session that was on the old version a moment ago stays there in
        # the first half: its caller would see answers of two versions.
        if point >= find_trial_share(allowed):
            return is_new
        key = xxhash.xxh32_intdigest(session.encode())
        seen = trial.pins.get(key)
        if seen is not None and now < seen.at + self._settings.session_seconds:
            seen.at = now
            return seen.is_new
        is_new = is_new and elapsed >= self._settings.session_seconds
        trial.pins[key] = Seen(now, is_new, now)
        return is_new

    def _take(self, order: RolloutOrder) -> None:
        trial = self._trials.get(order.service)
        known = trial.key if trial else None
        if known == (order.service, order.version, order.created):
            if order.revision >= trial.order.revision:
                self._note_state(trial, order)
                trial.order = order
            return
        now = self._loop.time()
        guess = _guess_since(order, now)
        self._trials[order.service] = Trial(order=order, now=now, guess=guess)
        log.info(
            "rollout: {} to {} within {:.1f} s, seen after {:.1f} s by the clock",
            order.service,
            order.version,
            order.seconds,
            now - guess if guess is not None else 0.0,
        )

    def _note_state(self, trial: Trial, order: RolloutOrder) -> None:
        before = trial.state
        after = Trial(order=order, now=0.0).state
        if before is not after:
            log.info(
                "rollout: {} of {} is {}", order.version, order.service, after.value
            )

    def _drop(self, service: str) -> None:
        trial = self._trials.pop(service, None)
        if trial is not None:
            log.info("rollout: order for {} was removed", service)


def _guess_since(order: RolloutOrder, now: float) -> float | None:
    """Return the loop's time at which an order began by its status, if it has one.

    An order may still hold what was written of the version before.
    """
    status = order.status
    if status is None or status.version != order.version:
        return None
    return min(now, now - (time.time() - status.since)) if status.since else now
