"""Calls to the platform's store, against its stand-in."""

import asyncio

from eelgrassrack.platform.store import Kinds, PlatformStore
from eelgrassrack.standins.metadatastore import MetadataStore


def run(play):
    """Play with a store and its stand-in."""

    async def main():
        standin = MetadataStore()
        await standin.start()
        store = PlatformStore(url=standin.url)
        try:
            await play(store, standin)
        finally:
            store.close()
            await standin.stop()

    asyncio.run(asyncio.wait_for(main(), 20))


async def write(store, address):
    return await store.write_peer(name="entry-1", address=address, timeout=2.0)


def find_address(standin):
    return bytes(standin.find(kind=Kinds.PEERS, name="entry-1").spec)


def test_an_entry_that_says_the_same_is_left_as_it_is():
    """All entries restart at once; each call to the store is paid for."""

    async def play(store, standin):
        assert await write(store, "10.0.0.1:7")
        before, revision = standin.calls, standin.revision
        assert await write(store, "10.0.0.1:7")
        assert standin.calls == before + 1
        assert standin.revision == revision

    run(play)


def test_an_entry_at_a_new_address_replaces_its_old_one():
    """An instance comes back at another address; peers would send to the old one."""

    async def play(store, standin):
        assert await write(store, "10.0.0.1:7")
        assert await write(store, "10.0.0.2:7")
        assert b"10.0.0.2:7" in find_address(standin)

    run(play)


def test_an_entry_of_another_writer_is_replaced():
    """Somebody else wrote bytes under the name that no entry can read."""

    async def play(store, standin):
        standin.put_raw(kind=Kinds.PEERS, name="entry-1", spec=b"7")
        assert await write(store, "10.0.0.1:7")
        assert b"10.0.0.1:7" in find_address(standin)

    run(play)
