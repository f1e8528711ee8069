"""A stand-in for an engine, as PROTOCOL.md describes it."""

import asyncio
import dataclasses
import time
from collections.abc import Callable

from http1 import Request, encode_answer, encode_head, start_server


@dataclasses.dataclass
class Run:
    """A request that an engine began to work on."""

    engine: str
    attempt: str
    at: float
    headers: dict[str, str]
    body: bytes


class Engine:
    """One engine; `runs` holds what it ran, `rejected` whom it turned away.

    An engine that `is_full` turns requests away.  A stream pauses once for `pause`
    seconds after the event `pause_after`.  `deadly` is the target of requests that
    crash it.
    """

    def __init__(self, *, name: str, service: str, zone: str = "lansing") -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.slots = 6
        self.work = 0.045
        self.body = b"x" * 800
        self.events = 0
        self.event_gap = 0.04
        self.event_bytes = 60
        self.runs: list[Run] = []
        self.rejected: list[str] = []
        self.address = ("", 0)
        self.is_full = False
        self.pause_after = 0
        self.pause = 0.0
        self.born = 1_790_000_000_000
        self.deadly = ""
        self.on_crash: Callable[[Engine], None] = lambda _: None
        self._running = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self.address = (host, port)
        self._server = await start_server(host, port, self._serve)

    @property
    def is_up(self) -> bool:
        """Return whether the engine listens."""
        return self._server is not None and self._server.is_serving()

    def describe(self) -> dict[str, object]:
        """Return the engine's entry in the store."""
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def _serve(self, request: Request, writer: asyncio.StreamWriter) -> None:
        attempt = request.headers.get("x-attempt-id", "")
        common = {"X-Attempt-Id": attempt, "X-Instance": self.name}
        if request.headers.get("x-expect-instance") != self.name:
            writer.write(encode_answer(421, common, b""))
            return
        if self.is_full:
            common["X-Not-Executed"] = "1"
            common["X-Instance-Load"] = f"{self.slots},{self.slots},{self.slots}"
            writer.write(encode_answer(503, common, b""))
            self.rejected.append(attempt)
            return
        self.runs.append(
            Run(self.name, attempt, time.monotonic(), request.headers, request.body)
        )
        common["X-Server-Stamp"] = f"stamp.{self.name}.{attempt}"
        self._writers.add(writer)
        self._running += 1
        try:
            if self.deadly and request.target == self.deadly:
                lifetime = self.born
                await asyncio.sleep(self.work)
                if lifetime == self.born and self.is_up:
                    self.crash()
                return
            if self.events:
                last = int(request.headers.get("last-event-id", "0") or "0")
                await self._stream(common, writer, last)
                return
            await asyncio.sleep(self.work)
            common["X-Instance-Load"] = f"{self._running},0,{self.slots}"
            writer.write(encode_answer(200, common, self.body))
            await writer.drain()
        finally:
            self._running = max(self._running - 1, 0)
            self._writers.discard(writer)

    def crash(self) -> None:
        """End like a crashed process: reset all connections and listen no more."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        self._running = 0
        self.on_crash(self)

    async def restart(self) -> None:
        """Listen again at the same address, as a new lifetime of the same id."""
        self.born = int(time.time() * 1000)
        await self.start(*self.address)

    async def _stream(
        self, common: dict[str, str], writer: asyncio.StreamWriter, last: int
    ) -> None:
        head = {
            **common,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode_head(200, head))
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.event_gap)
            if self.pause_after and number == self.pause_after + 1:
                # The request is preempted and read in again.
                await asyncio.sleep(self.pause)
            data = "y" * self.event_bytes
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
