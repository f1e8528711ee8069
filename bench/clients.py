"""HTTP clients with little overhead, for streams of tokens and short requests.

They are bare asyncio protocols, so that the client costs little compared with
what is measured.
"""

import asyncio
import itertools
import time
import urllib.parse

import msgspec
from hdrh.histogram import HdrHistogram

# Range and significant digits of the histograms, in microseconds.
LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3
# Starts a server-sent event; engines send one for each token.
EVENT = b"data: "
HEAD_END = b"\r\n\r\n"


class Target(msgspec.Struct, kw_only=True, frozen=True):
    """URL, headers and body of a request."""

    url: str
    path: str
    method: str = "POST"
    key: str = ""
    body: str = ""

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port to connect to."""
        parts = urllib.parse.urlsplit(self.url)
        return parts.hostname, parts.port

    def build(self, *, close: bool = False) -> bytes:
        """Return the request as bytes on the wire."""
        body = self.body.encode()
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            "Host: bench",
            f"Authorization: Bearer {self.key}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
        ]
        lines += ["Connection: close"] if close else []
        return "\r\n".join(lines).encode() + HEAD_END + body


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


class Tally:
    """Counts of all streams of a client.

    Tokens and the gaps between them, in microseconds, are recorded only while
    `counting` is set.  `lost` counts closed connections.
    """

    def __init__(self) -> None:
        self.gaps = make_histogram()
        self.begun = 0
        self.counting = False
        self.lost = 0
        self.tokens = 0


class Stream(asyncio.Protocol):
    """A connection that receives one streamed answer, with one event per token."""

    __slots__ = ("_last", "_request", "_tally", "transport")

    def __init__(self, *, request: bytes, tally: Tally) -> None:
        self._last = 0.0
        self._request = request
        self._tally = tally
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the request."""
        self.transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count the events and record the gap since the previous ones."""
        tokens = data.count(EVENT)
        if not tokens:
            return
        tally = self._tally
        now = time.monotonic()
        if not self._last:
            tally.begun += 1
        elif tally.counting:
            tally.tokens += tokens
            tally.gaps.record_value(int((now - self._last) * 1e6))
        self._last = now

    def connection_lost(self, error: Exception | None) -> None:
        """Count the stream as lost."""
        self._tally.lost += 1


async def open_streams(targets: list[Target], *, streams: int, tally: Tally) -> list:
    """Open `streams` streams, spread evenly over the targets."""
    loop = asyncio.get_running_loop()
    opened = []
    for target in itertools.islice(itertools.cycle(targets), streams):
        request = target.build()
        _, stream = await loop.create_connection(
            lambda request=request: Stream(request=request, tally=tally),
            *target.address,
        )
        opened.append(stream)
        # Space out the arrivals: hundreds at once would measure the burst.
        await asyncio.sleep(0.002)
    return opened


class ShortRequestConnection(asyncio.Protocol):
    """A keep-alive connection that sends one short request at a time."""

    __slots__ = ("_buffer", "_done", "_left", "transport")

    def __init__(self) -> None:
        self._buffer = b""
        self._done: asyncio.Future[int] | None = None
        self._left = -1
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport

    async def exchange(self, request: bytes) -> int:
        """Send a request; return the status of its complete answer.

        Return 0 if the connection is lost first.
        """
        self._done = asyncio.get_running_loop().create_future()
        self._buffer = b""
        self.transport.write(request)
        return await self._done

    def data_received(self, data: bytes) -> None:
        """Buffer a part of the answer, which must have a Content-Length."""
        self._buffer += data
        head, found, body = self._buffer.partition(HEAD_END)
        if not found:
            return
        length = next(
            int(line.split(b":")[1])
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"content-length:")
        )
        if len(body) >= length and not self._done.done():
            self._done.set_result(int(head.split(None, 2)[1]))

    def connection_lost(self, error: Exception | None) -> None:
        """End a pending exchange with status 0."""
        if self._done is not None and not self._done.done():
            self._done.set_result(0)


async def send_short(
    target: Target, *, rate: float, seconds: float, connections: int
) -> tuple[HdrHistogram, int]:
    """Send requests at a rate, in requests/s; return latencies and failures.

    Latencies are in microseconds.
    """
    loop = asyncio.get_running_loop()
    free: asyncio.Queue[ShortRequestConnection] = asyncio.Queue()
    for _ in range(connections):
        _, short = await loop.create_connection(ShortRequestConnection, *target.address)
        free.put_nowait(short)
    latencies = make_histogram()
    failures = 0
    request = target.build()

    async def send() -> None:
        nonlocal failures
        # Measured from when the request is due, so that a stall shows in every
        # request that it delays (no coordinated omission).
        began = time.monotonic()
        short = await free.get()
        status = await short.exchange(request)
        free.put_nowait(short)
        latencies.record_value(int((time.monotonic() - began) * 1e6))
        failures += status != 200

    began = loop.time()
    tasks = []
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, began + number / rate - loop.time()))
        tasks.append(asyncio.create_task(send()))
    await asyncio.gather(*tasks)
    while not free.empty():
        free.get_nowait().transport.close()
    return latencies, failures
