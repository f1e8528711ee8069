"""A stand-in of an endpoint that takes requests by plain HTTP.

It does what its script says with one request after the other, byte for byte,
so that a test can break an answer anywhere.
"""

import asyncio
import itertools
import time
from collections.abc import Sequence

import h11
import msgspec

from ..gateway.connection import discard_unsent
from ..platform.headers import (
    ATTEMPT,
    CONFIDENCE,
    EXPECT_ENDPOINT,
    INSTANCE,
    MODEL,
    NOT_RUN,
    STAMP,
)

READ_BYTES = 65_536
STAMP_VALUE = "1.0.1.0.stand-in"


class Reply(msgspec.Struct, kw_only=True, frozen=True):
    """Answer with a status and a body; `extra` bytes follow the answer."""

    status: int = 200
    body: bytes = b"done"
    extra: bytes = b""
    delay: float = 0.0
    attempt: str = ""


class Echo(msgspec.Struct, kw_only=True, frozen=True):
    """Answer with the request's own id, `delay` seconds later."""

    delay: float = 0.0


class Events(msgspec.Struct, kw_only=True, frozen=True):
    """Answer with a stream of `count` events, `gap` seconds apart.

    It breaks off in the middle of the event after `breaks_after` events, and
    pauses for `pause` seconds after `pauses_after` events.
    """

    count: int = 3
    gap: float = 0.0
    confidence: int | None = None
    breaks_after: int | None = None
    pauses_after: int | None = None
    pause: float = 0.0


class Refuse(msgspec.Struct, kw_only=True, frozen=True):
    """Say that the request hasn't run, `delay` seconds after it came."""

    status: int = 503
    delay: float = 0.0


class Unframed(msgspec.Struct, kw_only=True, frozen=True):
    """Answer without a length; the connection is reset or closed in order."""

    body: bytes = b"half"
    is_reset: bool = False


class Break(msgspec.Struct, kw_only=True, frozen=True):
    """Run the request and reset the connection without an answer."""


class Garbage(msgspec.Struct, kw_only=True, frozen=True):
    """Send bytes that are no answer."""


class Raw(msgspec.Struct, kw_only=True, frozen=True):
    """Send pieces of bytes as they are, one after the other, and close in order."""

    pieces: tuple[bytes, ...]


class Hang(msgspec.Struct, kw_only=True, frozen=True):
    """Run the request and say nothing."""


Step = Reply | Echo | Events | Refuse | Unframed | Break | Garbage | Raw | Hang


class Run(msgspec.Struct, kw_only=True, frozen=True):
    """A request that was begun; header names are in lower case.

    `at` is the steady clock's time of its last byte.
    """

    attempt: str
    model: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float


class DirectEngine:
    """One endpoint; the last step of its script goes on for ever."""

    __slots__ = (
        "_server",
        "_steps",
        "_writers",
        "address",
        "broken_at",
        "cancelled",
        "connections",
        "name",
        "resets",
        "runs",
    )

    def __init__(self, *, name: str, script: Sequence[Step]) -> None:
        self.name = name
        self.runs: list[Run] = []
        # Requests that the router gave up, and those of them whose connection
        # it reset.
        self.cancelled: list[str] = []
        self.resets: list[str] = []
        # When a stream of an attempt was last broken off, by the steady clock.
        self.broken_at: dict[str, float] = {}
        self.connections = 0
        self.address = ""
        self._steps = itertools.chain(script, itertools.repeat(script[-1]))
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, *, address: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, address, 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def refuse(self) -> None:
        """Take no new connections; those that are open stay as they are."""
        self._server.close()

    def play(self, *steps: Step) -> None:
        """Do this with requests from now on; the last step goes on for ever."""
        self._steps = itertools.chain(steps, itertools.repeat(steps[-1]))

    async def stop(self) -> None:
        """Listen no more and reset all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            reset_connection(writer)
        await self._server.wait_closed()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        machine = h11.Connection(h11.SERVER)
        try:
            while True:
                run = await self._read(reader, machine)
                if run is None or not await self._answer(run, reader, writer, machine):
                    return
                machine.start_next_cycle()
        except (ConnectionError, h11.RemoteProtocolError):
            return
        except asyncio.CancelledError:
            # The loop ends.  Raised on, asyncio would print a trace for each.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, machine: h11.Connection
    ) -> Run | None:
        request: h11.Request | None = None
        body = b""
        while True:
            event = machine.next_event()
            match event:
                case h11.NEED_DATA:
                    machine.receive_data(await reader.read(READ_BYTES))
                case h11.Request():
                    request = event
                case h11.Data():
                    body += bytes(event.data)
                case h11.EndOfMessage():
                    return _make_run(request, body)
                case _:
                    return None

    async def _answer(
        self,
        run: Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        machine: h11.Connection,
    ) -> bool:
        """Do the next step; return whether the connection stays."""
        if run.headers.get(EXPECT_ENDPOINT.lower(), self.name) != self.name:
            await self._send(writer, machine, 421, {INSTANCE: self.name}, b"")
            return True
        step = next(self._steps)
        if not isinstance(step, Refuse):
            self.runs.append(run)
        match step:
            case Reply():
                await asyncio.sleep(step.delay)
                headers = {STAMP: STAMP_VALUE, ATTEMPT: step.attempt or run.attempt}
                await self._send(writer, machine, step.status, headers, step.body)
                writer.write(step.extra)
            case Echo(delay=delay):
                await asyncio.sleep(delay)
                headers = {STAMP: STAMP_VALUE, ATTEMPT: run.attempt}
                body = run.attempt.encode()
                await self._send(writer, machine, 200, headers, body)
            case Refuse(status=status):
                await asyncio.sleep(step.delay)
                await self._send(writer, machine, status, {NOT_RUN: "1"}, b"")
            case Events():
                return await self._stream(run, step, reader, writer, machine)
            case Unframed(body=body, is_reset=is_reset):
                head = f"HTTP/1.1 200 OK\r\n{STAMP}: {STAMP_VALUE}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
                await asyncio.sleep(0.05)
                if is_reset:
                    reset_connection(writer)
                return False
            case Break():
                reset_connection(writer)
                return False
            case Garbage():
                writer.write(b"\x00\x01 this is no answer\r\n\r\n")
                await writer.drain()
                return False
            case Raw(pieces=pieces):
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0)
                return False
            case Hang():
                await self._wait_for_end(run, reader)
                return False
        return True

    async def _wait_for_end(self, run: Run, reader: asyncio.StreamReader) -> None:
        """Wait until the router gives the request up, and note how."""
        try:
            await reader.read(1)
        except ConnectionResetError:
            self.resets.append(run.attempt)
        self.cancelled.append(run.attempt)

    async def _stream(
        self,
        run: Run,
        step: Events,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        machine: h11.Connection,
    ) -> bool:
        headers = {
            STAMP: STAMP_VALUE,
            ATTEMPT: run.attempt,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        if step.confidence is not None:
            headers[CONFIDENCE] = str(step.confidence)
        _write_head(writer, machine, 200, headers)
        first = int(run.headers.get("last-event-id", "0")) + 1
        for number in range(first, step.count + 1):
            event = f"id: {number}\ndata: {number} of {self.name}\n\n".encode()
            if step.breaks_after is not None and number > step.breaks_after:
                writer.write(machine.send(h11.Data(data=event[:9])))
                await writer.drain()
                await asyncio.sleep(0.02)
                self.broken_at[run.attempt] = time.monotonic()
                reset_connection(writer)
                return False
            writer.write(machine.send(h11.Data(data=event)))
            await writer.drain()
            try:
                gap = step.pause if number == step.pauses_after else step.gap
                async with asyncio.timeout(gap):
                    await self._wait_for_end(run, reader)
                return False
            except TimeoutError:
                continue
        writer.write(machine.send(h11.EndOfMessage()))
        await writer.drain()
        return True

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        machine: h11.Connection,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        _write_head(
            writer, machine, status, {**headers, "Content-Length": str(len(body))}
        )
        writer.write(machine.send(h11.Data(data=body)))
        writer.write(machine.send(h11.EndOfMessage()))
        await writer.drain()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as a process that crashes does."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        discard_unsent(sock)
    writer.transport.abort()


def _write_head(
    writer: asyncio.StreamWriter,
    machine: h11.Connection,
    status: int,
    headers: dict[str, str],
) -> None:
    response = h11.Response(status_code=status, headers=list(headers.items()))
    writer.write(machine.send(response))


def _make_run(request: h11.Request, body: bytes) -> Run:
    headers = {name.decode().lower(): value.decode() for name, value in request.headers}
    return Run(
        attempt=headers.get(ATTEMPT.lower(), ""),
        model=headers.get(MODEL.lower(), ""),
        method=request.method.decode(),
        target=request.target.decode(),
        headers=headers,
        body=body,
        at=time.monotonic(),
    )
