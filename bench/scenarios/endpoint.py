"""A simulated endpoint: an agent's queue and window, and an engine's slots."""

import collections
import dataclasses
import random
from collections.abc import Callable, Mapping

from eelgrassrack.agent.drainrate import DrainRate
from eelgrassrack.decisions.admission import Arrival, Backlog, estimate_wait
from eelgrassrack.decisions.coldstart import CollapseReason, Window
from eelgrassrack.decisions.fairqueue import FairQueue, QueuedRequest
from eelgrassrack.decisions.reserve import SlotReserve
from eelgrassrack.decisions.waiting import count_ahead, is_patient

from .calls import Job
from .events import Timeline
from .rules import QueueRule, Rules

SECONDS_PER_TOKEN = 0.033

# A crashed engine restarts cold after this time.
RESTART_SECONDS = 5.0

# Each complete answer lets a cold engine run this many more requests at once.
WARM_UP_SLOTS = 0.6

MAX_QUEUED = 512


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class LoadReport:
    """An agent's report on the load of its endpoint, which entries get with a delay.

    `drain` is in tokens a second.  `queued_by_organisation` holds the queued tokens
    by organisation, and by the pair of organisation and whether a request is patient.
    """

    running: int = 0
    queued: int = 0
    window: int = 1
    queued_tokens: int = 0
    drain: float = 0.0
    engine_up: bool = True
    queued_by_organisation: dict[object, int] = dataclasses.field(default_factory=dict)


def count_own_ahead(
    own: Mapping[object, int], name: str, *, tokens: int, within: float
) -> int:
    """Return how many tokens of its own organisation a request waits for."""
    alike = own.get((name, is_patient(tokens=tokens, within=within)), 0)
    return count_ahead(own=own.get(name, 0), alike=alike)


class FifoQueue:
    """A first-in, first-out queue that drops requests past their deadline."""

    __slots__ = ("_items", "tokens")

    def __init__(self) -> None:
        self._items: collections.deque[QueuedRequest] = collections.deque()
        self.tokens = 0

    def __len__(self) -> int:
        return len(self._items)

    def push(self, waiting: QueuedRequest) -> bool:
        """Add a request at the end."""
        self._items.append(waiting)
        self.tokens += waiting.tokens
        return True

    def peek(self, *, now: float) -> QueuedRequest | None:
        """Drop late requests and return the oldest of the others."""
        while self._items and self._items[0].deadline <= now:
            self.tokens -= self._items.popleft().tokens
        return self._items[0] if self._items else None

    def pop(self, *, now: float) -> QueuedRequest | None:
        """Drop late requests, and remove and return the oldest of the others."""
        waiting = self.peek(now=now)
        if waiting is not None:
            self.tokens -= self._items.popleft().tokens
        return waiting

    def expire(self, *, now: float) -> list[QueuedRequest]:
        """Return nothing, because `peek` drops late requests."""
        return []


class SimulatedEndpoint:
    """A queue, a concurrency window and the slots of an engine.

    `floor` and `ceiling` are the slots of a cold and a warm engine; an engine that
    gets more requests than it can run crashes.  `slowness` multiplies the run times.
    """

    def __init__(
        self,
        *,
        timeline: Timeline,
        name: str,
        domain: str,
        rules: Rules,
        rng: random.Random,
        floor: int = 2,
        ceiling: int = 16,
        slowness: float = 1.0,
        is_warm: bool = True,
    ) -> None:
        self.timeline = timeline
        self.name = name
        self.domain = domain
        self.rules = rules
        self.slowness = slowness
        self.ceiling = ceiling
        self.floor = floor
        self.is_in = True
        self.engine_up = True
        self.crashes = 0
        self.busy_tokens = 0.0
        self._rng = rng
        self._usable_slots = float(ceiling if is_warm else floor)
        self._drain = DrainRate()
        self._jobs: dict[str, tuple[Job, Callable]] = {}
        self._running: dict[str, tuple[Job, Callable]] = {}
        self._queued_by_organisation: collections.Counter[object] = (
            collections.Counter()
        )
        self._weights: dict[str, float] = {}
        self._reserve = SlotReserve()
        is_fair = rules.queue is QueueRule.FAIR
        self._queue = FairQueue() if is_fair else FifoQueue()
        self._numbers = 0
        low = ceiling if rules.fixed_window else floor
        self.window = Window(floor=low, ceiling=ceiling, now=-1_000.0)
        if is_warm:
            for _ in range(2 * ceiling):
                self.window.complete(now=0.0)

    def report(self) -> LoadReport:
        """Return the load as it is now."""
        return LoadReport(
            running=len(self._running),
            queued=len(self._queue),
            window=self.window.size,
            queued_tokens=self._queue.tokens,
            drain=self._drain.find_rate(window=self.window.size),
            engine_up=self.engine_up and self.is_in,
            queued_by_organisation=dict(self._queued_by_organisation)
            if self.rules.separates_own
            else {},
        )

    def offer(self, job: Job, on_end: Callable[[Job, str], None]) -> None:
        """Queue a job, or refuse it at once.

        `on_end` is called once with the job and its result: "whole", "late", "failed"
        or "not run".
        """
        if not self.engine_up or not self.is_in:
            on_end(job, "not run")
            return
        if not self.rules.admits_all and self._is_too_late(job):
            on_end(job, "not run")
            return
        self._numbers += 1
        key = f"{self.name}-{self._numbers}"
        call = job.call
        self._jobs[key] = job, on_end
        self._add_queued_tokens(job, 1)
        self._queue.push(
            QueuedRequest(
                key=key,
                organisation=call.organisation.name,
                weight=call.organisation.weight,
                tokens=call.requested_tokens,
                deadline=job.deadline,
                priority=call.organisation.priority,
                arrived=self.timeline.now,
            )
        )
        if len(self._queue) > MAX_QUEUED and not self.rules.admits_all:
            displaced = self._queue.find_displaced(limit=-1)
            self._queue.discard(key=displaced.key)
            self._end_waiting(displaced.key, "not run")
        self._pump()

    def crash(self) -> None:
        """Fail all running jobs, refuse the queued ones, and restart cold."""
        self.crashes += 1
        self._go_cold(CollapseReason.ENGINE_FAILED)
        self.engine_up = False
        self.timeline.after(RESTART_SECONDS, self._restart)
        for job, on_end in list(self._running.values()):
            on_end(job, "failed")
        self._running.clear()
        self._refuse_waiting()

    def take_out(self) -> None:
        """Start no more jobs and refuse the queued ones; running jobs may end."""
        self.is_in = False
        self._refuse_waiting()

    def bring_back(self) -> None:
        """Accept jobs again, with a cold engine."""
        self.is_in = True
        self._go_cold(CollapseReason.ENGINE_RESTARTED)

    def _go_cold(self, reason: CollapseReason) -> None:
        self._usable_slots = float(self.floor)
        self.window.collapse(now=self.timeline.now, reason=reason)

    def _restart(self) -> None:
        self.engine_up = True
        self._pump()

    def _refuse_waiting(self) -> None:
        for key in list(self._jobs):
            if key not in self._running:
                if isinstance(self._queue, FairQueue):
                    self._queue.discard(key=key)
                self._end_waiting(key, "not run")
        if not isinstance(self._queue, FairQueue):
            self._queue = FifoQueue()

    def _is_too_late(self, job: Job) -> bool:
        organisation = job.call.organisation
        self._weights[organisation.name] = organisation.weight
        waiting = {
            name for name in self._queued_by_organisation if isinstance(name, str)
        }
        waiting.add(organisation.name)
        wait = estimate_wait(
            arrival=Arrival(
                organisation=organisation.name,
                tokens=job.call.requested_tokens,
                within=job.deadline - self.timeline.now,
            ),
            weight=organisation.weight,
            backlog=Backlog(
                tokens=self._queue.tokens,
                drain=self._drain.find_rate(window=self.window.size),
                own=count_own_ahead(
                    self._queued_by_organisation,
                    organisation.name,
                    tokens=job.call.requested_tokens,
                    within=job.call.within,
                ),
                weights=sum(self._weights[name] for name in waiting),
            ),
        )
        return self.timeline.now + wait >= job.deadline

    def _pump(self) -> None:
        now = self.timeline.now
        while self.engine_up and self.is_in:
            room = self.window.count_free(running=len(self._running))
            if room <= 0:
                break
            waiting = self._take_next(now)
            if waiting is None:
                break
            self._start(waiting)
        for waiting in self._queue.expire(now=now):
            self._end_waiting(waiting.key, "late")

    def _take_next(self, now: float) -> QueuedRequest | None:
        if self.rules.queue is QueueRule.FIFO or not self.rules.reserves:
            return self._queue.pop(now=now)
        free = self.window.count_free(running=len(self._running))
        may_start = self._reserve.judge(free=free, window=self.window.size, now=now)
        return self._queue.pop(now=now, may_start=may_start)

    def _start(self, waiting: QueuedRequest) -> None:
        job, on_end = self._jobs.pop(waiting.key)
        self._subtract_queued_tokens(job)
        if len(self._running) >= int(self._usable_slots):
            on_end(job, "failed")
            self.crash()
            return
        now = self.timeline.now
        self._running[waiting.key] = job, on_end
        self._reserve.start(organisation=waiting.organisation, now=now)
        job.started = now
        job.runs += 1
        seconds = job.call.prefill + job.call.tokens * SECONDS_PER_TOKEN
        seconds *= self.slowness
        key = waiting.key
        ends = min(now + seconds, job.deadline)
        self.timeline.at(ends, lambda: self._finish(key, now, now + seconds, waiting))

    def _finish(
        self, key: str, began: float, ends: float, waiting: QueuedRequest
    ) -> None:
        self._reserve.end(organisation=waiting.organisation)
        found = self._running.pop(key, None)
        if found is None:
            return
        job, on_end = found
        now = self.timeline.now
        if ends > job.deadline:
            on_end(job, "late")
        else:
            self.window.complete(now=now, began=began)
            self._usable_slots = min(self._usable_slots + WARM_UP_SLOTS, self.ceiling)
            self._drain.observe(tokens=job.call.requested_tokens, seconds=now - began)
            on_end(job, "whole")
        self._pump()

    def _end_waiting(self, key: str, result: str) -> None:
        job, on_end = self._jobs.pop(key)
        self._subtract_queued_tokens(job)
        on_end(job, result)

    def _subtract_queued_tokens(self, job: Job) -> None:
        self._add_queued_tokens(job, -1)

    def _add_queued_tokens(self, job: Job, sign: int) -> None:
        name = job.call.organisation.name
        patient = is_patient(
            tokens=job.call.requested_tokens, within=job.deadline - job.sent
        )
        for key in (name, (name, patient)):
            self._queued_by_organisation[key] += sign * job.call.requested_tokens
            if self._queued_by_organisation[key] <= 0:
                del self._queued_by_organisation[key]
