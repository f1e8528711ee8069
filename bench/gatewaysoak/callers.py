"""Callers that check what they get."""

import asyncio
import itertools
import random
from collections.abc import Callable

import msgspec

from test.gateway.world import Caller

EVENTS = 6
PATIENCE_MS = 4_000
ANSWER_SECONDS = 10.0


class Told(msgspec.Struct, kw_only=True, frozen=True):
    """What a caller was told of one request, status 0 for nothing."""

    attempt: str
    path: str
    status: int
    fault: str = ""


class Callers:
    """Callers that go on until told to stop, each on a connection that it keeps."""

    def __init__(self, *, dice: random.Random, addresses: Callable[[], list]) -> None:
        self.told: list[Told] = []
        self.is_over = False
        self._dice = dice
        self._addresses = addresses
        self._numbers = itertools.count()

    async def run(self) -> None:
        """Send requests one after the other."""
        caller: Caller | None = None
        while not self.is_over:
            if caller is None:
                caller = await self._connect()
            if caller is None:
                await asyncio.sleep(0.05)
                continue
            told, keeps = await self._ask(caller)
            self.told.append(told)
            if not keeps:
                caller.close()
                caller = None
            await asyncio.sleep(self._dice.random() * 0.05)
        if caller is not None:
            caller.close()

    async def _connect(self) -> Caller | None:
        host, port = self._dice.choice(self._addresses()).rsplit(":", 1)
        try:
            async with asyncio.timeout(1.0):
                return Caller(*await asyncio.open_connection(host, int(port)))
        except (OSError, TimeoutError):
            return None

    async def _ask(self, caller: Caller) -> tuple[Told, bool]:
        attempt = f"a{next(self._numbers)}"
        path = self._dice.choice(["/look/1", "/issue/1", "/issue/1", "/chat/1"])
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                caller.send(path, attempt=attempt, patience_ms=PATIENCE_MS)
                got = await caller.read()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return Told(attempt=attempt, path=path, status=0), False
        fault = _find_fault(path, attempt, got) if got.status == 200 else ""
        keeps = got.is_whole and got.headers.get("connection") != "close"
        return Told(attempt=attempt, path=path, status=got.status, fault=fault), keeps


def _find_fault(path: str, attempt: str, got: object) -> str:
    """Return what is wrong with a success, if anything is."""
    if path != "/chat/1":
        return "" if got.body == attempt.encode() else f"another's answer: {got.body!r}"
    numbers = [
        int(line.removeprefix("id: "))
        for line in got.body.decode().split("\n")
        if line.startswith("id: ")
    ]
    expected = list(range(1, EVENTS + 1))
    is_right = numbers == (expected if got.is_whole else expected[: len(numbers)])
    return "" if is_right else f"events {numbers}, whole: {got.is_whole}"
