"""A simulated endpoint: its agent's queue and window, and the engine's slots."""

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

# A crashed engine is back after so many seconds, cold.
RESTART_SECONDS = 5.0

# Each whole answer lets a cold engine bear so much more.
WARMTH = 0.6

MOST_WAITING = 512


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Report:
    """What an agent says of its endpoint; entries hear it late."""

    running: int = 0
    queued: int = 0
    window: int = 1
    queued_tokens: int = 0
    drain: float = 0.0
    engine_up: bool = True
    own: dict[object, int] = dataclasses.field(default_factory=dict)


def count_own(
    own: Mapping[object, int], name: str, *, tokens: int, within: float
) -> int:
    """Return how many of its organisation's tokens an arrival waits for."""
    alike = own.get((name, is_patient(tokens=tokens, within=within)), 0)
    return count_ahead(own=own.get(name, 0), alike=alike)


class FifoQueue:
    """First come, first served; what is late is dropped."""

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
        """Return the oldest that isn't late."""
        while self._items and self._items[0].deadline <= now:
            self.tokens -= self._items.popleft().tokens
        return self._items[0] if self._items else None

    def pop(self, *, now: float) -> QueuedRequest | None:
        """Take out the oldest that isn't late."""
        waiting = self.peek(now=now)
        if waiting is not None:
            self.tokens -= self._items.popleft().tokens
        return waiting

    def expire(self, *, now: float) -> list[QueuedRequest]:
        """Return nothing: late ones are dropped."""
        return []


class Endpoint:
    """Queue, window and slots; `end` tells the entry how a job ended."""

    def __init__(
        self,
        *,
        timeline: Timeline,
        name: str,
        domain: str,
        rules: Rules,
        dice: random.Random,
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
        self._dice = dice
        self._bears = float(ceiling if is_warm else floor)
        self._drain = DrainRate()
        self._jobs: dict[str, tuple[Job, Callable]] = {}
        self._running: dict[str, tuple[Job, Callable]] = {}
        self._own: collections.Counter[object] = collections.Counter()
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

    def report(self) -> Report:
        """Return the load as it is now."""
        return Report(
            running=len(self._running),
            queued=len(self._queue),
            window=self.window.size,
            queued_tokens=self._queue.tokens,
            drain=self._drain.find_rate(window=self.window.size),
            engine_up=self.engine_up and self.is_in,
            own=dict(self._own) if self.rules.knows_own else {},
        )

    def offer(self, job: Job, end: Callable[[Job, str], None]) -> None:
        """Take a job, or tell at once that it isn't run."""
        if not self.engine_up or not self.is_in:
            end(job, "not run")
            return
        if not self.rules.admits_all and self._is_too_late(job):
            end(job, "not run")
            return
        self._numbers += 1
        key = f"{self.name}-{self._numbers}"
        call = job.call
        self._jobs[key] = job, end
        self._count(job, 1)
        self._queue.push(
            QueuedRequest(
                key=key,
                organisation=call.organisation.name,
                weight=call.organisation.weight,
                tokens=call.asked,
                deadline=job.deadline,
                priority=call.organisation.priority,
                arrived=self.timeline.now,
            )
        )
        if len(self._queue) > MOST_WAITING and not self.rules.admits_all:
            displaced = self._queue.find_displaced(limit=-1)
            self._queue.discard(key=displaced.key)
            self._give_back(displaced.key, "not run")
        self._pump()

    def crash(self) -> None:
        """End all that runs, refuse what waits, and restart cold."""
        self.crashes += 1
        self._go_cold(CollapseReason.ENGINE_FAILED)
        self.engine_up = False
        self.timeline.after(RESTART_SECONDS, self._restart)
        for job, end in list(self._running.values()):
            end(job, "failed")
        self._running.clear()
        self._refuse_waiting()

    def leave(self) -> None:
        """Start nothing more; what runs may end."""
        self.is_in = False
        self._refuse_waiting()

    def come_back(self) -> None:
        """Serve again, cold."""
        self.is_in = True
        self._go_cold(CollapseReason.ENGINE_RESTARTED)

    def _go_cold(self, reason: CollapseReason) -> None:
        self._bears = float(self.floor)
        self.window.collapse(now=self.timeline.now, reason=reason)

    def _restart(self) -> None:
        self.engine_up = True
        self._pump()

    def _refuse_waiting(self) -> None:
        for key in list(self._jobs):
            if key not in self._running:
                if isinstance(self._queue, FairQueue):
                    self._queue.discard(key=key)
                self._give_back(key, "not run")
        if not isinstance(self._queue, FairQueue):
            self._queue = FifoQueue()

    def _is_too_late(self, job: Job) -> bool:
        organisation = job.call.organisation
        self._weights[organisation.name] = organisation.weight
        waiting = {name for name in self._own if isinstance(name, str)}
        waiting.add(organisation.name)
        wait = estimate_wait(
            arrival=Arrival(
                organisation=organisation.name,
                tokens=job.call.asked,
                within=job.deadline - self.timeline.now,
            ),
            weight=organisation.weight,
            backlog=Backlog(
                tokens=self._queue.tokens,
                drain=self._drain.find_rate(window=self.window.size),
                own=count_own(
                    self._own,
                    organisation.name,
                    tokens=job.call.asked,
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
            self._give_back(waiting.key, "late")

    def _take_next(self, now: float) -> QueuedRequest | None:
        if self.rules.queue is QueueRule.FIFO or not self.rules.reserves:
            return self._queue.pop(now=now)
        free = self.window.count_free(running=len(self._running))
        may_start = self._reserve.judge(free=free, window=self.window.size, now=now)
        return self._queue.pop(now=now, may_start=may_start)

    def _start(self, waiting: QueuedRequest) -> None:
        job, end = self._jobs.pop(waiting.key)
        self._count_out(job)
        if len(self._running) >= int(self._bears):
            end(job, "failed")
            self.crash()
            return
        now = self.timeline.now
        self._running[waiting.key] = job, end
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
        job, end = found
        now = self.timeline.now
        if ends > job.deadline:
            end(job, "late")
        else:
            self.window.complete(now=now, began=began)
            self._bears = min(self._bears + WARMTH, self.ceiling)
            self._drain.observe(tokens=job.call.asked, seconds=now - began)
            end(job, "whole")
        self._pump()

    def _give_back(self, key: str, word: str) -> None:
        job, end = self._jobs.pop(key)
        self._count_out(job)
        end(job, word)

    def _count_out(self, job: Job) -> None:
        self._count(job, -1)

    def _count(self, job: Job, sign: int) -> None:
        name = job.call.organisation.name
        patient = is_patient(tokens=job.call.asked, within=job.deadline - job.sent)
        for key in (name, (name, patient)):
            self._own[key] += sign * job.call.asked
            if self._own[key] <= 0:
                del self._own[key]
