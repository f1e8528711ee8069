"""Callers that send requests at random and check the answers."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

import msgspec

from test.gateway.world import Caller, CallerResponse

from ..leaving import Leaving, send_and_leave, send_parts
from .lateness import Lateness
from .requests import STREAMS, Burst, SoakRequest, draw_burst
from .steps import EVENTS

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
    Times are monotonic; `connected_at` is when the caller began to connect, `sent_at`
    when it sent the request or, if that was later, had the answer before it.

    `leaving` is what the caller did before it had the answer.  `is_cut` means that it
    didn't send the whole request, `is_behind` that the connection ended with the
    answer before it, so that nobody need answer this one, `must_not_run` that the
    answer before it said so.
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
    leaving: Leaving = Leaving.STAY
    is_cut: bool = False
    is_behind: bool = False
    must_not_run: bool = False

    @property
    def needs_answer(self) -> bool:
        """Return whether the caller stayed for an answer that was due."""
        return self.leaving is Leaving.STAY and not self.is_behind


class Connection(msgspec.Struct, kw_only=True):
    """A caller's connection to a gateway, and whether it has served a request."""

    caller: Caller
    gateway: str
    connected_at: float
    is_reused: bool = False


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
        """Send one burst of requests after the other as a single caller."""
        connection: Connection | None = None
        while not self.is_stopping:
            if connection is None:
                connection = await _connect(self._rng.choice(self._addresses()))
            if connection is None:
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            burst = draw_burst(self._rng, self._numbers)
            is_reusable = await self._play(burst, connection)
            await asyncio.sleep(self._draw_pause())
            connection.is_reused = True
            if not is_reusable or connection.caller.reader.at_eof():
                connection.caller.close()
                connection = None
        if connection is not None:
            connection.caller.close()

    def _draw_pause(self) -> float:
        is_long = self._rng.random() < LONG_PAUSE_SHARE
        return self._rng.random() * (LONG_PAUSE_SECONDS if is_long else PAUSE_SECONDS)

    async def _play(self, burst: Burst, connection: Connection) -> bool:
        """Send a burst and read its answers; return whether the connection stays."""
        sent_at = time.monotonic()
        writer = connection.caller.writer
        if burst.leaving is Leaving.STAY:
            sending = asyncio.ensure_future(send_parts(writer, burst.parts))
            is_reusable = await self._read_answers(burst, connection, sent_at)
            if is_reusable:
                await asyncio.wait({sending}, timeout=ANSWER_SECONDS)
            was_sent = sending.done()
            sending.cancel()
            return is_reusable and was_sent
        await send_and_leave(writer, burst.parts, burst.leaving)
        if burst.leaving is Leaving.HALF_CLOSE:
            await self._read_answers(burst, connection, sent_at)
        else:
            for request in burst.requests:
                self._note(burst, request, connection, sent_at=sent_at)
                connection.is_reused = True
        return False

    async def _read_answers(
        self, burst: Burst, connection: Connection, sent_at: float
    ) -> bool:
        """Read the answers in their order; return whether the connection stays."""
        is_open, is_closing = True, False
        for request in burst.requests:
            if is_open:
                answer = await self._read_answer(burst, request, connection, sent_at)
                is_closing = answer is not None and _is_closing(answer)
                is_open = answer is not None and not is_closing
            else:
                self._note(
                    burst,
                    request,
                    connection,
                    sent_at=sent_at,
                    is_behind=True,
                    must_not_run=is_closing,
                )
            connection.is_reused = True
            sent_at = time.monotonic()
        return is_open

    async def _read_answer(
        self,
        burst: Burst,
        request: SoakRequest,
        connection: Connection,
        sent_at: float,
    ) -> CallerResponse | None:
        """Read one answer and note it; return it if it is whole."""
        response, error, has_partial_answer = None, None, False
        reading = asyncio.ensure_future(connection.caller.read())
        try:
            response = await self._wait_answer(reading, sent_at)
            has_partial_answer = True
        except asyncio.IncompleteReadError as cut:
            error, has_partial_answer = cut, bool(cut.partial)
        except (OSError, TimeoutError) as broken:
            error = broken
        is_whole = response is not None and response.is_whole
        self._note(
            burst,
            request,
            connection,
            sent_at=sent_at,
            status=response.status if response else 0,
            is_whole=is_whole,
            has_partial_answer=has_partial_answer,
            gave_up=isinstance(error, TimeoutError),
            error=repr(error) if error else "",
            fault=_find_fault(request.path, request.attempt, response)
            if response and response.status == 200
            else "",
        )
        return response if is_whole else None

    def _note(
        self,
        burst: Burst,
        request: SoakRequest,
        connection: Connection,
        *,
        status: int = 0,
        is_whole: bool = False,
        has_partial_answer: bool = False,
        **rest: object,
    ) -> None:
        self.results.append(
            RequestResult(
                attempt=request.attempt,
                path=request.path,
                gateway=connection.gateway,
                is_reused=connection.is_reused,
                timeout_ms=request.timeout_ms,
                connected_at=connection.connected_at,
                ended_at=time.monotonic(),
                status=status,
                is_whole=is_whole,
                has_partial_answer=has_partial_answer,
                leaving=burst.leaving,
                is_cut=burst.is_cut and request is burst.requests[-1],
                **rest,
            )
        )

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


async def _connect(gateway: str) -> Connection | None:
    host, port = gateway.rsplit(":", 1)
    connected_at = time.monotonic()
    try:
        async with asyncio.timeout(1.0):
            caller = Caller(*await asyncio.open_connection(host, int(port)))
    except (OSError, TimeoutError):
        return None
    return Connection(caller=caller, gateway=gateway, connected_at=connected_at)


def _is_closing(answer: CallerResponse) -> bool:
    return answer.headers.get("connection") == "close"


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
