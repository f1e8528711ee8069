"""Tests of the stand-ins for the plain service, rating service and instance list."""

import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import HTTPStreamClosedError

from eelgrassrack.standins.answers import BAD_MARKER
from eelgrassrack.standins.instancelist import InstanceListApi, InstanceTable
from eelgrassrack.standins.rating import RatingService
from eelgrassrack.standins.service import PlainService
from eelgrassrack.store.instances import Instance, Role
from eelgrassrack.store.objects import Unavailable
from eelgrassrack.store.platform import (
    HttpInstanceList,
    NotRated,
    Rated,
    RatingClient,
)

ENTRY = Instance(
    name="entry-1", role=Role.ENTRY, domain="lansing", mailbox="tcp://127.0.0.1:1"
)


def run(server, scenario):
    async def main():
        await server.start()
        try:
            async with asyncio.timeout(30):
                await scenario()
        finally:
            await server.stop()

    asyncio.run(main())


def test_the_service_counts_each_execution_by_its_request():
    """A service executes a request and crashes before it answers.

    A router that resent the request would issue a second credential.
    """
    service = PlainService(name="registry")

    async def send(method, request, **options):
        client = AsyncHTTPClient(force_instance=True)
        return await client.fetch(
            f"{service.url}/credentials/7?x=1",
            method=method,
            headers={"X-Request-Id": request},
            **options,
        )

    async def scenario():
        echo = json.loads((await send("PUT", "r1", body="issue")).body)
        assert echo["method"] == "PUT"
        assert echo["path"] == "/credentials/7?x=1"
        assert echo["body"] == "issue"
        service.crash_after_effect = True
        with pytest.raises(HTTPStreamClosedError):
            await send("POST", "r2", body="issue")
        service.refuse()
        with pytest.raises(OSError, match="refused"):
            await send("GET", "r3")
        assert service.effects == {"r1": 1, "r2": 1}
        assert service.count_executions(body="issue") == 2
        service.crash_after_effect = False
        service.accept()
        assert json.loads((await send("GET", "r3")).body)["serial"] == 3

    run(service, scenario)


def test_ratings_differ_for_good_weak_and_bad_answers():
    service = RatingService(cheap=["small"])

    async def scenario():
        client = RatingClient(url=service.url)

        async def rate(model, prompt, answer, timeout=10.0):
            return await client.rate(
                kind="study",
                model=model,
                prompt=prompt,
                answer=answer,
                timeout=timeout,
            )

        good = await rate("small/1", "easy", "text")
        weak = await rate("small/1", "a hard one", "text")
        bad = await rate("large/1", "easy", f"{BAD_MARKER} text")
        assert 1.0 >= good.score > weak.score > bad.score >= 0.0
        assert await rate("large/1", "a hard one", "text") == good
        service.wrong = True
        wrong = await rate("large/1", "easy", "text")
        assert isinstance(wrong, Rated)
        assert wrong.score < 0.5
        service.silent = True
        silent = await rate("large/1", "easy", "text", timeout=0.05)
        assert isinstance(silent, NotRated)
        client.close()

    run(service, scenario)


def test_the_instance_list_shows_changes_late_and_in_order():
    """The list still shows a removed instance for a while."""
    table = InstanceTable()
    api = InstanceListApi(table=table)

    async def scenario():
        client = HttpInstanceList(url=api.url)
        watch = asyncio.ensure_future(client.watch(version=0, timeout=20.0))
        while not table.calls:
            await asyncio.sleep(0.002)
        table.join(ENTRY)
        listing = await watch
        assert listing.instances == (ENTRY,)
        table.lag = 600.0
        table.leave("entry-1")
        late = await client.watch(version=0, timeout=0.0)
        assert late == listing
        table.lag = 0.01
        table.remove("entry-1")
        gone = await client.watch(version=late.version, timeout=20.0)
        assert gone.instances == ()
        assert gone.version == late.version + 2
        client.close()

    run(api, scenario)


def test_an_unavailable_instance_list_is_queried_less_often():
    """The list is down while a daemon watches it in a loop.

    Without backoff the loop would spin and add load that keeps the list down.
    """
    table = InstanceTable()
    api = InstanceListApi(table=table)

    async def scenario():
        client = HttpInstanceList(url=api.url, jitter=lambda: 0.0)
        table.outage = True
        started = asyncio.get_running_loop().time()
        for _ in range(4):
            result = await client.watch(version=0, timeout=20.0)
            assert isinstance(result, Unavailable)
        # The backoff pauses three times, for at least 0.05, 0.1 and 0.2 seconds.
        assert asyncio.get_running_loop().time() - started >= 0.34
        client.close()

    run(api, scenario)
