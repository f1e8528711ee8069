"""Tests of the HTTP client of the object API, without and with faults."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassrack.standins.objectapi import ObjectApi
from eelgrassrack.standins.objects import CallKey, ObjectTable, TableStore
from eelgrassrack.store.client import HttpObjectStore
from eelgrassrack.store.errors import AddressError
from eelgrassrack.store.objects import (
    MAX_BODY_BYTES,
    Absent,
    Conflict,
    Found,
    Names,
    Unavailable,
    Unchanged,
    Written,
)

KIND = "claims"
NAME = "org/a key?&%"


class Platform:
    """An object table, its server and a client, on a clock that the test sets."""

    def __init__(self):
        self.now = 1000.0
        self.table = ObjectTable(clock=lambda: self.now)
        self.api = ObjectApi(table=self.table)

    def make_client(self, **options):
        """Return a client of this platform."""
        return HttpObjectStore(
            url=self.api.url,
            caller="entry-1",
            clock=lambda: self.now,
            jitter=lambda: 0.0,
            **options,
        )


def run(scenario, **options):
    async def main():
        platform = Platform()
        await platform.api.start()
        client = platform.make_client(**options)
        try:
            async with asyncio.timeout(60):
                await scenario(platform, client)
        finally:
            client.close()
            await platform.api.stop()

    asyncio.run(main())


async def until(condition):
    while not condition():
        await asyncio.sleep(0.002)


def create(client, body=b"one", name=NAME):
    return client.create(kind=KIND, name=name, body=body)


def read(client, name=NAME):
    return client.read(kind=KIND, name=name)


NAMES = st.sampled_from(["a", "a/b", "a b/%2F", "\u00e9?x=1&y#z", "b"])
STEPS = st.one_of(
    st.tuples(st.just("read"), NAMES),
    st.tuples(st.just("create"), NAMES, st.binary(max_size=9)),
    st.tuples(st.just("replace"), NAMES, st.binary(max_size=9), st.integers(0, 1)),
    st.tuples(st.just("remove"), NAMES, st.integers(0, 1)),
    st.tuples(st.just("watch"), NAMES, st.integers(0, 1)),
    st.tuples(st.just("find_names"), st.sampled_from(["", "a", "a/", "\u00e9?"])),
)


async def take_step(store, step, versions):
    """Take a step; `age` counts back from the version last seen."""
    match step:
        case "read", name:
            result = await store.read(kind=KIND, name=name)
        case "create", name, body:
            result = await store.create(kind=KIND, name=name, body=body)
        case "replace", name, body, age:
            version = versions.get(name, 0) - age
            result = await store.replace(
                kind=KIND, name=name, body=body, version=max(0, version)
            )
        case "remove", name, age:
            version = max(0, versions.get(name, 0) - age)
            result = await store.remove(kind=KIND, name=name, version=version)
        case "watch", name, age:
            version = max(0, versions.get(name, 0) - age)
            result = await store.watch(
                kind=KIND, name=name, version=version, timeout=0.0
            )
        case "find_names", prefix:
            return await store.find_names(kind=KIND, prefix=prefix)
    match result:
        case Found(version=version) | Written(version=version):
            versions[step[1]] = version
    return result


@settings(derandomize=True, deadline=None, max_examples=25)
@given(steps=st.lists(STEPS, max_size=25))
def test_every_call_gives_over_http_what_the_table_gives(steps):
    async def scenario(platform, client):
        oracle = TableStore(
            table=ObjectTable(clock=lambda: platform.now), caller="oracle"
        )
        ours, theirs = {}, {}
        for step in steps:
            platform.now += 1.0
            expected = await take_step(oracle, step, theirs)
            assert await take_step(client, step, ours) == expected

    run(scenario)


def test_a_lost_answer_is_maybe_written_and_sent_only_once():
    """A write takes effect and the connection closes before its answer.

    If the client resent the write by itself, it would get a conflict with its own
    write.  A request would then be refused as another's, or run twice.
    """

    async def scenario(platform, client):
        for number in range(3):
            assert isinstance(await read(client, f"warm-{number}"), Absent)
        platform.table.lose_answers = 1
        lost = await create(client)
        assert isinstance(lost, Unavailable)
        assert lost.maybe_written
        assert platform.table.calls[CallKey("entry-1", "create")] == 1
        found = await read(client)
        assert found.body == b"one"
        platform.table.lose_answers = 1
        lost = await client.replace(
            kind=KIND, name=NAME, body=b"two", version=found.version
        )
        assert lost.maybe_written
        assert platform.table.calls[CallKey("entry-1", "replace")] == 1
        assert (await read(client)).body == b"two"

    run(scenario)


@pytest.mark.parametrize("fault", ["503", "dropped", "refused"])
def test_an_outage_makes_every_call_unavailable_and_then_passes(fault):
    """The object API fails: it responds 503, drops connections or refuses them.

    The caller of a request that must not be repeated is refused.  What it is told must
    not claim more than the client knows.
    """

    async def scenario(platform, client):
        assert isinstance(await create(client), Written)
        platform.table.outage = True
        platform.api.drop_in_outage = fault == "dropped"
        if fault == "refused":
            platform.api.refuse()
        written = await create(client, name="other")
        assert isinstance(written, Unavailable)
        assert written.maybe_written is (fault != "refused")
        failed = await read(client)
        assert isinstance(failed, Unavailable)
        assert not failed.maybe_written
        platform.table.outage = False
        platform.api.accept()
        assert (await read(client)).body == b"one"
        assert isinstance(await read(client, "other"), Absent)

    run(scenario)


def test_a_long_outage_costs_few_calls():
    """The object API stays unavailable while a busy daemon keeps calling it.

    Otherwise each call would wait for its own timeout, and the platform would receive
    all of them when it returns.
    """

    async def scenario(platform, client):
        platform.table.outage = True
        for _ in range(200):
            assert isinstance(await read(client), Unavailable)
            platform.now += 0.05
        # Ten seconds: three calls until the circuit opens, then one for each pause.
        assert platform.table.count_calls(caller="entry-1") < 15
        platform.table.outage = False
        platform.now += 4.0
        assert isinstance(await read(client), Absent)

    run(scenario)


def test_a_platform_too_slow_is_unavailable():
    """The object API hangs; it is unknown whether the write took effect."""

    async def scenario(platform, client):
        platform.table.delay = 600.0
        written = await create(client)
        assert isinstance(written, Unavailable)
        assert written.maybe_written

    run(scenario, timeout=0.05)


def test_a_refusal_for_too_many_calls_is_heeded():
    """The whole fleet calls more often than the platform allows."""

    async def scenario(platform, client):
        platform.table.max_calls_per_second = 1
        assert isinstance(await read(client), Absent)
        refused = await create(client)
        assert refused.retry_after == 1.0
        assert not refused.maybe_written
        calls = platform.table.count_calls(caller="entry-1")
        delayed = await read(client)
        assert 0 < delayed.retry_after <= 1.0
        assert platform.table.count_calls(caller="entry-1") == calls
        platform.now += 1.0
        assert isinstance(await read(client), Absent)

    run(scenario)


def test_a_watch_sees_what_changed_while_nobody_watched():
    """The platform fails and the watch ends, and the object changes meanwhile.

    A client that waited for the next event would miss the change, and an old
    configuration would stay in force.
    """

    async def scenario(platform, client):
        first = await create(client)
        where = {"kind": KIND, "name": NAME}
        watch = asyncio.ensure_future(
            client.watch(**where, version=first.version, timeout=50.0)
        )
        watched = CallKey("entry-1", "watch")
        await until(lambda: platform.table.calls[watched] == 1)
        platform.table.outage = True
        assert isinstance(await watch, Unavailable)
        platform.table.outage = False
        other = TableStore(table=platform.table, caller="operator")
        second = await other.replace(**where, body=b"two", version=first.version)
        found = await client.watch(**where, version=first.version, timeout=50.0)
        assert found == Found(body=b"two", version=second.version)
        await other.remove(**where, version=second.version)
        gone = await client.watch(**where, version=second.version, timeout=50.0)
        assert isinstance(gone, Absent)

    run(scenario)


def test_a_watch_ends_with_a_change_or_unchanged():
    async def scenario(platform, client):
        where = {"kind": KIND, "name": NAME}
        assert isinstance(
            await client.watch(**where, version=0, timeout=0.01), Unchanged
        )
        watch = asyncio.ensure_future(client.watch(**where, version=0, timeout=50.0))
        watched = CallKey("entry-1", "watch")
        await until(lambda: platform.table.calls[watched] == 2)
        written = await create(client)
        assert await watch == Found(body=b"one", version=written.version)

    run(scenario)


def test_closing_ends_a_watch_under_way():
    """A daemon stops during a watch and must not wait for its end."""

    async def scenario(platform, client):
        watch = asyncio.ensure_future(
            client.watch(kind=KIND, name=NAME, version=0, timeout=50.0)
        )
        await until(lambda: platform.table.count_calls(caller="entry-1"))
        client.close()
        assert isinstance(await watch, Unavailable)
        assert isinstance(await read(client), Unavailable)

    run(scenario)


def test_a_body_over_the_limit_is_refused_on_either_side():
    async def scenario(platform, client):
        body = b"x" * (MAX_BODY_BYTES + 1)
        refused = await create(client, body)
        assert isinstance(refused, Unavailable)
        assert not refused.maybe_written
        assert platform.table.count_calls(caller="entry-1") == 0
        table = TableStore(table=platform.table, caller="other")
        assert isinstance(await create(table, body), Unavailable)
        assert isinstance(await create(client, body[1:]), Written)
        assert isinstance(await create(client, b""), Conflict)
        names = await client.find_names(kind=KIND, prefix="org/")
        assert names == Names(names=(NAME,))

    run(scenario)


def test_an_address_that_is_no_url_is_an_error():
    with pytest.raises(AddressError):
        HttpObjectStore(url="127.0.0.1:80")
