"""Slopes of the gateway's own costs: `python -m bench.gatewayslopes`.

Prints microseconds of processor time for a choice of engines by their number
and for a peer's news, and bytes for an endpoint and for news.
"""

import asyncio
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from eelgrassrack.decisions.engines import EngineCandidate, ReadingTime, choose_engine
from eelgrassrack.decisions.fairshare import Heavy, Told
from eelgrassrack.gateway.endpoints import Endpoint
from eelgrassrack.gateway.endpointstate import EndpointState
from eelgrassrack.gateway.peerupdates import (
    FULL_RATE_PEERS,
    UPDATE_SECONDS,
    BacklogReport,
    EndpointReport,
    PeerUpdate,
    UpdateExchange,
)

SIZES = (9, 29, 580)

# Gateways, and failure domains among which they are spread evenly.
FLEETS = ((4, 3), (21, 3), (68, 5), (300, 20))
NEWS_ROUNDS = 400
DATAGRAM_HEADER_BYTES = 28
ROUNDS = 300
MICROSECONDS = 1e6
ENDPOINTS = 1_000


def main() -> None:
    """Print the table."""
    for size in SIZES:
        took = measure(lambda size=size: _choose(size))
        print(f"choose among {size} engines: {took:.0f} us")
    news = _make_update()
    data = msgspec.msgpack.encode(news)
    print(f"news with 8 flights: {len(data)} bytes")
    print(f"encode news: {measure(lambda: msgspec.msgpack.encode(news)):.1f} us")
    took = measure(lambda: msgspec.msgpack.decode(data, type=PeerUpdate))
    print(f"decode news: {took:.1f} us")
    print(f"an endpoint: {_weigh_endpoint():.0f} bytes")
    for gateways, domains in FLEETS:
        near, far = asyncio.run(_count_news(gateways, domains))
        print(
            f"news of one of {gateways} gateways in {domains} domains, a second: "
            f"{near:.1f} KB within, {far:.1f} KB to others"
        )


def measure(work: Callable[[], object]) -> float:
    """Return the microseconds of processor time of one round."""
    began = time.process_time()
    for _ in range(ROUNDS):
        work()
    return (time.process_time() - began) / ROUNDS * MICROSECONDS


def _choose(size: int) -> object:
    candidates = [
        EngineCandidate(
            name=f"i-{number:010x}",
            wait=number % 7 * 0.01,
            burden=number % 7 * 0.01,
            running=number % 5,
            slots=48,
            is_near=True,
        )
        for number in range(size)
    ]
    return choose_engine(
        candidates=candidates,
        reading=ReadingTime(whole=0.05, shared=0.02),
        affinity="part",
        spread="entry",
    )


def _make_update() -> PeerUpdate:
    return PeerUpdate(
        name="edge-great-lakes-12",
        lifetime="0011aabb",
        port=7340,
        number=4_000,
        configuration=80,
        knows_store=True,
        revisions=(4_000, 4_100, 4_200, 4_300),
        endpoints=tuple(
            EndpointReport(2**31 + n, 3, (BacklogReport(4, 120),), 250, 40)
            for n in range(8)
        ),
        usage=Told(1_200, tuple(Heavy(f"tenant{n}", 300) for n in range(4))),
    )


class Line:
    """Adds up datagrams by the failure domain that they go to."""

    def __init__(self) -> None:
        self.datagrams = 0
        self.near = 0
        self.far = 0

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Count a datagram; the host of a near peer begins with `near`."""
        self.datagrams += 1
        size = len(data) + DATAGRAM_HEADER_BYTES
        if address[0].startswith("near"):
            self.near += size
        else:
            self.far += size


async def _count_news(gateways: int, domains: int) -> tuple[float, float]:
    """Return the kilobytes a second that one gateway sends near and far."""
    line = Line()
    exchange = UpdateExchange(
        name="me",
        domain="near",
        address=("me", 7),
        seeds=(),
        make_update=lambda **_: _make_update(),
        receive_update=lambda news: None,
    )
    exchange.connection_made(line)
    peers = gateways - 1
    near = max(round(gateways / domains) - 1, 0)
    for number in range(peers):
        domain = "near" if number < near else "far"
        name = f"{domain}{number}"
        news = PeerUpdate(name, "life", 7, 1, 1, True, domain=domain)
        exchange.datagram_received(msgspec.msgpack.encode(news), (name, 7))
    for _ in range(NEWS_ROUNDS):
        exchange.send()
    told = line.datagrams / NEWS_ROUNDS
    seconds = NEWS_ROUNDS * UPDATE_SECONDS * max(1.0, told / FULL_RATE_PEERS)
    return line.near / seconds / 1_000, line.far / seconds / 1_000


def _weigh_endpoint() -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = [
        EndpointState(
            endpoint=Endpoint(
                name=f"i-{number:010x}",
                born=1_700_000_000_000 + number,
                service="service",
                address=(f"10.0.{number // 250}.{number % 250}", 8_000),
                domain="north",
                version="v1",
                slots=48,
            ),
            now=0.0,
        )
        for number in range(ENDPOINTS)
    ]
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / len(kept)


if __name__ == "__main__":
    main()
