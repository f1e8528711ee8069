"""Stop signals and failing starts of a gateway process, with callers that wait.

Whoever has connected gets an answer, whatever has arrived of its request.
"""

import asyncio
import contextlib
import signal
import socket
import subprocess
import sys
import time

import pytest

from bench.gatewaysoak.gateways import GatewayProcess
from eelgrassrack.gateway.listener import open_listener
from eelgrassrack.standins.directengine import Echo
from test.gateway.test_stop_orders import (
    HALF,
    connect_each,
    find_unanswered,
    read_outcomes,
    send_parts,
)
from test.gateway.world import connect, make_world, run
from test.ports import find_port

from .test_gateway_start import connect_when_open

pytestmark = pytest.mark.processes

# How long a process runs nothing.
SUSPENDED_SECONDS = 2.0


@contextlib.asynccontextmanager
async def make_process(folder):
    """Yield a gateway process that isn't started yet."""
    async with make_world() as world:
        await world.add_engine("e1", Echo())
        gateway = GatewayProcess(
            number=1,
            news_port=find_port(),
            store=world.store.url.removeprefix("http://"),
            folder=str(folder),
        )
        try:
            yield gateway
        finally:
            if gateway.process is not None:
                gateway.close()


async def connect_first(gateway):
    """Return a caller for each part of a request, as soon as the port is open."""
    (await connect_when_open(gateway.listen)).close()
    return await connect_each(gateway.listen)


async def kill_at(gateway, moment):
    """Kill a process that is still up at a monotonic time, as the platform does."""
    while gateway.is_up and time.monotonic() < moment:
        await asyncio.sleep(0.01)
    gateway.send(signal.SIGKILL)


async def read_until_killed(gateway, callers, signalled_at):
    """Return the callers' outcomes; the process is killed when its grace is over."""
    killing = asyncio.ensure_future(kill_at(gateway, signalled_at + gateway.grace))
    outcomes = await read_outcomes(callers)
    await killing
    return outcomes


async def suspend_and_stop(gateway):
    """Send SIGTERM to a suspended process, and resume it later; return when."""
    gateway.send(signal.SIGSTOP)
    await asyncio.sleep(0.02)
    signalled_at = time.monotonic()
    gateway.send(signal.SIGTERM)
    await asyncio.sleep(SUSPENDED_SECONDS)
    gateway.send(signal.SIGCONT)
    return signalled_at


def test_a_gateway_that_is_suspended_at_its_stop_signal_answers_all(tmp_path):
    """A busy instance runs nothing of a gateway for a while when SIGTERM comes.

    If its grace counted from when it goes on, SIGKILL would come before the end of
    its stop.
    """

    async def main():
        async with make_process(tmp_path) as gateway:
            gateway.start()
            while not gateway.has_started:
                await asyncio.sleep(0.02)
            callers = await connect_each(gateway.listen)
            halfway = await connect(gateway.listen)
            halfway.writer.write(HALF)
            await asyncio.sleep(0.1)
            gateway.send(signal.SIGSTOP)
            send_parts(callers)
            callers["halfway"] = halfway
            signalled_at = await suspend_and_stop(gateway)
            outcomes = await read_until_killed(gateway, callers, signalled_at)
            assert find_unanswered(outcomes) == {}

    run(main())


def test_a_gateway_that_is_suspended_while_it_loads_answers_all(tmp_path):
    """SIGTERM comes to a process that is loading, and is suspended then."""

    async def main():
        async with make_process(tmp_path) as gateway:
            gateway.start()
            callers = await connect_first(gateway)
            send_parts(callers)
            signalled_at = await suspend_and_stop(gateway)
            outcomes = await read_until_killed(gateway, callers, signalled_at)
            assert find_unanswered(outcomes) == {}

    run(main())


# Runs a gateway whose import of a module takes long.  `how` is the language of the
# code that runs meanwhile: Python handles signals only between two of its own steps.
SLOW_IMPORT = """\
import sys, time
how, seconds, path = sys.argv[1], float(sys.argv[2]), sys.argv[3]

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "eelgrassrack.gateway.daemon":
            sys.meta_path.remove(self)
            print("holding", flush=True)
            ends = time.monotonic() + seconds
            if how == "python":
                while time.monotonic() < ends:
                    pass
                return
            began = time.monotonic()
            sum(range(5_000_000))
            steps = 5_000_000 / (time.monotonic() - began)
            sum(range(int(steps * (ends - time.monotonic()))))

sys.meta_path.insert(0, Finder())
from eelgrassrack.gateway.__main__ import main
sys.exit(main([path]))
"""


@pytest.mark.parametrize("how", ["python", "c"])
def test_a_stop_signal_in_the_midst_of_an_import_counts_from_when_it_came(
    tmp_path, how
):
    """SIGTERM comes while a module is imported, which takes long."""

    async def main():
        async with make_process(tmp_path) as gateway:
            log = tmp_path / "import.log"
            with log.open("wb") as file:
                gateway.process = subprocess.Popen(
                    [
                        *(sys.executable, "-c", SLOW_IMPORT, how),
                        *(str(SUSPENDED_SECONDS), str(tmp_path / "entry-1.ini")),
                    ],
                    stdout=file,
                    stderr=file,
                )
            callers = await connect_first(gateway)
            send_parts(callers)
            while "holding" not in log.read_text():
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            signalled_at = time.monotonic()
            gateway.send(signal.SIGTERM)
            outcomes = await read_until_killed(gateway, callers, signalled_at)
            assert find_unanswered(outcomes) == {}

    run(main())


@contextlib.contextmanager
def spoil_start(path, what):
    """Make a start with the settings at `path` fail after its port is open."""
    text = path.read_text()
    values = dict(line.split(" = ") for line in text.splitlines() if " = " in line)
    if what == "grace_seconds":
        changed = text.replace(f"{what} = {values[what]}", f"{what} = soon")
        path.write_text(changed)
        yield
    elif what == "news_port":
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((values["address"], int(values[what])))
            yield
    else:
        metrics = f"{values['address']}:{values['metrics_port']}"
        address = values[what] if what == "readiness" else metrics
        with open_listener(address):
            yield


@pytest.mark.parametrize(
    "what", ["grace_seconds", "news_port", "readiness", "metrics_port"]
)
def test_a_start_that_fails_answers_callers_that_have_connected(tmp_path, what):
    """The port is open early, and the start fails for a setting that is wrong.

    Nothing of what waits in the port's queue runs, and its callers must know it.
    """

    async def main():
        async with make_process(tmp_path) as gateway:
            with spoil_start(tmp_path / "entry-1.ini", what):
                gateway.start()
                callers = await connect_first(gateway)
                send_parts(callers)
                outcomes = await read_outcomes(callers)
                assert gateway.process.wait() != 0
            assert find_unanswered(outcomes) == {}

    run(main())


SIGNAL_EVERY_SECONDS = 0.005


@pytest.mark.parametrize("is_started", [True, False])
def test_further_signals_cut_nobody(tmp_path, is_started):
    """An operator is impatient: signals keep coming until the process is gone."""

    async def send_signals(gateway):
        while gateway.is_up:
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                gateway.send(number)
            await asyncio.sleep(SIGNAL_EVERY_SECONDS)

    async def main():
        async with make_process(tmp_path) as gateway:
            gateway.start()
            while is_started and not gateway.has_started:
                await asyncio.sleep(0.02)
            callers = await connect_first(gateway)
            send_parts(callers)
            sending = asyncio.ensure_future(send_signals(gateway))
            outcomes = await read_outcomes(callers)
            await sending
            assert find_unanswered(outcomes) == {}

    run(main())


def test_changed_settings_dont_end_a_process_whose_start_fails(tmp_path):
    """An operator sends SIGHUP while callers are told that the start has failed.

    The default action would end the process and cut those that aren't told yet.
    """

    async def send_signals(gateway):
        while gateway.is_up:
            gateway.send(signal.SIGHUP)
            await asyncio.sleep(SIGNAL_EVERY_SECONDS)

    async def main():
        async with make_process(tmp_path) as gateway:
            with spoil_start(tmp_path / "entry-1.ini", "metrics_port"):
                gateway.start()
                callers = await connect_first(gateway)
                send_parts(callers)
                sending = asyncio.ensure_future(send_signals(gateway))
                outcomes = await read_outcomes(callers)
                await sending
            assert find_unanswered(outcomes) == {}
            assert gateway.process.returncode == 1

    run(main())
