"""Callers that open a new connection for each request and try again elsewhere."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

import msgspec

from test.gateway.world import ANY_MODEL_HEADERS, Caller, connect

# A fifth of the requests may not be repeated, a fifth are streams that may not.
PATHS = ("/look/1", "/issue/1", "/once/1", "/chat/1", "/chat/1")

LIMIT_SECONDS = 6.0
# How late an answer may be before its caller counts as left without one.
SLACK_SECONDS = 0.5
MAX_TRIES = 4
CONNECT_SECONDS = 1.0


class Try(msgspec.Struct, kw_only=True):
    """One connection of a request.

    `status` is 0 without an answer, and `waited` is how long the caller waited for the
    end of the answer.
    """

    attempt: str
    gateway: int
    began: float
    status: int = 0
    is_whole: bool = False
    waited: float = 0.0
    reason: str = ""


class Call(msgspec.Struct, kw_only=True):
    """A request with all its tries; `at` is when it came, a monotonic time."""

    path: str
    at: float
    tries: list[Try] = msgspec.field(default_factory=list)


class Callers:
    """Sends requests at random times, most of them to the hot gateways.

    `addresses` are those of all gateways, `list_hot` the numbers of the gateways that
    get `share` of the new connections.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        addresses: list[str],
        list_hot: Callable[[], tuple[int, ...]],
        share: float,
    ) -> None:
        self.calls: list[Call] = []
        self._rng = rng
        self._addresses = addresses
        self._list_hot = list_hot
        self._share = share
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task] = set()

    async def run(self, *, rate: float, seconds: float) -> None:
        """Send `rate` requests a second for a while, without waiting for answers."""
        at = time.monotonic()
        until = at + seconds
        while (at := at + self._rng.expovariate(rate)) < until:
            await asyncio.sleep(at - time.monotonic())
            task = asyncio.ensure_future(self._call(self._rng.choice(PATHS)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def wait(self) -> None:
        """Wait until all requests have ended."""
        await asyncio.gather(*self._tasks)

    async def _call(self, path: str) -> None:
        call = Call(path=path, at=time.monotonic())
        self.calls.append(call)
        number = next(self._numbers)
        gateway = self._choose_first()
        for count in range(MAX_TRIES):
            attempt = f"a{number}x{count}"
            one = Try(attempt=attempt, gateway=gateway, began=time.monotonic())
            call.tries.append(one)
            try:
                await self._try(path, one)
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                one.reason = type(error).__name__
            one.waited = time.monotonic() - one.began
            if one.status or one.waited >= LIMIT_SECONDS:
                return
            gateway = self._choose_other(gateway)

    def _choose_first(self) -> int:
        hot = self._list_hot()
        if hot and self._rng.random() < self._share:
            return self._rng.choice(hot)
        return self._rng.randrange(len(self._addresses))

    def _choose_other(self, number: int) -> int:
        others = [one for one in range(len(self._addresses)) if one != number]
        return self._rng.choice(others)

    async def _try(self, path: str, one: Try) -> None:
        async with asyncio.timeout(CONNECT_SECONDS):
            caller = await connect(self._addresses[one.gateway])
        try:
            await self._ask(caller, path, one)
        finally:
            caller.close()

    async def _ask(self, caller: Caller, path: str, one: Try) -> None:
        caller.send(
            path,
            attempt=one.attempt,
            timeout_ms=int(LIMIT_SECONDS * 1_000),
            headers=ANY_MODEL_HEADERS if path == "/chat/1" else (),
        )
        async with asyncio.timeout(LIMIT_SECONDS + 2 * SLACK_SECONDS):
            response = await caller.read()
        one.status = response.status
        one.is_whole = response.is_whole
