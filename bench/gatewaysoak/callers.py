"""Callers that send requests at random and check the answers."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

import msgspec

from test.gateway.world import ANY_MODEL_HEADERS, Caller, CallerResponse

from .lateness import Lateness
from .steps import EVENTS

# Paths whose answers are streams of events.
STREAMS = ("/chat/1", "/once/1", "/final/1")
PATHS = ("/look/1", "/issue/1", "/issue/1", "/chat/1", "/chat/1", "/once/1", "/final/1")
# Request timeouts; many are longer than the remaining grace of a stopping gateway.
TIMEOUTS_MS = (700, 2_000, 4_000, 4_000, 9_000)
# How long a caller waits for an answer before it gives up.
ANSWER_SECONDS = 12.0
PAUSE_SECONDS = 0.05
# Some callers leave their connection idle for longer.
LONG_PAUSE_SHARE = 0.05
LONG_PAUSE_SECONDS = 2.0


class RequestResult(msgspec.Struct, kw_only=True, frozen=True):
    """How one request ended for its caller.

    `gateway` is the address that the request was sent to.  `status` is 0 without an
    answer.  `is_reused` means that the connection had served a request before,
    `has_partial_answer` that at least a part of the answer arrived, `gave_up` that
    the caller stopped waiting.  `fault` says what is wrong with a successful answer.
    Times are monotonic; `connected_at` is when the caller began to connect.
    """

    attempt: str
    path: str
    gateway: str
    is_reused: bool
    timeout_ms: int
    connected_at: float
    sent_at: float
    ended_at: float
    status: int
    is_whole: bool
    has_partial_answer: bool
    gave_up: bool = False
    error: str = ""
    fault: str = ""


class Callers:
    """Callers that send requests until `is_stopping` is set.

    Each call of `run` is one caller, which reuses its connection while it can.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        addresses: Callable[[], list],
        lateness: Lateness,
    ) -> None:
        self._lateness = lateness
        self.results: list[RequestResult] = []
        self.is_stopping = False
        self._rng = rng
        self._addresses = addresses
        self._numbers = itertools.count()

    async def run(self) -> None:
        """Send one request after the other as a single caller."""
        caller: Caller | None = None
        gateway = ""
        is_reused = False
        connected_at = 0.0
        while not self.is_stopping:
            if caller is None:
                gateway = self._rng.choice(self._addresses())
                connected_at = time.monotonic()
                caller = await _connect(gateway)
                is_reused = False
            if caller is None:
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            result, is_reusable = await self._send_request(
                caller, gateway, is_reused, connected_at
            )
            self.results.append(result)
            await asyncio.sleep(self._draw_pause())
            is_reused = True
            if not is_reusable or caller.reader.at_eof():
                caller.close()
                caller = None
        if caller is not None:
            caller.close()

    def _draw_pause(self) -> float:
        is_long = self._rng.random() < LONG_PAUSE_SHARE
        return self._rng.random() * (LONG_PAUSE_SECONDS if is_long else PAUSE_SECONDS)

    async def _send_request(
        self, caller: Caller, gateway: str, is_reused: bool, connected_at: float
    ) -> tuple[RequestResult, bool]:
        attempt = f"a{next(self._numbers)}"
        path = self._rng.choice(PATHS)
        timeout_ms = self._rng.choice(TIMEOUTS_MS)
        lets_router_choose = path == "/chat/1" and self._rng.random() < 0.5
        sent_at = time.monotonic()
        response, error, has_partial_answer = None, None, False
        reading = asyncio.ensure_future(caller.read())
        try:
            caller.send(
                path,
                attempt=attempt,
                timeout_ms=timeout_ms,
                headers=ANY_MODEL_HEADERS if lets_router_choose else (),
            )
            response = await self._wait_answer(reading, sent_at)
            has_partial_answer = True
        except asyncio.IncompleteReadError as cut:
            error, has_partial_answer = cut, bool(cut.partial)
        except (OSError, TimeoutError) as broken:
            error = broken
        result = RequestResult(
            attempt=attempt,
            path=path,
            gateway=gateway,
            is_reused=is_reused,
            timeout_ms=timeout_ms,
            connected_at=connected_at,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=response.status if response else 0,
            is_whole=response is not None and response.is_whole,
            has_partial_answer=has_partial_answer,
            gave_up=isinstance(error, TimeoutError),
            error=repr(error) if error else "",
            fault=_find_fault(path, attempt, response)
            if response and response.status == 200
            else "",
        )
        return result, result.is_whole and response.headers.get("connection") != "close"

    async def _wait_answer(
        self, reading: asyncio.Future, sent_at: float
    ) -> CallerResponse:
        """Wait `ANSWER_SECONDS` for an answer; raise `TimeoutError`.

        The wait is extended by the time for which this process was itself held up.
        """
        deadline = sent_at + ANSWER_SECONDS
        while not reading.done() and (remaining := deadline - time.monotonic()) > 0:
            await asyncio.wait({reading}, timeout=remaining)
            deadline = sent_at + ANSWER_SECONDS
            deadline += self._lateness.sum_within(sent_at, time.monotonic())
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


def _find_fault(path: str, attempt: str, response: CallerResponse) -> str:
    """Return what is wrong with a successful answer, or an empty string."""
    if path not in STREAMS:
        return (
            ""
            if response.body == attempt.encode()
            else f"another's answer: {response.body!r}"
        )
    numbers = [
        int(line.removeprefix("id: "))
        for line in response.body.decode().split("\n")
        if line.startswith("id: ")
    ]
    expected = list(range(1, EVENTS + 1))
    is_right = numbers == (expected if response.is_whole else expected[: len(numbers)])
    return "" if is_right else f"events {numbers}, whole: {response.is_whole}"
