"""Crowds of callers that make a gateway process hold as much as they can.

Checked is only what doesn't depend on the machine's speed: the process lives, its
memory and descriptors stay bounded, and an ordinary request is answered.
"""

import asyncio
import contextlib
import resource

import pytest

from bench.gatewaysoak.gateways import GatewayProcess
from eelgrassrack.standins.directengine import Echo, Hang, Reply
from test.gateway.world import call, make_route, make_world, wait_for
from test.ports import find_port

from .crowd import MEGABYTE, ask, gather_crowd, make_chunks, make_head, measure
from .test_descriptors import find_readiness

pytestmark = pytest.mark.processes

# The memory and the descriptors of the gateway's instance.
MEMORY_MB = 80
DESCRIPTORS = 1_800
FEW_DESCRIPTORS = 600

# Those of the users' smaller gateways, and as many callers as they have room for.
USUAL_MEMORY_MB = 150
USUAL_DESCRIPTORS = 4_100
MANY_CALLERS = 3_500

TEST_SECONDS = 120.0

CALLERS = 1_500
FEW_CALLERS = 100
FEW_READERS = 400

ROUTES = (
    make_route("look", "/look/", timeoutMs=60_000),
    make_route("hang", "/hang/", service="other", timeoutMs=60_000),
    make_route("large", "/large/", service="models", timeoutMs=60_000),
)
SERVICES = {"e1": "plain", "e2": "other", "e3": "models"}
LARGE_ANSWER = b"x" * 4_000_000

# A head of 15,000 bytes; each line becomes several objects.
SHORT_LINES = tuple(f"a{number}:" for number in range(1_800))

BODY = b"x" * 59_990
UNENDED_CHUNK = b"ea60\r\n" + BODY
DECLARED = b"Content-Length: 60000\r\n\r\n"
IN_CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNKS = make_chunks(3_000_000, piece=1_000_000) + b"f4240\r\n" + b"x" * 999_990
WHOLE = b"Content-Length: 2\r\n\r\nok"

CROWDS = {
    "nothing": (),
    "one chunk that doesn't end": (make_head("/look/1") + IN_CHUNKS, UNENDED_CHUNK),
    "a declared body that doesn't end": (make_head("/look/1") + DECLARED, BODY),
    "a long head, and no body": (make_head("/look/1", filler=14) + IN_CHUNKS,),
    "a head that doesn't end": (make_head("/look/1", filler=58),),
    "a head of many short lines": (
        make_head("/look/1", fields=SHORT_LINES) + IN_CHUNKS,
    ),
    "chunks of two bytes": (
        make_head("/look/1") + IN_CHUNKS,
        make_chunks(16_000, piece=2),
    ),
    "a body under an unknown key": (
        make_head("/look/1", key="unknown") + IN_CHUNKS,
        UNENDED_CHUNK,
    ),
    "a body to no route": (make_head("/nowhere/1") + IN_CHUNKS, UNENDED_CHUNK),
    "a body that waits for an endpoint": (
        make_head("/hang/1") + b"Content-Length: 59990\r\n\r\n",
        BODY,
    ),
    "more behind a request that waits": (make_head("/hang/1") + WHOLE, BODY),
}


@contextlib.asynccontextmanager
async def start_gateway(folder, descriptors=DESCRIPTORS, memory_mb=MEMORY_MB):
    """Yield a running gateway process whose endpoints answer, hang or answer much."""
    async with make_world() as world:
        scripts = {"e1": Echo(), "e2": Hang(), "e3": Reply(body=LARGE_ANSWER)}
        for name, script in scripts.items():
            await world.add_engine(name, script, service=SERVICES[name])
        world.configure(version=2, routes=ROUTES)
        gateway = GatewayProcess(
            number=1,
            news_port=find_port(),
            store=world.store.url.removeprefix("http://"),
            folder=str(folder),
        )
        path = folder / "entry-1.ini"
        section = f"[gateway]\nmemory_mb = {memory_mb}\n"
        path.write_text(path.read_text().replace("[gateway]\n", section))
        gateway.start()
        try:
            await wait_for(lambda: gateway.has_started)
            limits = (descriptors, descriptors)
            resource.prlimit(gateway.process.pid, resource.RLIMIT_NOFILE, limits)
            assert await ask_ordinary(gateway) == 200
            yield gateway
        finally:
            gateway.close()


async def ask_ordinary(gateway):
    """Return the status of an ordinary request."""
    return await ask(
        lambda: call(gateway.listen, "/look/2", attempt="ordinary", timeout_ms=20_000)
    )


async def check(gateway, descriptors=DESCRIPTORS):
    """Check that a gateway answers an ordinary request within its bounds."""
    assert await ask_ordinary(gateway) == 200
    usage = measure(gateway.process)
    assert usage.memory <= MEMORY_MB * MEGABYTE
    assert usage.descriptors <= descriptors


async def check_crowd(folder, address, count, *pieces, reads=True):
    """Check a gateway beside a crowd and after it has gone."""
    async with start_gateway(folder) as gateway:
        target = address(folder, gateway)
        async with gather_crowd(target, count, *pieces, reads=reads):
            await check(gateway)
        await check(gateway)


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, TEST_SECONDS))


def find_callers_port(folder, gateway):
    return gateway.listen


def find_readiness_port(folder, gateway):
    return find_readiness(folder)


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_that_stays_open_leaves_a_gateway_its_memory(tmp_path, name):
    """Guards against a process that is killed for the memory that callers take."""
    run(check_crowd(tmp_path, find_callers_port, CALLERS, *CROWDS[name]))


def test_a_crowd_of_large_bodies_leaves_a_gateway_its_memory(tmp_path):
    """Guards against a process that is killed for the memory that callers take."""
    head = make_head("/look/1") + IN_CHUNKS
    run(check_crowd(tmp_path, find_callers_port, FEW_CALLERS, head, LARGE_CHUNKS))


def test_callers_that_dont_read_leave_a_gateway_its_memory(tmp_path):
    """Guards against a process that is killed for answers that nobody reads."""
    request = make_head("/large/1") + WHOLE
    run(check_crowd(tmp_path, find_callers_port, FEW_READERS, request, reads=False))


@pytest.mark.parametrize("name", ["nothing", "a head that doesn't end"])
def test_a_crowd_at_the_readiness_port_leaves_a_gateway_its_memory(tmp_path, name):
    """Guards against a process that is killed for callers of an inner port."""
    run(check_crowd(tmp_path, find_readiness_port, CALLERS, *CROWDS[name]))


def test_heads_in_single_bytes_dont_keep_an_ordinary_request_waiting(tmp_path):
    """Guards against an event loop that only reads tiny pieces."""
    head = make_head("/look/1", filler=14)
    pieces = [head[place : place + 1] for place in range(200)]
    run(check_crowd(tmp_path, find_callers_port, CALLERS, *pieces))


def test_a_crowd_leaves_a_gateway_descriptors_for_others(tmp_path):
    """Guards against callers that wait in vain for a free descriptor."""

    async def main():
        async with start_gateway(tmp_path, FEW_DESCRIPTORS) as gateway:
            head = make_head("/look/1") + IN_CHUNKS
            async with gather_crowd(gateway.listen, CALLERS, head):
                await check(gateway, FEW_DESCRIPTORS)
            await check(gateway, FEW_DESCRIPTORS)

    run(main())


def test_many_heads_of_short_lines_dont_keep_an_ordinary_request_waiting(tmp_path):
    """Guards against a queue of readers in which an ordinary caller is the last."""

    async def main():
        settings = {"descriptors": USUAL_DESCRIPTORS, "memory_mb": USUAL_MEMORY_MB}
        async with start_gateway(tmp_path, **settings) as gateway:
            crowd = CROWDS["a head of many short lines"]
            async with gather_crowd(gateway.listen, MANY_CALLERS, *crowd):
                assert await ask_ordinary(gateway) == 200
            usage = measure(gateway.process)
            assert usage.memory <= USUAL_MEMORY_MB * MEGABYTE
            assert usage.descriptors <= USUAL_DESCRIPTORS

    run(main())
