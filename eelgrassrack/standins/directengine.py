"""A stand-in for an endpoint that gateways call directly over HTTP.

It handles each request with the next step of a script and controls every byte of the
answer, so that a test can break an answer at any point.
"""

import asyncio
import itertools
import socket
import time
from collections.abc import Sequence

import h11
import msgspec

from ..lingering import discard_unsent
from ..platform.headers import (
    ATTEMPT,
    CONFIDENCE,
    EXPECT_ENDPOINT,
    INSTANCE,
    LEAVING,
    LEAVING_VALUE,
    LIMIT,
    LOAD,
    MODEL,
    NOT_RUN,
    PARTS,
    RETRY_AFTER,
    STAMP,
)

READ_BYTES = 65_536
STAMP_VALUE = "1.0.1.0.stand-in"

# Time between the first event of an answer that crashes the endpoint and the crash.
CRASH_DELAY_SECONDS = 0.08


class Reply(msgspec.Struct, kw_only=True, frozen=True):
    """Answer after `delay` seconds; `extra` bytes follow the answer.

    `attempt` replaces the attempt id in the answer.
    """

    status: int = 200
    body: bytes = b"done"
    extra: bytes = b""
    delay: float = 0.0
    attempt: str = ""


class Echo(msgspec.Struct, kw_only=True, frozen=True):
    """Answer with the attempt id of the request as the body, after `delay` seconds."""

    delay: float = 0.0


class Events(msgspec.Struct, kw_only=True, frozen=True):
    """Answer with a stream of `count` events, `gap` seconds apart.

    After `breaks_after` events the stream breaks off in the middle of the next one.
    After `pauses_after` events it pauses for `pause` seconds.
    """

    count: int = 3
    gap: float = 0.0
    confidence: int | None = None
    breaks_after: int | None = None
    pauses_after: int | None = None
    pause: float = 0.0


class Refuse(msgspec.Struct, kw_only=True, frozen=True):
    """Answer after `delay` seconds that the request has not run.

    With `rest` the endpoint asks for so many seconds without requests.
    """

    status: int = 503
    delay: float = 0.0
    rest: float | None = None


class Unframed(msgspec.Struct, kw_only=True, frozen=True):
    """Answer without a length, then reset the connection or close it normally."""

    body: bytes = b"half"
    is_reset: bool = False


class Break(msgspec.Struct, kw_only=True, frozen=True):
    """Record the request as run and reset the connection without an answer."""


class Garbage(msgspec.Struct, kw_only=True, frozen=True):
    """Send bytes that are not an HTTP response."""


class Raw(msgspec.Struct, kw_only=True, frozen=True):
    """Send pieces of bytes unchanged, then close the connection normally or reset it.

    There are `gap` seconds after each piece.
    """

    pieces: tuple[bytes, ...]
    gap: float = 0.0
    is_reset: bool = False


class Hang(msgspec.Struct, kw_only=True, frozen=True):
    """Record the request as run and never answer."""


class Early(msgspec.Struct, kw_only=True, frozen=True):
    """How requests are answered before all of their bodies were read.

    The answer comes once `after` bytes of a body were read, and the rest is read
    `pause` seconds later.  With `will_close` the answer says that the connection
    closes after it.
    """

    after: int = 0
    pause: float = 0.0
    status: int = 200
    will_close: bool = False


Step = Reply | Echo | Events | Refuse | Unframed | Break | Garbage | Raw | Hang


class RunRecord(msgspec.Struct, kw_only=True, frozen=True):
    """A request that the stand-in started to run; header names are in lower case.

    `at` is the monotonic time, in seconds, when its last byte was received.
    """

    attempt: str
    model: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float

    @property
    def parts(self) -> frozenset[str]:
        """Return the names of the prompt's parts."""
        items = self.headers.get(PARTS.lower(), "").split(",")
        return frozenset(item.split(":")[0] for item in items)


class DirectEngine:
    """An endpoint that follows a script; the last step is repeated forever."""

    __slots__ = (
        "_server",
        "_steps",
        "_writers",
        "address",
        "arrived_at",
        "broken_at",
        "cancelled",
        "connections",
        "crashed_at",
        "crashing_parts",
        "early",
        "is_leaving",
        "limit",
        "load",
        "name",
        "names_limit",
        "resets",
        "runs",
        "shortened",
    )

    def __init__(self, *, name: str, script: Sequence[Step]) -> None:
        self.name = name
        self.runs: list[RunRecord] = []
        # The monotonic time when each request arrived, also those that didn't run.
        self.arrived_at: list[float] = []
        # Attempt ids of requests that the router cancelled, and of those whose
        # connection it reset.
        self.cancelled: list[str] = []
        self.resets: list[str] = []
        # The monotonic time when the stream of each attempt last broke off.
        self.broken_at: dict[str, float] = {}
        self.connections = 0
        # The endpoint crashes as it begins an answer on a prompt with one of these
        # parts; the monotonic time when it did.
        self.crashing_parts: frozenset[str] = frozenset()
        self.crashed_at: float | None = None
        # How requests are answered early in place of the script, None if they aren't,
        # and the attempt ids of those whose connection then ended within the body.
        self.early: Early | None = None
        self.shortened: list[str] = []
        # Whether all answers say that the endpoint leaves.
        self.is_leaving = False
        # The limit that all answers name if `names_limit` is set or it isn't empty, in
        # requests a second of all callers.
        self.limit = ""
        self.names_limit = False
        # The load that all answers report, none if it is empty.
        self.load = ""
        self.address = ""
        self._steps = itertools.chain(script, itertools.repeat(script[-1]))
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(
        self, *, address: str = "127.0.0.1", receive_bytes: int | None = None
    ) -> None:
        """Listen on a free port; `receive_bytes` sets what the kernel buffers."""
        self._server = await asyncio.start_server(self._serve, address, 0)
        if receive_bytes is not None:
            for sock in self._server.sockets:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def refuse(self) -> None:
        """Refuse new connections; open connections are not affected."""
        self._server.close()

    def play(self, *steps: Step) -> None:
        """Replace the script; its last step is repeated forever."""
        self._steps = itertools.chain(steps, itertools.repeat(steps[-1]))

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._cut()
        await self._server.wait_closed()

    def crash(self) -> None:
        """Stop listening and reset all connections, as a process that crashes."""
        if self.crashed_at is None:
            self.crashed_at = time.monotonic()
            self._cut()

    def _cut(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            reset_connection(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        machine = h11.Connection(h11.SERVER)
        try:
            while True:
                run = await self._read(reader, writer, machine)
                if run is None or not await self._answer(run, reader, writer, machine):
                    return
                machine.start_next_cycle()
        except (ConnectionError, h11.RemoteProtocolError):
            return
        except asyncio.CancelledError:
            # The loop is stopping.  If this were raised, asyncio would print a
            # traceback for each connection.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        machine: h11.Connection,
    ) -> RunRecord | None:
        request: h11.Request | None = None
        body = bytearray()
        try:
            while True:
                if self._is_early(machine, len(body)):
                    await self._answer_early(_make_run(request, b""), writer, machine)
                event = machine.next_event()
                match event:
                    case h11.NEED_DATA:
                        machine.receive_data(await reader.read(READ_BYTES))
                    case h11.Request():
                        request = event
                    case h11.Data():
                        body += event.data
                    case h11.EndOfMessage():
                        return _make_run(request, bytes(body))
                    case _:
                        return None
        except (ConnectionError, h11.RemoteProtocolError):
            if machine.our_state in {h11.DONE, h11.MUST_CLOSE}:
                self.shortened.append(_make_run(request, b"").attempt)
            raise

    def _is_early(self, machine: h11.Connection, size: int) -> bool:
        """Return whether to answer now, when `size` bytes of the body were read."""
        if self.early is None or size < self.early.after:
            return False
        is_in_body = machine.their_state is h11.SEND_BODY
        return is_in_body and machine.our_state is h11.SEND_RESPONSE

    async def _answer_early(
        self, run: RunRecord, writer: asyncio.StreamWriter, machine: h11.Connection
    ) -> None:
        early = self.early
        headers = {STAMP: STAMP_VALUE, ATTEMPT: run.attempt}
        if early.will_close:
            headers["Connection"] = "close"
        body = run.attempt.encode()
        await self._send(writer, machine, early.status, headers, body)
        await asyncio.sleep(early.pause)

    async def _answer(
        self,
        run: RunRecord,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        machine: h11.Connection,
    ) -> bool:
        """Run the next step; return whether the connection stays open.

        A request that was answered early only counts as run.
        """
        if machine.our_state is not h11.SEND_RESPONSE:
            self.arrived_at.append(run.at)
            self.runs.append(run)
            return machine.our_state is h11.DONE
        if run.headers.get(EXPECT_ENDPOINT.lower(), self.name) != self.name:
            await self._send(writer, machine, 421, {INSTANCE: self.name}, b"")
            return True
        self.arrived_at.append(run.at)
        step = next(self._steps)
        if not isinstance(step, Refuse):
            self.runs.append(run)
            if self.crashing_parts & run.parts:
                asyncio.get_running_loop().call_later(CRASH_DELAY_SECONDS, self.crash)
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
            case Refuse(status=status, rest=rest):
                await asyncio.sleep(step.delay)
                headers = {NOT_RUN: "1"}
                if rest is not None:
                    headers[RETRY_AFTER] = f"{rest:g}"
                await self._send(writer, machine, status, headers, b"")
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
            case Raw(pieces=pieces, gap=gap, is_reset=is_reset):
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(gap)
                if is_reset:
                    reset_connection(writer)
                return False
            case Hang():
                await self._wait_for_cancel(run, reader)
                return False
        return True

    async def _wait_for_cancel(
        self, run: RunRecord, reader: asyncio.StreamReader
    ) -> None:
        """Wait until the router cancels the request and record how it did so."""
        try:
            await reader.read(1)
        except ConnectionResetError:
            self.resets.append(run.attempt)
        self.cancelled.append(run.attempt)

    async def _stream(
        self,
        run: RunRecord,
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
            **self._list_own_headers(),
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
                    await self._wait_for_cancel(run, reader)
                return False
            except TimeoutError:
                continue
        writer.write(machine.send(h11.EndOfMessage()))
        await writer.drain()
        return True

    def _list_own_headers(self) -> dict[str, str]:
        """Return the headers of all answers."""
        own = {LEAVING: LEAVING_VALUE} if self.is_leaving else {}
        if self.load:
            own[LOAD] = self.load
        if self.limit or self.names_limit:
            own[LIMIT] = self.limit
        return own

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        machine: h11.Connection,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        length = {"Content-Length": str(len(body))}
        own = self._list_own_headers()
        _write_head(writer, machine, status, {**headers, **own, **length})
        writer.write(machine.send(h11.Data(data=body)))
        writer.write(machine.send(h11.EndOfMessage()))
        await writer.drain()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the crash of a process does."""
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


def _make_run(request: h11.Request, body: bytes) -> RunRecord:
    headers = {name.decode().lower(): value.decode() for name, value in request.headers}
    return RunRecord(
        attempt=headers.get(ATTEMPT.lower(), ""),
        model=headers.get(MODEL.lower(), ""),
        method=request.method.decode(),
        target=request.target.decode(),
        headers=headers,
        body=body,
        at=time.monotonic(),
    )
