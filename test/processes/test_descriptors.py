"""Stops of processes that have fewer descriptors than callers."""

import asyncio
import collections
import configparser
import resource
import signal
import subprocess
import sys

import pytest

from test.gateway.test_stop_orders import HALF, read_outcome
from test.gateway.world import connect, run, wait_for

from .fleet import Fleet
from .test_gateway_start import connect_when_open
from .test_signal_orders import make_process

pytestmark = pytest.mark.processes

CALLERS = 60

# Some of them are the process's own: its event loop, ports and connections.
DESCRIPTORS = 40
SETTLE_SECONDS = 0.3
HALF_CHAT = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: 9\r\n\r\nab"
)


def limit_descriptors(process):
    """Let a process open few descriptors more than it has."""
    _, hard = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))


async def stop_crowded(process, address, sent):
    """Stop a process with callers that have sent something; count their outcomes."""
    limit_descriptors(process)
    callers = [await connect(address) for _ in range(CALLERS)]
    for caller in callers:
        caller.writer.write(sent)
    await asyncio.sleep(SETTLE_SECONDS)
    process.send_signal(signal.SIGTERM)

    async def read(caller):
        outcome = await read_outcome(caller)
        caller.close()
        return outcome

    return collections.Counter(await asyncio.gather(*map(read, callers)))


@pytest.mark.parametrize("sent", [b"", HALF])
def test_a_gateway_that_stops_answers_callers_it_couldnt_accept(tmp_path, sent):
    """Guards against a reset of callers that wait for a descriptor in the queue."""

    async def main():
        async with make_process(tmp_path) as gateway:
            gateway.start()
            await wait_for(lambda: gateway.has_started)
            outcomes = await stop_crowded(gateway.process, gateway.listen, sent)
            assert outcomes.keys() <= {408, 503}

    run(main())


@pytest.mark.parametrize("sent", [b"", HALF_CHAT])
def test_an_entry_that_stops_answers_callers_it_couldnt_accept(tmp_path, sent):
    """Guards against a reset of callers that wait for a descriptor in the queue."""
    fleet = Fleet(tmp_path)
    try:
        fleet.start_entry("e1", grace=2)
        fleet.wait_ready(revision=0)
        outcomes = run(
            stop_crowded(
                fleet.entries["e1"].popen,
                fleet.entry_urls["e1"].removeprefix("http://"),
                sent,
            )
        )
    finally:
        fleet.close()
    assert outcomes.keys() <= {408, 503}


def find_readiness(folder):
    """Return the address at which the balancer checks the gateway."""
    settings = configparser.ConfigParser(interpolation=None)
    settings.read(folder / "entry-1.ini")
    return settings.get("gateway", "readiness")


def test_a_gateway_without_descriptors_serves_though_nobody_reads_its_errors(tmp_path):
    """Guards against a process that stops in the midst of writing an error."""

    async def main():
        async with make_process(tmp_path) as gateway:
            command = [sys.executable, "-m", "eelgrassrack.gateway"]
            with (tmp_path / "entry-1.log").open("wb") as log:
                gateway.process = subprocess.Popen(
                    [*command, str(tmp_path / "entry-1.ini")],
                    stdout=log,
                    stderr=subprocess.PIPE,
                )
            caller = await connect_when_open(gateway.listen)
            caller.send("/look/1", attempt="first")
            assert await read_outcome(caller) == 200
            limit_descriptors(gateway.process)
            callers = [await connect(gateway.listen) for _ in range(CALLERS)]
            callers.append(await connect(find_readiness(tmp_path)))
            await asyncio.sleep(SETTLE_SECONDS)
            caller.send("/look/1", attempt="second")
            assert await read_outcome(caller) in {200, 503}
            for one in (caller, *callers):
                one.close()
            gateway.process.kill()
            gateway.process.communicate()

    run(main())
