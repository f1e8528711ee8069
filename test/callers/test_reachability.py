"""Tests of telling callers that are gone from those that read slowly."""

import socket
import time

import pytest

from eelgrassrack.callers.reachability import ACK_TIMEOUT_MS, TCP_INFO, is_unreachable

PAUSE_SECONDS = 3.0
FILLER = b"x" * 65_536


def fill(sock):
    """Send until the other side's window and this side's buffer are full."""
    sock.setblocking(False)
    try:
        while True:
            sock.send(FILLER)
    except BlockingIOError:
        return


def test_a_caller_that_reads_nothing_for_seconds_can_be_reached():
    """Guards against answers that are reset because their callers pause."""
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as caller,
        server.accept()[0] as accepted,
    ):
        fill(accepted)
        time.sleep(PAUSE_SECONDS)
        assert not is_unreachable(accepted)
        assert caller.recv(1) == b"x"


class FakeSocket:
    """A socket whose kernel reports given figures."""

    def __init__(self, *, retransmits=0, probes=0, last_ack_ms=0):
        head = [1, 0, retransmits, probes, 0, 0, 0, 0]
        self._data = TCP_INFO.pack(*head, *[0] * 12, last_ack_ms)

    def getsockopt(self, level, option, size):
        return self._data[:size]


@pytest.mark.parametrize("field", ["retransmits", "probes"])
def test_a_caller_whose_machine_acknowledges_nothing_is_gone(field):
    """Guards against work for callers that have lost power."""
    fields = {field: 3}
    assert is_unreachable(FakeSocket(last_ack_ms=ACK_TIMEOUT_MS, **fields))
    assert not is_unreachable(FakeSocket(last_ack_ms=ACK_TIMEOUT_MS - 1, **fields))
    assert not is_unreachable(FakeSocket(last_ack_ms=60_000))
