"""A stand-in for a model engine with an OpenAI-style chat API.

It uses continuous batching with limited slots, caches prompt prefixes and crashes if
it is overloaded during a cold start.  Tests switch on faults by setting attributes of
`Engine`.
"""

import asyncio
import collections
import contextlib
import secrets
import time
from collections.abc import Callable, Iterable

import tornado.web

from .answers import list_tokens
from .batch import Batch, Generation, Sink
from .chat import ChatHandler, ChatRequest
from .enginehandlers import HealthHandler, ModelsHandler, OrdersHandler
from .notices import Notices
from .records import Health, Order, StartRecord
from .server import LOOPBACK, StandinServer

LOAD_ORDER = "load"
UNLOAD_ORDER = "unload"
MAX_SLEEP_SECONDS = 0.05


class Engine:
    """A stand-in engine; tests control it by its public attributes.

    Faults: `crash()`, `make_cold()`, `crash_text` (prompts that contain it crash
    the engine), `slow_factor`, `garbage`, `end_early`, `answer_other_id`,
    `never_answer`, `bad_versions`, `report_lag` (seconds).  `notices` holds what it
    asks of its callers.

    Records: `started` (all requests that reached the engine, with or without a
    slot), `whole` (number of complete answers), `cancelled`, `crashes`,
    `overloads` (crashes by overload during a cold start), `cache_hits`, `orders`,
    `max_running`.
    """

    def __init__(
        self,
        *,
        name: str,
        versions: Iterable[str],
        slots: int = 16,
        cold_slots: int = 2,
        cold_completions: int = 0,
        tokens_per_second: float = 30.0,
        prefill_seconds: float = 0.0,
        cache_blocks: int = 1024,
        restart_seconds: float = 1.0,
        report_lag: float = 0.0,
        checks_orders: bool = False,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.name = name
        self.versions = list(versions)
        self.cold_slots = cold_slots
        self.cold_completions = cold_completions
        self.tokens_per_second = tokens_per_second
        self.restart_seconds = restart_seconds
        self.report_lag = report_lag
        self.checks_orders = checks_orders
        self._init_faults()
        self._init_counts()
        self._clock = clock
        self._batch = Batch(
            slots=slots, prefill_seconds=prefill_seconds, cache_blocks=cache_blocks
        )
        self._cold_remaining = cold_completions
        self._reports: collections.deque[tuple[float, Health]] = collections.deque()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._restart: asyncio.TimerHandle | None = None
        self.incarnation = secrets.token_hex(6)
        handlers = [
            (r"/v1/chat/completions", ChatHandler, {"engine": self}),
            (r"/v1/models", ModelsHandler, {"engine": self}),
            (r"/health", HealthHandler, {"engine": self}),
            (r"/orders", OrdersHandler, {"engine": self}),
        ]
        app = tornado.web.Application(handlers, log_function=lambda handler: None)
        self._server = StandinServer(app=app)

    def _init_faults(self) -> None:
        self.crash_text = ""
        self.slow_factor = 1.0
        self.garbage = False
        self.end_early = False
        self.answer_other_id = False
        self.never_answer = False
        self.bad_versions: set[str] = set()
        self.notices = Notices()

    def _init_counts(self) -> None:
        self.started: list[StartRecord] = []
        self.orders: list[Order] = []
        self.highest_fence = 0
        self.whole = 0
        self.cancelled = 0
        self.crashes = 0
        self.overloads = 0
        self.max_running = 0

    @property
    def url(self) -> str:
        """Return the engine's address as `http://IP:PORT`."""
        return self._server.url

    @property
    def cold(self) -> bool:
        """Return whether the engine is in a cold start."""
        return self._cold_remaining > 0

    @property
    def running(self) -> int:
        """Return how many requests currently have a slot."""
        return len(self._batch.running)

    @property
    def waiting(self) -> int:
        """Return how many requests currently wait for a slot."""
        return self._batch.waiting

    @property
    def cache_hits(self) -> int:
        """Return how many prompt blocks were found in the prefix cache."""
        return self._batch.cache.hits

    async def start(self, port: int = 0, address: str = LOOPBACK) -> None:
        """Start listening and start the batch loop."""
        await self._server.start(port=port, address=address)
        self._add_report()
        self._task = asyncio.ensure_future(self._run_steps())

    async def stop(self) -> None:
        """Close all connections and stop permanently."""
        if self._restart is not None:
            self._restart.cancel()
        await self._server.stop()
        self._batch.clear()
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def make_cold(self, *, completions: int | None = None) -> None:
        """Return to a cold start without a crash.

        `completions` is the number of answers until the engine is warm.
        """
        if completions is not None:
            self.cold_completions = completions
        self._cold_remaining = max(self.cold_completions, 1)
        self._add_report()

    def crash(self) -> None:
        """Lose all work, refuse connections and restart cold as a new incarnation."""
        self.crashes += 1
        self._batch.clear()
        self._server.refuse()
        if self._restart is not None:
            self._restart.cancel()
        loop = asyncio.get_running_loop()
        self._restart = loop.call_later(self.restart_seconds, self._come_back)

    def _come_back(self) -> None:
        self._restart = None
        self.incarnation = secrets.token_hex(6)
        self._cold_remaining = self.cold_completions
        self._reports.clear()
        self._add_report()
        self._server.accept()

    def submit(
        self, *, chat: ChatRequest, request: str, sink: Sink
    ) -> Generation | None:
        """Queue a request; return None if it crashes the engine."""
        record = StartRecord(
            request=request,
            version=chat.model,
            at=self._clock(),
            prompt=chat.prompt,
        )
        self.started.append(record)
        if self.cold and self._batch.size >= self.cold_slots:
            self.overloads += 1
            self.crash()
            return None
        tokens = list_tokens(
            prompt=chat.prompt,
            version=chat.model,
            max_tokens=chat.length,
            bad=chat.model in self.bad_versions,
        )
        generation = Generation(
            prompt=chat.prompt, tokens=tokens, sink=sink, priority=chat.priority
        )
        self._batch.submit(generation)
        self._add_report()
        self._wake.set()
        return generation

    def cancel(self, generation: Generation) -> None:
        """Free the slot of a request whose caller has disconnected."""
        if self._batch.cancel(generation):
            self.cancelled += 1
            self._add_report()

    def execute_order(self, order: Order) -> bool:
        """Execute an order; return False if its fencing number is too old."""
        if self.checks_orders and order.fence < self.highest_fence:
            return False
        self.highest_fence = max(self.highest_fence, order.fence)
        self.orders.append(order)
        match order.order.split():
            case [name, version] if name == LOAD_ORDER:
                self.versions = sorted({*self.versions, version})
            case [name, version] if name == UNLOAD_ORDER:
                self.versions = [each for each in self.versions if each != version]
        return True

    def report_health(self) -> Health:
        """Return the newest report that is at least `report_lag` old."""
        newest_visible = self._clock() - self.report_lag
        while len(self._reports) > 1 and self._reports[1][0] <= newest_visible:
            self._reports.popleft()
        return self._reports[0][1]

    def _add_report(self) -> None:
        health = Health(
            incarnation=self.incarnation,
            cold=self.cold,
            running=self.running,
            waiting=self.waiting,
            versions=tuple(self.versions),
        )
        self._reports.append((self._clock(), health))
        self.report_health()

    async def _run_steps(self) -> None:
        began = self._clock()
        while True:
            if not self._batch.size:
                self._wake.clear()
                await self._wake.wait()
                began = self._clock()
            began = await self._sleep_until_step_ends(began)
            self._step()

    async def _sleep_until_step_ends(self, began: float) -> float:
        """Sleep until the step that began at `began` ends; return the time of its end.

        A delayed engine emits its tokens later; it does not catch up with a burst.
        """
        while True:
            ends = began + self.slow_factor / self.tokens_per_second
            remaining = ends - self._clock()
            if remaining <= 0:
                return max(ends, self._clock() - 1.0 / self.tokens_per_second)
            # A test may change the speed during a slow step.
            await asyncio.sleep(min(remaining, MAX_SLEEP_SECONDS))

    def _step(self) -> None:
        now = self._clock()
        admitted = self._batch.admit(now=now)
        if self.crash_text and any(self.crash_text in each.prompt for each in admitted):
            self.crash()
            return
        self.max_running = max(self.max_running, self.running)
        ended = [] if self.never_answer else self._batch.step(now=now)
        self.whole += len(ended)
        self._cold_remaining = max(0, self._cold_remaining - len(ended))
        if admitted or ended:
            self._add_report()
