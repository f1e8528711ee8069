"""Single callers inside the limits, and refusals of requests that didn't run."""

import asyncio

import pytest

from eelgrassrack.decisions.callermemory import CallerMemory
from eelgrassrack.gateway.endpoints.placing import Placer
from eelgrassrack.standins.directengine import Echo, Hang, Reply

from .test_limits import HEAD
from .world import KEY, connect, make_world, run, wait_for

TINY_CHUNK = b"2\r\nok\r\n"
TINY_CHUNKS = 200_000
SHORT_LINES = tuple((f"a{number}", "") for number in range(1_800))
LONGEST_BODY = b"x" * 4_194_304
IN_CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"

# The callers' room of a gateway with so little memory is the least there is.
LITTLE_MEMORY_MB = 50.0


async def start(world, *, script=None, **settings):
    engine = await world.add_engine("e1", script or Reply())
    await world.start_gateway(**settings)
    await world.wait_ready()
    return engine


@pytest.mark.parametrize("memory_mb", [0.0, LITTLE_MEMORY_MB])
def test_the_longest_body_is_served(memory_mb):
    """Guards against a bound on all callers that a single one meets."""

    async def main():
        async with make_world() as world:
            engine = await start(world, memory_mb=memory_mb)
            assert (await world.call(body=LONGEST_BODY)).status == 200
            assert engine.runs[0].body == LONGEST_BODY

    run(main())


def test_a_long_body_in_tiny_chunks_is_served():
    """Guards against a bound on pieces that a request inside the limits meets."""

    async def main():
        async with make_world() as world:
            engine = await start(world)
            caller = await connect(world.settings[0].listen)
            caller.writer.write(HEAD.encode() + IN_CHUNKS)
            caller.writer.write(TINY_CHUNK * TINY_CHUNKS + b"0\r\n\r\n")
            assert (await caller.read()).status == 200
            assert engine.runs[0].body == b"ok" * TINY_CHUNKS
            caller.send("/look/1", attempt="next")
            assert (await caller.read()).status == 200
            caller.close()

    run(main())


def test_a_head_of_many_short_lines_is_served():
    """Guards against a bound on lines that a request inside the limits meets."""

    async def main():
        async with make_world() as world:
            await start(world, memory_mb=LITTLE_MEMORY_MB)
            assert (await world.call(headers=SHORT_LINES)).status == 200

    run(main())


def test_a_request_in_single_bytes_is_served():
    """Guards against turns in which a caller of tiny pieces is forgotten."""

    async def main():
        async with make_world() as world:
            await start(world)
            caller = await connect(world.settings[0].listen)
            data = HEAD.encode() + IN_CHUNKS + TINY_CHUNK * 50 + b"0\r\n\r\n"
            for place in range(len(data)):
                caller.writer.write(data[place : place + 1])
                await caller.writer.drain()
                await asyncio.sleep(0)
            assert (await caller.read()).status == 200
            caller.close()

    run(main())


@pytest.mark.parametrize(
    ("path", "key", "status"), [("/look/1", "unknown", 401), ("/nowhere/1", KEY, 404)]
)
def test_what_the_head_decides_is_refused_before_the_body(path, key, status):
    """Guards against bodies that are read to their ends, only to be refused."""

    async def main():
        async with make_world() as world:
            engine = await start(world)
            caller = await connect(world.settings[0].listen)
            caller.writer.write(
                f"POST {path} HTTP/1.1\r\nHost: api.example\r\n"
                f"Authorization: Bearer {key}\r\nContent-Length: 9\r\n\r\nhalf".encode()
            )
            assert (await caller.read()).status == status
            assert not engine.runs
            caller.close()

    run(main())


def test_a_body_that_outlasts_its_request_s_time_is_refused():
    """Guards against callers that hold their place with a byte now and then."""

    async def main():
        async with make_world() as world:
            engine = await start(world)
            caller = await connect(world.settings[0].listen)
            head = HEAD.encode() + b"X-Deadline-Ms: 500\r\n"
            caller.writer.write(head + b"Content-Length: 9\r\n\r\nhalf")
            refused = await caller.read()
            assert refused.status == 503
            assert float(refused.headers["retry-after"]) > 0
            caller.writer.write(b" more")
            assert await caller.reader.read() == b""
            assert not engine.runs
            caller.close()

    run(main())


def test_a_waiting_request_that_gives_way_never_runs(monkeypatch):
    """Guards against a refusal that isn't true, as the request is sent on later."""
    place_at_once = Placer.place

    async def main():
        may_go_on = asyncio.Event()

        async def place_later(placer, job):
            placed = await place_at_once(placer, job)
            await may_go_on.wait()
            return placed

        monkeypatch.setattr(Placer, "place", place_later)
        async with make_world() as world:
            engine = await start(world, script=Echo(), memory_mb=LITTLE_MEMORY_MB)
            caller = await connect(world.settings[0].listen)
            caller.send("/look/1", attempt="first", body=b"x" * 60_000)
            room = world.gateways[0]._room
            (place,) = await wait_for_places(world.gateways[0], phase="waiting")
            # It would be sent on in the very turn in which it gives way.
            may_go_on.set()
            room._end(place, is_asking=False)
            refused = await caller.read()
            assert refused.status == 503
            assert (await world.call(attempt="second")).status == 200
            assert [one.attempt for one in engine.runs] == ["second"]
            caller.close()

    run(main())


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_request_whose_last_part_has_no_room_never_runs(monkeypatch, is_chunked):
    """Guards against a request that is sent on without the end of its body."""
    body = b"x" * 20_000

    def is_whole(memory, place):
        return place._body == len(body)

    monkeypatch.setattr(CallerMemory, "exceeds", is_whole)
    monkeypatch.setattr(
        CallerMemory, "choose_leaving", lambda memory, asking, now: [asking]
    )

    async def main():
        async with make_world() as world:
            engine = await start(world)
            caller = await connect(world.settings[0].listen)
            if is_chunked:
                data = IN_CHUNKS + f"{len(body):x}\r\n".encode() + body
                caller.writer.write(HEAD.encode() + data + b"\r\n0\r\n\r\n")
            else:
                caller.send("/look/1", body=body)
            assert (await caller.read()).status == 503
            assert (await world.call(attempt="second")).status == 200
            assert [one.attempt for one in engine.runs] == ["second"]
            caller.close()

    run(main())


async def wait_for_places(gateway, *, phase):
    """Return the places in a phase, once there are any."""
    async with asyncio.timeout(5):
        while True:
            places = [
                place for place in gateway._room._leavers if place.phase.value == phase
            ]
            if places:
                return places
            await asyncio.sleep(0.01)


def test_a_request_that_an_endpoint_has_begun_keeps_its_place():
    """Guards against a run that is ended to make room."""

    async def main():
        async with make_world() as world:
            engine = await start(world, script=Hang(), memory_mb=LITTLE_MEMORY_MB)
            caller = await connect(world.settings[0].listen)
            caller.send("/look/1", attempt="first", body=b"x" * 60_000)
            await wait_for(lambda: engine.runs)
            (place,) = await wait_for_places(world.gateways[0], phase="served")
            assert not place.may_give_way
            caller.close()

    run(main())
