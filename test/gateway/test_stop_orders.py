"""Orders of events in a gateway's stop, each set on purpose.

Whoever has connected gets an answer, whatever has arrived of its request.
"""

import asyncio
import contextlib
import os
import resource
import signal
import socket
import time

import msgspec
import pytest
from tornado.httpserver import HTTPServer

from eelgrassrack.gateway.daemon import Gateway
from eelgrassrack.gateway.gracefulstop import (
    LISTEN_MARGIN_SECONDS,
    REQUEST_MARGIN_SECONDS,
    ROTATION_SECONDS,
)
from eelgrassrack.gateway.listener import open_listener
from eelgrassrack.gateway.peers.peerupdates import UpdateExchange
from eelgrassrack.gateway.requests.ingress import FIRST_REQUEST_SECONDS, Ingress
from eelgrassrack.gateway.settings import GatewaySettings
from eelgrassrack.gateway.stopsignals import STOP_SIGNALS, StopSignals
from eelgrassrack.platform import headers
from eelgrassrack.platform.store import Kinds, PlatformStore
from eelgrassrack.standins.directengine import Hang, Reply

from ..ports import find_port
from .virtualtime import hold_up, run_in_virtual_time
from .world import KEY, connect, make_world, run

GRACE_SECONDS = 6.0

# How long a caller waits for its answer.
READ_SECONDS = 12.0

HEAD = f"POST /issue/1 HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer {KEY}\r\n"
WHOLE = f"{HEAD}X-Attempt-Id: a1\r\nContent-Length: 9\r\n\r\nabcdefghi".encode()
PARTS = {
    "nothing": b"",
    "part of the head": WHOLE[:20],
    "the head": WHOLE[:-9],
    "part of the body": WHOLE[:-7],
    "all": WHOLE,
}
HALF = PARTS["part of the body"]

ANSWERS = {200, 408, 503, 504}
REFUSED = "refused"


async def read_outcome(caller):
    """Return the status of a caller's answer, or what it got in place of one."""
    try:
        async with asyncio.timeout(READ_SECONDS):
            got = await caller.read()
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
        return type(error).__name__
    return got.status if got.is_whole else "cut"


async def read_outcomes(callers):
    """Return the outcome of each named caller."""
    outcomes = await asyncio.gather(*map(read_outcome, callers.values()))
    return dict(zip(callers, outcomes, strict=True))


def find_unanswered(outcomes):
    """Return the outcomes that aren't answers."""
    return {name: got for name, got in outcomes.items() if got not in ANSWERS}


async def connect_each(address):
    """Return a caller for each part of a request."""
    return {name: await connect(address) for name in PARTS}


def send_parts(callers):
    """Send to each caller's connection its part of a request."""
    for name, caller in callers.items():
        caller.writer.write(PARTS[name])


async def sleep_until(moment):
    """Sleep until a time of the event loop."""
    await asyncio.sleep(moment - asyncio.get_running_loop().time())


def make_gateway(world, listener, *, grace_seconds=GRACE_SECONDS):
    """Return a gateway that isn't started yet, though its port is open."""
    host, port = listener.getsockname()
    settings = GatewaySettings(
        name="entry-1",
        domain="north",
        listen=f"{host}:{port}",
        readiness=f"{host}:{find_port()}",
        address=host,
        news_port=world.news_port,
        metrics_port=world.news_port,
        objects_url=world.store.url,
        grace_seconds=grace_seconds,
    )
    gateway = Gateway(
        settings=settings,
        store=PlatformStore(url=settings.objects_url),
        kinds=Kinds,
        translation=headers,
        count_dropped=lambda: 0,
        listener=listener,
    )
    world.gateways.append(gateway)
    world.settings.append(settings)
    return gateway


# Ages of a connection when the stop closes it, in seconds: that of a caller which is
# waited for, and of one which isn't any more.
@pytest.mark.parametrize("age", [0.1, FIRST_REQUEST_SECONDS + 0.1])
def test_a_request_sent_just_when_a_stop_closes_its_connection_is_answered(
    age, monkeypatch
):
    """A new connection isn't used yet when the stop looks for idle ones.

    Its request is sent right after the look, so the gateway can't have read it.
    """
    callers = []
    close_idle = Ingress.close_idle

    def close_and_send(ingress):
        close_idle(ingress)
        while callers:
            callers.pop().send("/issue/1")

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            gateway = await world.start_gateway()
            await world.wait_ready()
            monkeypatch.setattr(Ingress, "close_idle", close_and_send)
            began = asyncio.get_running_loop().time()
            stopping = asyncio.ensure_future(gateway.stop())
            await sleep_until(began + ROTATION_SECONDS - age)
            caller = await connect(world.settings[0].listen)
            callers.append(caller)
            outcome = await read_outcome(caller)
            await stopping
            caller.close()
            assert callers == []
            assert outcome == (200 if age < FIRST_REQUEST_SECONDS else 408)

    run(main())


# When the loop is held up, as seconds since the beginning of the stop, and how long.
HOLDS = (
    (ROTATION_SECONDS - 0.1, 0.3),
    (GRACE_SECONDS - LISTEN_MARGIN_SECONDS - 0.1, 0.3),
    (GRACE_SECONDS - REQUEST_MARGIN_SECONDS - 0.1, 0.3),
    (GRACE_SECONDS - REQUEST_MARGIN_SECONDS - 0.1, 1.0),
)


@pytest.mark.parametrize(("after", "seconds"), HOLDS)
def test_what_comes_while_a_deadline_passes_is_answered(after, seconds):
    """Parts of requests come while the loop is held up over a step of its stop.

    A head that is read in the pass of the loop in which the end begins is of no
    request yet; if its body is incomplete, nobody refuses it afterwards.
    """

    async def main():
        async with make_world() as world:
            await world.add_engine("e1", Hang(), Reply())
            gateway = await world.start_gateway()
            await world.wait_ready()
            address = world.settings[0].listen
            keeping = await connect(address)
            keeping.writer.write(HALF)
            began = asyncio.get_running_loop().time()
            stopping = asyncio.ensure_future(gateway.stop())
            await sleep_until(began + after - 0.25)
            callers = await connect_each(address)
            await sleep_until(began + after)
            send_parts(callers)
            hold_up(seconds)
            outcomes = await read_outcomes(callers)
            await stopping
            keeping.close()
            assert find_unanswered(outcomes) == {}

    run_in_virtual_time(main())


# A caller's kernel withholds the last packet of the handshake for 40 ms or longer, as
# if the link were that slow.
SEND_AFTER_SECONDS = 0.03
CONNECT_EVERY_SECONDS = 0.005


async def ask_over_slow_handshake(address):
    """Connect by a handshake whose last packet is late; return the outcome."""
    host, port = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, (host, int(port)))
        except ConnectionRefusedError:
            return REFUSED
        await asyncio.sleep(SEND_AFTER_SECONDS)
        try:
            await loop.sock_sendall(sock, WHOLE)
            got = await asyncio.wait_for(loop.sock_recv(sock, 4_096), READ_SECONDS)
        except (ConnectionError, TimeoutError) as error:
            return type(error).__name__
        return int(got.split()[1]) if got else "closed"


def test_a_connection_whose_handshake_crosses_the_close_of_the_port_is_answered():
    """A caller is connected as far as it can tell, and the gateway hasn't heard.

    When the port is closed, the kernel forgets the handshake, and resets the
    connection when the request comes.
    """

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            gateway = await world.start_gateway()
            await world.wait_ready()
            address = world.settings[0].listen
            stopping = asyncio.ensure_future(gateway.stop())
            await asyncio.sleep(ROTATION_SECONDS - 0.1)
            asking = []
            while not asking or not asking[-1].done() or asking[-1].result() != REFUSED:
                asking.append(asyncio.ensure_future(ask_over_slow_handshake(address)))
                await asyncio.sleep(CONNECT_EVERY_SECONDS)
            outcomes = await asyncio.gather(*asking)
            await stopping
            assert set(outcomes) <= {*ANSWERS, REFUSED}

    run(main())


CONNECT_SECONDS = 0.3


def test_a_caller_that_connects_just_as_the_port_closes_is_answered(monkeypatch):
    """It would be in the port's queue after the queue has been accepted.

    The kernel resets what is in the queue when the port closes.
    """
    connected = []
    stop_server = HTTPServer.stop

    async def main():
        async with make_world() as world:
            gateway = await world.start_gateway()
            await world.wait_ready()
            host, port = world.settings[0].listen.rsplit(":", 1)

            def connect_and_stop(server):
                if server is gateway._server and not connected:
                    connected.append(connect_now(host, int(port)))
                stop_server(server)

            monkeypatch.setattr(HTTPServer, "stop", connect_and_stop)
            await gateway.stop()
            assert connected == [None]

    run(main())


def connect_now(host, port):
    """Return a connection, None if the port takes none."""
    try:
        return socket.create_connection((host, port), CONNECT_SECONDS)
    except OSError:
        return None


@contextlib.contextmanager
def use_up_descriptors():
    """Let this process open no further descriptor."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    filling = []
    used = {int(name) for name in os.listdir("/proc/self/fd")}
    limit = max(used) + 1
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    try:
        with contextlib.suppress(OSError):
            while True:
                filling.append(os.dup(0))
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for descriptor in filling:
            os.close(descriptor)


def test_a_stop_ends_in_order_though_no_descriptor_is_free():
    """A gateway has as many connections as it may when it closes its port.

    It can't accept the callers in the queue.  Those that it has are still answered.
    """

    async def main():
        async with make_world() as world:
            gateway = await world.start_gateway()
            await world.wait_ready()
            address = world.settings[0].listen
            halfway = await connect(address)
            halfway.writer.write(HALF)
            began = asyncio.get_running_loop().time()
            stopping = asyncio.ensure_future(gateway.stop())
            await sleep_until(began + GRACE_SECONDS - LISTEN_MARGIN_SECONDS - 0.02)
            host, port = address.rsplit(":", 1)
            with socket.create_connection((host, int(port))), use_up_descriptors():
                await asyncio.wait([stopping], timeout=0.3)
            await asyncio.wait([stopping])
            failure = stopping.exception()
            # The process ends whether its stop has succeeded or failed.
            await gateway.close()
            outcome = await read_outcome(halfway)
            halfway.close()
            assert outcome in ANSWERS
            assert failure is None

    run(main())


def test_an_idle_connection_is_told_though_no_descriptor_is_free():
    """A gateway has as many connections as it may when it closes the idle ones."""

    async def main():
        async with make_world() as world:
            gateway = await world.start_gateway()
            await world.wait_ready()
            caller = await connect(world.settings[0].listen)
            began = asyncio.get_running_loop().time()
            stopping = asyncio.ensure_future(gateway.stop())
            await sleep_until(began + ROTATION_SECONDS - 0.1)
            with use_up_descriptors():
                outcome = await read_outcome(caller)
            await stopping
            caller.close()
            assert outcome == 408

    run(main())


class TimedOutcome(msgspec.Struct, frozen=True):
    """What a caller got, and how many seconds after the stop signal."""

    status: int | str
    seconds: float


async def time_outcomes(callers, signalled_at):
    """Return the outcomes that aren't answers within the grace period."""

    async def read(caller):
        status = await read_outcome(caller)
        return TimedOutcome(status, time.monotonic() - signalled_at)

    outcomes = await asyncio.gather(*map(read, callers.values()))
    return {
        name: got
        for name, got in zip(callers, outcomes, strict=True)
        if got.status not in ANSWERS or got.seconds >= GRACE_SECONDS
    }


HELD_UP_SECONDS = 1.0


def make_signals():
    """Return the stop signals of this process, handled as a gateway does."""
    signals = StopSignals()
    signals.install_handlers()
    return signals


@pytest.fixture(autouse=True)
def signal_handlers():
    """Restore the signal handlers that a gateway replaces."""
    numbers = (*STOP_SIGNALS, signal.SIGHUP)
    handlers = {number: signal.getsignal(number) for number in numbers}
    yield
    for number, handler in handlers.items():
        signal.signal(number, handler)


def signal_and_hold_up():
    """Send SIGTERM to this process, which then runs nothing for a while."""
    signalled_at = time.monotonic()
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(HELD_UP_SECONDS)
    return signalled_at


def test_a_stop_signal_to_a_held_up_gateway_counts_from_when_it_was_sent():
    """The loop is held up when SIGTERM comes.

    SIGKILL doesn't wait for it, so what is answered later is never answered.
    """

    async def main():
        async with make_world() as world:
            await world.add_engine("e1", Hang())
            listener = open_listener(f"127.0.0.1:{find_port()}")
            gateway = make_gateway(world, listener)
            running = asyncio.ensure_future(gateway.run(make_signals()))
            await world.wait_ready()
            callers = await connect_each(world.settings[0].listen)
            send_parts(callers)
            await asyncio.sleep(0.1)
            signalled_at = signal_and_hold_up()
            assert await time_outcomes(callers, signalled_at) == {}
            await running

    run(main())


def test_a_stop_signal_within_the_start_counts_from_when_it_was_sent(monkeypatch):
    """SIGTERM comes while the gateway opens its sockets, and is held up."""
    signalled_at = []
    open_exchange = UpdateExchange.open

    async def hold_up(exchange):
        await open_exchange(exchange)
        signalled_at.append(signal_and_hold_up())

    monkeypatch.setattr(UpdateExchange, "open", hold_up)

    async def main():
        async with make_world() as world:
            await world.add_engine("e1", Hang())
            listener = open_listener(f"127.0.0.1:{find_port()}")
            gateway = make_gateway(world, listener)
            callers = await connect_each(world.settings[0].listen)
            send_parts(callers)
            running = asyncio.ensure_future(gateway.run(make_signals()))
            await asyncio.sleep(0.1)
            assert await time_outcomes(callers, *signalled_at) == {}
            await running

    run(main())


SHORT_GRACE_SECONDS = 2.0


def test_a_short_grace_period_is_kept():
    """The grace period is shorter than what the balancer needs to stop sending.

    SIGKILL comes before the stop has closed anything.
    """

    async def main():
        async with make_world() as world:
            listener = open_listener(f"127.0.0.1:{find_port()}")
            gateway = make_gateway(world, listener, grace_seconds=SHORT_GRACE_SECONDS)
            await gateway.start()
            await world.wait_ready()
            callers = await connect_each(world.settings[0].listen)
            send_parts(callers)
            await asyncio.sleep(0.1)
            await asyncio.wait_for(gateway.stop(), SHORT_GRACE_SECONDS)
            assert find_unanswered(await read_outcomes(callers)) == {}

    run(main())


@pytest.mark.parametrize("late", [-0.3, 1.0])
def test_a_start_that_took_the_whole_grace_period_answers_who_waits(late):
    """SIGTERM came while the process loaded, which took nearly all its time or more."""

    async def main():
        async with make_world(configured=False) as world:
            listener = open_listener(f"127.0.0.1:{find_port()}")
            gateway = make_gateway(world, listener)
            callers = await connect_each(world.settings[0].listen)
            send_parts(callers)
            await gateway.start()
            now = asyncio.get_running_loop().time()
            await gateway.stop(signalled_at=now - GRACE_SECONDS - late)
            assert find_unanswered(await read_outcomes(callers)) == {}

    run(main())


async def pump(reader, writer, delay):
    """Pass on what a reader gets, in order, `delay` seconds later each."""
    loop = asyncio.get_running_loop()
    waiting = asyncio.Queue()

    async def fill():
        data = b"-"
        while data:
            try:
                data = await reader.read(65_536)
            except ConnectionError:
                data = None
            waiting.put_nowait((loop.time() + delay, data))

    filling = asyncio.ensure_future(fill())
    while True:
        at, data = await waiting.get()
        await sleep_until(at)
        if data is None:
            writer.transport.abort()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write(data) if data else writer.write_eof()
        if not data:
            break
    await filling


async def open_slow_link(address, delay):
    """Return the address of a link to another one that takes `delay` seconds."""
    host, port = address.rsplit(":", 1)

    async def serve(reader, writer):
        await asyncio.sleep(delay)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except ConnectionError:
            writer.write(b"HTTP/1.1 599 refused\r\nContent-Length: 0\r\n\r\n")
            return
        await asyncio.gather(
            pump(reader, far_writer, delay), pump(far_reader, writer, delay)
        )

    link_port = find_port()
    await asyncio.start_server(serve, "127.0.0.1", link_port)
    return f"127.0.0.1:{link_port}"


# What the link says in place of a refused connection.
LINK_REFUSED = 599


async def ask_over_link(address, *, after, pause, cuts):
    """Connect `after` seconds, send a request in pieces with pauses before each."""
    await asyncio.sleep(after)
    caller = await connect(address)
    reading = asyncio.ensure_future(read_outcome(caller))
    for begin, end in zip((0, *cuts), (*cuts, len(WHOLE)), strict=True):
        await asyncio.sleep(pause)
        caller.writer.write(WHOLE[begin:end])
    outcome = await reading
    caller.close()
    return outcome


@pytest.mark.parametrize("delay", [0.2, 1.0])
def test_answers_that_cross_requests_on_slow_links_arrive(delay):
    """The last answer of a stop and the rest of a request are both on their way."""
    pieces = ((), (20,), (len(WHOLE) - 9,), (20, len(WHOLE) - 7))

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            gateway = await world.start_gateway()
            await world.wait_ready()
            address = await open_slow_link(world.settings[0].listen, delay)
            keeping = await connect(world.settings[0].listen)
            keeping.writer.write(HALF)
            stopping = asyncio.ensure_future(gateway.stop())
            outcomes = await asyncio.gather(
                *(
                    ask_over_link(address, after=number / 4, pause=pause, cuts=cuts)
                    for number in range(26)
                    for pause in (0.0, 0.2, 0.6, 1.2, 2.5)
                    for cuts in pieces
                )
            )
            await stopping
            keeping.close()
            assert set(outcomes) <= {*ANSWERS, LINK_REFUSED}
            assert 408 in outcomes

    run(main())
