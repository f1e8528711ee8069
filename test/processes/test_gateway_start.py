"""Requests, settings and signals that arrive while a gateway process starts."""

import asyncio
import contextlib
import signal
import socket
import subprocess
import sys
import time

import pytest

from bench.gatewaysoak.gateways import GatewayProcess
from eelgrassrack.gateway.listener import open_early, open_listener
from eelgrassrack.standins.directengine import Echo
from test.gateway.world import connect, make_world, run, wait_for
from test.ports import find_port

pytestmark = pytest.mark.processes

HALF_REQUEST = b"POST /look/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab"


async def connect_when_open(address):
    """Connect to an address; retry until a process listens there."""
    while True:
        try:
            return await connect(address)
        except ConnectionRefusedError:
            await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def start_gateway(folder):
    """Start a gateway process; its endpoint answers with each attempt's id."""
    async with make_world() as world:
        await world.add_engine("e1", Echo())
        gateway = GatewayProcess(
            number=1,
            news_port=find_port(),
            store=world.store.url.removeprefix("http://"),
            folder=str(folder),
        )
        gateway.start()
        try:
            yield gateway
        finally:
            gateway.close()


def test_a_caller_waits_while_the_process_loads(tmp_path):
    """All gateways are killed and restart at the same moment.

    A caller whose connection broke retries once, while the gateway is still
    importing its libraries.  If the kernel refused the connection, the caller
    would give up.  The socket already listens, so the caller waits for a fraction
    of a second and is served.
    """

    async def main():
        async with start_gateway(tmp_path) as gateway:
            caller = await connect_when_open(gateway.listen)
            assert "started" not in (tmp_path / "entry-1.log").read_text()
            caller.send("/look/1", attempt="early")
            response = await caller.read()
            assert (response.status, response.body) == (200, b"early")

    run(main())


def test_changed_settings_dont_end_a_process_that_loads(tmp_path):
    """Operators change settings while an instance restarts after a crash.

    SIGHUP arrives before the process has installed its handler.  The default
    action would end the process, which would cut the waiting callers and start
    again from the beginning.
    """

    async def main():
        async with start_gateway(tmp_path) as gateway:
            caller = await connect_when_open(gateway.listen)
            gateway.send(signal.SIGHUP)
            caller.send("/look/1", attempt="early")
            assert (await caller.read()).status == 200
            assert gateway.process.poll() is None

    run(main())


def test_a_stop_while_the_process_loads_cuts_no_caller_that_waits(tmp_path):
    """All gateways are stopped again while they restart.

    SIGTERM arrives before the process has installed its handler.  The default
    action would end the process and cut the waiting callers, who couldn't know
    whether their requests ran.
    """

    async def main():
        async with start_gateway(tmp_path) as gateway:
            caller = await connect_when_open(gateway.listen)
            caller.send("/look/1", attempt="early")
            stopped_at = time.monotonic()
            gateway.send(signal.SIGTERM)
            assert (await caller.read()).is_whole
            while gateway.is_up:
                await asyncio.sleep(0.02)
            assert time.monotonic() < stopped_at + gateway.grace

    run(main())


def test_the_socket_is_open_before_libraries_are_loaded(tmp_path):
    """The socket opens before any heavy import.

    Without this test such an import could delay the socket unnoticed.
    """
    settings = tmp_path / "gateway.ini"
    address = f"127.0.0.1:{find_port()}"
    settings.write_text(f"[gateway]\nlisten = {address}\n")
    script = (
        "import sys\n"
        "from eelgrassrack.gateway.listener import open_early\n"
        f"assert open_early({str(settings)!r}).getsockname()[0] == '127.0.0.1'\n"
        "heavy = {'asyncio', 'tornado', 'msgspec', 'logbook', 'pycurl'}\n"
        "print(*(heavy & set(sys.modules)))\n"
    )
    ran = subprocess.run(
        [sys.executable, "-S", "-c", script],
        capture_output=True,
        check=False,
        text=True,
    )
    assert (ran.returncode, ran.stdout, ran.stderr) == (0, "\n", "")


@pytest.mark.parametrize(
    "text", ["", "[gateway]\n", "[gateway]\nlisten = nowhere\n", "listen = \x00"]
)
def test_open_early_ignores_faulty_settings(tmp_path, text):
    settings = tmp_path / "gateway.ini"
    settings.write_text(text)
    assert open_early(str(settings)) is None
    assert open_early(str(tmp_path / "missing.ini")) is None


def test_open_early_ignores_an_address_in_use(tmp_path):
    settings = tmp_path / "gateway.ini"
    with open_listener(f"127.0.0.1:{find_port()}") as taken:
        host, port = taken.getsockname()
        settings.write_text(f"[gateway]\nlisten = {host}:{port}\n")
        assert open_early(str(settings)) is None


async def read_outcome(caller):
    """Return the status of a caller's answer, or how its connection ended."""
    try:
        return (await asyncio.wait_for(caller.read(), 10)).status
    except (OSError, asyncio.IncompleteReadError) as error:
        return repr(error)


async def ask_in_queue(gateway):
    """Have callers wait in the queue of a gateway that loads; return the outcomes."""
    callers = [await connect_when_open(gateway.listen) for _ in range(8)]
    for caller in callers[:6]:
        caller.send("/look/1", attempt="early")
    return await asyncio.gather(*(read_outcome(caller) for caller in callers))


QUEUE_OUTCOMES = [503] * 6 + [408] * 2

# Lines of a settings file that keep a gateway from starting, and what it says then.
FAULTY_LINES = {
    "metrics_port = {taken}": "(setting metrics_port): Address already in use",
    "readiness = 127.0.0.1:{taken}": "(setting readiness): Address already in use",
    "readiness = 192.0.2.1:{taken}": "(setting readiness): Cannot assign requested",
    "news_port = {taken}": "(setting news_port): Address already in use",
    "grace_seconds = soon": "grace_seconds",
}


def change_line(path, line):
    """Replace the line of a settings file that sets the same key."""
    key = line.split(" = ")[0]
    lines = path.read_text().splitlines()
    changed = [line if one.startswith(f"{key} = ") else one for one in lines]
    path.write_text("\n".join(changed) + "\n")


@pytest.mark.parametrize(("line", "message"), FAULTY_LINES.items())
def test_a_start_that_fails_answers_the_callers_that_wait(tmp_path, line, message):
    """The port for callers is open when the process finds out that it can't start."""

    async def main():
        async with make_world() as world:
            gateway = GatewayProcess(
                number=1,
                news_port=find_port(),
                store=world.store.url.removeprefix("http://"),
                folder=str(tmp_path),
            )
            taken = find_port()
            change_line(tmp_path / "entry-1.ini", line.format(taken=taken))
            with (
                open_listener(f"127.0.0.1:{taken}"),
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
            ):
                datagrams.bind(("127.0.0.1", taken))
                gateway.start()
                outcomes = await ask_in_queue(gateway)
                assert await asyncio.to_thread(gateway.process.wait, 10) == 1
            assert outcomes == QUEUE_OUTCOMES
            log = (tmp_path / "entry-1.log").read_text()
            assert message in log
            assert "Traceback" not in log

    run(main())


SLOW_IMPORT = """\
import sys, time

class SlowFinder:
    def find_spec(self, name, path=None, target=None):
        if name == "tornado":
            sys.stderr.write("loading\\n")
            time.sleep(6.0)

sys.meta_path.insert(0, SlowFinder())
"""


def test_a_stop_while_the_process_loads_doesnt_wait_for_loading(tmp_path, monkeypatch):
    """Loading takes longer than the grace period on an overloaded machine."""
    (tmp_path / "sitecustomize.py").write_text(SLOW_IMPORT)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))

    async def main():
        async with start_gateway(tmp_path) as gateway:
            asking = asyncio.ensure_future(ask_in_queue(gateway))
            await wait_for(lambda: "loading" in (tmp_path / "entry-1.log").read_text())
            await asyncio.sleep(0.2)
            gateway.send(signal.SIGTERM)
            stopped_at = time.monotonic()
            await wait_for(lambda: not gateway.is_up, seconds=gateway.grace)
            assert time.monotonic() < stopped_at + gateway.grace
            assert await asking == QUEUE_OUTCOMES

    run(main())


def test_a_suspended_process_counts_its_grace_from_the_signal(tmp_path):
    """SIGTERM comes while the instance doesn't run the process.

    It is killed after its grace period, with the requests that are still open.
    """

    async def main():
        async with start_gateway(tmp_path) as gateway:
            caller = await connect_when_open(gateway.listen)
            caller.send("/look/1", attempt="first")
            assert (await caller.read()).status == 200
            caller.writer.write(HALF_REQUEST)
            await asyncio.sleep(0.5)
            gateway.send(signal.SIGSTOP)
            stopped_at = time.monotonic()
            gateway.send(signal.SIGTERM)
            await asyncio.sleep(2.0)
            gateway.send(signal.SIGCONT)
            assert (await caller.read()).status == 503
            assert time.monotonic() < stopped_at + gateway.grace
            caller.close()
            await wait_for(lambda: not gateway.is_up)

    run(main())
