"""What gateways send to each other over HTTP."""

import gzip

import msgspec
from tornado.httpclient import AsyncHTTPClient

from eelgrassrack.gateway.store.storeviews import KnownRevisions, StoreView, make_path

from .world import ROUTES, make_route, make_world, run

ADDED_ROUTES = 1_400
# Over a link of 5 Mbit/s this takes a sixth of a second.
MOST_BYTES = 100_000


async def fetch_raw(url, **rest):
    client = AsyncHTTPClient(force_instance=True)
    answer = await client.fetch(url, decompress_response=False, **rest)
    return answer.body, answer.headers


def test_a_large_configuration_takes_few_bytes_between_gateways():
    """Guards against configurations that fill a gateway's link for seconds.

    An operator adds many routes, and each gateway fetches them from a peer.
    """

    async def main():
        async with make_world(configured=False) as world:
            added = (
                make_route(f"r-{number:x}", f"/added{number}/")
                for number in range(ADDED_ROUTES)
            )
            world.configure(routes=(*ROUTES, *added))
            gateway = await world.start_gateway()
            await world.wait_ready()
            settings = gateway._settings
            path = make_path(KnownRevisions())
            url = f"http://{settings.address}:{settings.metrics_port}{path}"
            plain, _ = await fetch_raw(url)
            body, headers = await fetch_raw(url, headers={"Accept-Encoding": "gzip"})
            assert headers["Content-Encoding"] == "gzip"
            assert len(body) < MOST_BYTES < len(plain)
            view = msgspec.msgpack.decode(gzip.decompress(body), type=StoreView)
            assert len(view.plan.routes) == len(ROUTES) + ADDED_ROUTES

    run(main())
