"""Callers that check what they get."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

import msgspec

from test.gateway.world import ASK, Caller, Got

from .steps import EVENTS

STREAMS = ("/chat/1", "/once/1", "/final/1")
PATHS = ("/look/1", "/issue/1", "/issue/1", "/chat/1", "/chat/1", "/once/1", "/final/1")
# What callers wait, often longer than a stopping gate has left.
PATIENCES_MS = (700, 2_000, 4_000, 4_000, 9_000)
ANSWER_SECONDS = 12.0
PAUSE_SECONDS = 0.05
# Some callers let their connection rest for longer.
REST_SHARE = 0.05
REST_SECONDS = 2.0


class Told(msgspec.Struct, kw_only=True, frozen=True):
    """What a caller was told of one request, status 0 for nothing.

    `is_kept` tells that its connection had been used before.  `has_part` tells
    that something of an answer came; times are steady, `connected_at` is that at
    which the connection was asked for.
    """

    attempt: str
    path: str
    gate: str
    is_kept: bool
    patience_ms: int
    connected_at: float
    sent_at: float
    ended_at: float
    status: int
    is_whole: bool
    has_part: bool
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
        gate = ""
        is_kept = False
        connected_at = 0.0
        while not self.is_over:
            if caller is None:
                gate = self._dice.choice(self._addresses())
                connected_at = time.monotonic()
                caller = await _connect(gate)
                is_kept = False
            if caller is None:
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            told, keeps = await self._ask(caller, gate, is_kept, connected_at)
            self.told.append(told)
            await asyncio.sleep(self._draw_pause())
            is_kept = True
            if not keeps or caller.reader.at_eof():
                caller.close()
                caller = None
        if caller is not None:
            caller.close()

    def _draw_pause(self) -> float:
        rests = self._dice.random() < REST_SHARE
        return self._dice.random() * (REST_SECONDS if rests else PAUSE_SECONDS)

    async def _ask(
        self, caller: Caller, gate: str, is_kept: bool, connected_at: float
    ) -> tuple[Told, bool]:
        attempt = f"a{next(self._numbers)}"
        path = self._dice.choice(PATHS)
        patience_ms = self._dice.choice(PATIENCES_MS)
        chooses = path == "/chat/1" and self._dice.random() < 0.5
        sent_at = time.monotonic()
        got, has_part = None, False
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                caller.send(
                    path,
                    attempt=attempt,
                    patience_ms=patience_ms,
                    headers=ASK if chooses else (),
                )
                got = await caller.read()
                has_part = True
        except asyncio.IncompleteReadError as error:
            has_part = bool(error.partial)
        except (OSError, TimeoutError):
            has_part = False
        told = Told(
            attempt=attempt,
            path=path,
            gate=gate,
            is_kept=is_kept,
            patience_ms=patience_ms,
            connected_at=connected_at,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=got.status if got else 0,
            is_whole=got is not None and got.is_whole,
            has_part=has_part,
            fault=_find_fault(path, attempt, got) if got and got.status == 200 else "",
        )
        return told, told.is_whole and got.headers.get("connection") != "close"


async def _connect(address: str) -> Caller | None:
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(1.0):
            return Caller(*await asyncio.open_connection(host, int(port)))
    except (OSError, TimeoutError):
        return None


def _find_fault(path: str, attempt: str, got: Got) -> str:
    """Return what is wrong with a success, if anything is."""
    if path not in STREAMS:
        return "" if got.body == attempt.encode() else f"another's answer: {got.body!r}"
    numbers = [
        int(line.removeprefix("id: "))
        for line in got.body.decode().split("\n")
        if line.startswith("id: ")
    ]
    expected = list(range(1, EVENTS + 1))
    is_right = numbers == (expected if got.is_whole else expected[: len(numbers)])
    return "" if is_right else f"events {numbers}, whole: {got.is_whole}"
