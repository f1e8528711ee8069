"""Tests of the client of the platform's store, against its stand-in."""

import asyncio

import logbook
import msgspec
import pytest

from eelgrassrack.gateway.store.storeobjects import StoreUnavailable
from eelgrassrack.leftaside import MAX_LINES
from eelgrassrack.platform.store import Kinds, PlatformStore
from eelgrassrack.standins.metadatastore import MetadataStore


def run(scenario, *, standin=None):
    """Run a scenario with a client and the stand-in of the store."""
    standin = standin or MetadataStore()

    async def main():
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


def change_between_pages(standin, change):
    """Let `change` happen between the first two pages of a list of domains."""
    standin.page_objects = 2
    for name in ("b", "c", "d", "e", "f"):
        standin.put(kind=Kinds.EVACUATIONS, name=name, spec={})

    def after_page(kind, page):
        if page.items[0].metadata.name == "b":
            change()

    standin.after_page = after_page


async def list_domains(store):
    return await store.list(kind=Kinds.EVACUATIONS, timeout=2.0)


async def watch_domains(store, revision):
    return await store.watch(
        kind=Kinds.EVACUATIONS, revision=revision, wait=0.1, slack=1.0, stall=1.0
    )


@pytest.mark.parametrize("name", ["a", "b", "c", "d", "f", "g"])
@pytest.mark.parametrize("change", ["written", "removed", "replaced"])
def test_a_change_between_two_pages_is_watched(change, name):
    """Guards against changes on a page that was already read, which nobody reports."""

    async def scenario(store, standin):
        def act():
            if change != "written":
                standin.remove(kind=Kinds.EVACUATIONS, name=name)
            if change != "removed":
                standin.put(kind=Kinds.EVACUATIONS, name=name, spec={"again": True})

        change_between_pages(standin, act)
        listed = await list_domains(store)
        watched = await watch_domains(store, listed.revision)
        known = {**listed.objects, **watched.objects}
        left = {name for name, found in known.items() if found is not None}
        assert left == standin.list_names(Kinds.EVACUATIONS)
        # What was changed, if it was there, is reported once more by the watch.
        is_there = change != "removed" or name in "bcdf"
        assert (name in watched.objects) == is_there

    run(scenario)


def test_a_list_in_pages_claims_no_change_that_it_may_lack():
    """Guards against peers that take an incomplete list for one of a later revision.

    The last page shows a change that is later than one on the first page.
    """

    async def scenario(store, standin):
        def act():
            standin.put(kind=Kinds.EVACUATIONS, name="b", spec={"again": True})
            standin.put(kind=Kinds.EVACUATIONS, name="f", spec={"again": True})

        change_between_pages(standin, act)
        before = standin.revision
        listed = await list_domains(store)
        assert (listed.revision, listed.newest) == (before, before)
        watched = await watch_domains(store, listed.revision)
        assert set(watched.objects) == {"b", "f"}
        assert watched.newest == standin.revision

    run(scenario)


class EmptyPages(MetadataStore):
    """A store whose lists break off after their first page."""

    def list_page(self, kind, *, after="", allow_stale=False):
        page = super().list_page(kind, after=after, allow_stale=allow_stale)
        return msgspec.structs.replace(page, items=()) if after else page


def test_a_list_that_breaks_off_is_no_list():
    """Guards against a part of a list that is taken for the whole.

    All objects on the pages that are missing would count as removed.
    """

    async def scenario(store, standin):
        change_between_pages(standin, lambda: None)
        assert isinstance(await list_domains(store), StoreUnavailable)

    run(scenario, standin=EmptyPages())


def put_odd(standin, count, spec=b'"odd"'):
    for number in range(count):
        standin.put_raw(kind=Kinds.ENDPOINTS, name=f"odd{number}", spec=spec)


async def list_endpoints(store):
    return await store.list(kind=Kinds.ENDPOINTS, timeout=2.0)


def test_an_entry_left_aside_is_logged_once_until_it_changes():
    """A line for each read of the list would push out other lines."""

    async def scenario(store, standin):
        with logbook.TestHandler() as handler:
            put_odd(standin, 2)
            for _ in range(3):
                await list_endpoints(store)
            lines = [record.kwargs for record in handler.records]
            assert [line["name"] for line in lines] == ["odd0", "odd1"]
            assert all(line["kind"] == "servers" and line["reason"] for line in lines)
            put_odd(standin, 1, spec=b"[" * 5_000 + b"]" * 5_000)
            await list_endpoints(store)
            assert handler.records[-1].kwargs["reason"] == "nested too deeply"
            assert len(handler.records) == 3

    run(scenario)


def test_lines_of_entries_left_aside_are_bounded():
    """A writer that leaves thousands of long odd entries would fill the log."""

    async def scenario(store, standin):
        with logbook.TestHandler() as handler:
            put_odd(standin, 3_000, spec=b'"' + b"x" * 100 + b'"')
            long = b'{"state":"%s"}' % (b"y" * 10_000)
            standin.put_raw(kind=Kinds.ENDPOINTS, name="a" * 1_000, spec=long)
            await list_endpoints(store)
            assert len(handler.records) <= MAX_LINES + 1 + 6 * (MAX_LINES + 1)
            assert max(len(record.message) for record in handler.records) < 400

    run(scenario)
