"""What callers meet while a gateway process starts."""

import asyncio
import contextlib
import signal
import subprocess
import sys
import time

import pytest

from bench.gatewaysoak.gateways import GatewayProcess
from eelgrassrack.gateway.listener import open_early, open_listener
from eelgrassrack.standins.directengine import Echo
from test.gateway.world import connect, make_world, run
from test.ports import find_port

pytestmark = pytest.mark.processes


async def connect_soon(address):
    """Connect as soon as anything listens."""
    while True:
        try:
            return await connect(address)
        except ConnectionRefusedError:
            await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def start_gate(folder):
    """Start a gateway process before an endpoint that echoes attempts' ids."""
    async with make_world() as world:
        await world.add_engine("e1", Echo())
        gate = GatewayProcess(
            number=1,
            news_port=find_port(),
            store=world.store.url.removeprefix("http://"),
            folder=str(folder),
        )
        gate.start()
        try:
            yield gate
        finally:
            gate.close()


def test_a_caller_waits_while_the_process_loads(tmp_path):
    """All gateways were killed and come back at the same moment.

    A caller whose connection broke tries once more while the libraries are
    still being loaded.  Refused by the kernel it would give up; it waits for the
    fraction of a second and is served.
    """

    async def main():
        async with start_gate(tmp_path) as gate:
            caller = await connect_soon(gate.listen)
            assert "started" not in (tmp_path / "entry-1.log").read_text()
            caller.send("/look/1", attempt="early")
            got = await caller.read()
            assert (got.status, got.body) == (200, b"early")

    run(main())


def test_changed_settings_dont_end_a_process_that_loads(tmp_path):
    """Operators change settings while an instance comes back from a crash.

    The signal arrives before the process has a handler for it.  Ended by it, the
    process would cut the callers that wait, and start all over.
    """

    async def main():
        async with start_gate(tmp_path) as gate:
            caller = await connect_soon(gate.listen)
            gate.send(signal.SIGHUP)
            caller.send("/look/1", attempt="early")
            assert (await caller.read()).status == 200
            assert gate.process.poll() is None

    run(main())


def test_a_stop_while_the_process_loads_cuts_no_caller_that_waits(tmp_path):
    """All gateways are stopped again while they come back from a stop.

    The signal arrives before the process has a handler for it.  Ended by it, the
    process would cut the callers that wait, and these couldn't know whether
    their requests ran.
    """

    async def main():
        async with start_gate(tmp_path) as gate:
            caller = await connect_soon(gate.listen)
            caller.send("/look/1", attempt="early")
            told_at = time.monotonic()
            gate.send(signal.SIGTERM)
            assert (await caller.read()).is_whole
            while gate.is_up:
                await asyncio.sleep(0.02)
            assert time.monotonic() < told_at + gate.grace

    run(main())


def test_the_socket_is_open_before_libraries_are_loaded(tmp_path):
    """A heavy import ahead of the socket would undo that silently."""
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
def test_faulty_settings_are_left_to_the_checked_start(tmp_path, text):
    settings = tmp_path / "gateway.ini"
    settings.write_text(text)
    assert open_early(str(settings)) is None
    assert open_early(str(tmp_path / "missing.ini")) is None


def test_a_taken_address_is_left_to_the_checked_start(tmp_path):
    settings = tmp_path / "gateway.ini"
    with open_listener(f"127.0.0.1:{find_port()}") as taken:
        host, port = taken.getsockname()
        settings.write_text(f"[gateway]\nlisten = {host}:{port}\n")
        assert open_early(str(settings)) is None
