"""Signals to an entry process with callers that wait."""

import signal

import pytest

from test.gateway.test_stop_orders import (
    connect_each,
    find_unanswered,
    read_outcomes,
    send_parts,
)
from test.gateway.world import run

from .fleet import Fleet

pytestmark = pytest.mark.processes

# The callers' request is for a path that an entry doesn't have.
NOT_FOUND = 404


@pytest.fixture
def sighup_by_default():
    """Let child processes start with SIGHUP's default action, also under nohup."""
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, before)


def test_a_closed_terminal_cuts_no_caller(tmp_path, sighup_by_default):
    """Guards against SIGHUP's default action, which resets all connections."""
    fleet = Fleet(tmp_path)
    try:
        fleet.start_entry("e1", grace=2)
        fleet.wait_ready(revision=0)

        async def main():
            address = fleet.entry_urls["e1"].removeprefix("http://")
            callers = await connect_each(address)
            send_parts(callers)
            fleet.entries["e1"].send(signal.SIGHUP)
            return await read_outcomes(callers)

        outcomes = find_unanswered(run(main()))
        assert set(outcomes.values()) <= {NOT_FOUND}
        assert fleet.entries["e1"].wait()[0] == 0
    finally:
        fleet.close()
