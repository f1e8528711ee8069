"""Callers that check what they get."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

import msgspec

from test.gateway.world import ANY_MODEL_HEADERS, Caller, CallerResponse

from .lateness import Lateness
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

    `is_kept` tells that its connection had been used before, `has_part` that something
    of an answer came, `gave_up` that the caller itself ended it.  Times are steady,
    `connected_at` is that at which the connection was asked for.
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
    gave_up: bool = False
    error: str = ""
    fault: str = ""


class Callers:
    """Callers that go on until told to stop, each on a connection that it keeps."""

    def __init__(
        self,
        *,
        dice: random.Random,
        addresses: Callable[[], list],
        lateness: Lateness,
    ) -> None:
        self._lateness = lateness
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
        got, error, has_part = None, None, False
        reading = asyncio.ensure_future(caller.read())
        try:
            caller.send(
                path,
                attempt=attempt,
                timeout_ms=patience_ms,
                headers=ANY_MODEL_HEADERS if chooses else (),
            )
            got = await self._wait_answer(reading, sent_at)
            has_part = True
        except asyncio.IncompleteReadError as cut:
            error, has_part = cut, bool(cut.partial)
        except (OSError, TimeoutError) as broken:
            error = broken
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
            gave_up=isinstance(error, TimeoutError),
            error=repr(error) if error else "",
            fault=_find_fault(path, attempt, got) if got and got.status == 200 else "",
        )
        return told, told.is_whole and got.headers.get("connection") != "close"

    async def _wait_answer(
        self, reading: asyncio.Future, sent_at: float
    ) -> CallerResponse:
        """Wait for an answer for so long as this process isn't held up itself."""
        last = sent_at + ANSWER_SECONDS
        while not reading.done() and (left := last - time.monotonic()) > 0:
            await asyncio.wait({reading}, timeout=left)
            last = sent_at + ANSWER_SECONDS
            last += self._lateness.sum_within(sent_at, time.monotonic())
        if reading.done():
            return reading.result()
        reading.cancel()
        raise TimeoutError


async def _connect(address: str) -> Caller | None:
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(1.0):
            return Caller(*await asyncio.open_connection(host, int(port)))
    except (OSError, TimeoutError):
        return None


def _find_fault(path: str, attempt: str, got: CallerResponse) -> str:
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
