"""Tests of the client of the platform's store, against its stand-in."""

import asyncio

from eelgrassrack.platform.store import Kinds, PlatformStore
from eelgrassrack.standins.metadatastore import MetadataStore


def run(scenario):
    """Run a scenario with a client and the stand-in of the store."""

    async def main():
        standin = MetadataStore()
        await standin.start()
        store = PlatformStore(url=standin.url)
        try:
            await scenario(store, standin)
        finally:
            store.close()
            await standin.stop()

    asyncio.run(asyncio.wait_for(main(), 20))


async def write(store, address):
    return await store.write_peer(name="entry-1", address=address, timeout=2.0)


def find_address(standin):
    return bytes(standin.find(kind=Kinds.PEERS, name="entry-1").spec)


def test_an_unchanged_address_is_not_written():
    """All entries restart at once, and each call to the store is expensive."""

    async def scenario(store, standin):
        assert await write(store, "10.0.0.1:7")
        before, revision = standin.calls, standin.revision
        assert await write(store, "10.0.0.1:7")
        assert standin.calls == before + 1
        assert standin.revision == revision

    run(scenario)


def test_a_new_address_replaces_the_old_one():
    """An instance returns at another address; peers must not send to the old one."""

    async def scenario(store, standin):
        assert await write(store, "10.0.0.1:7")
        assert await write(store, "10.0.0.2:7")
        assert b"10.0.0.2:7" in find_address(standin)

    run(scenario)


def test_a_malformed_object_is_replaced():
    """Another writer stored bytes under the entry's name that no entry can decode."""

    async def scenario(store, standin):
        standin.put_raw(kind=Kinds.PEERS, name="entry-1", spec=b"7")
        assert await write(store, "10.0.0.1:7")
        assert b"10.0.0.1:7" in find_address(standin)

    run(scenario)
