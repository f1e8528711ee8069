"""Slopes of the gateway's own costs: `python -m bench.gatewayslopes`.

Prints microseconds of processor time for a choice of engines by their number
and for a peer's news, and bytes for an endpoint and for news.
"""

import time
import tracemalloc
from collections.abc import Callable

import msgspec

from eelgrassrack.decisions.engines import Candidate, Reading, choose_engine
from eelgrassrack.decisions.fairshare import Heavy, Told
from eelgrassrack.gateway.endpoints import Endpoint
from eelgrassrack.gateway.flight import Flight
from eelgrassrack.gateway.news import BacklogNews, FlightNews, News

SIZES = (9, 29, 580)
ROUNDS = 300
MICROSECONDS = 1e6
ENDPOINTS = 1_000


def main() -> None:
    """Print the table."""
    for size in SIZES:
        took = measure(lambda size=size: _choose(size))
        print(f"choose among {size} engines: {took:.0f} us")
    news = _make_news()
    data = msgspec.msgpack.encode(news)
    print(f"news with 8 flights: {len(data)} bytes")
    print(f"encode news: {measure(lambda: msgspec.msgpack.encode(news)):.1f} us")
    took = measure(lambda: msgspec.msgpack.decode(data, type=News))
    print(f"decode news: {took:.1f} us")
    print(f"an endpoint: {_weigh_endpoint():.0f} bytes")


def measure(work: Callable[[], object]) -> float:
    """Return the microseconds of processor time of one round."""
    began = time.process_time()
    for _ in range(ROUNDS):
        work()
    return (time.process_time() - began) / ROUNDS * MICROSECONDS


def _choose(size: int) -> object:
    candidates = [
        Candidate(
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
        reading=Reading(whole=0.05, shared=0.02),
        affinity="part",
        spread="entry",
    )


def _make_news() -> News:
    return News(
        name="edge-great-lakes-12",
        lifetime="0011aabb",
        port=7340,
        number=4_000,
        configuration=80,
        knows_store=True,
        revisions=(4_000, 4_100, 4_200, 4_300),
        flights=tuple(
            FlightNews(2**31 + n, 3, (BacklogNews(4, 120),), 250, 40) for n in range(8)
        ),
        usage=Told(1_200, tuple(Heavy(f"tenant{n}", 300) for n in range(4))),
    )


def _weigh_endpoint() -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = [
        Flight(
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
