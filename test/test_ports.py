"""Ports for daemons of tests are theirs alone."""

import socket
import subprocess
import sys

import pytest

from .ports import find_port

TAKE = """
import socket, sys
with socket.socket() as taker:
    taker.bind((sys.argv[1], int(sys.argv[2])))
"""


@pytest.mark.parametrize("address", ["127.0.0.1", "127.0.0.9", "0.0.0.0"])
def test_another_process_cant_take_a_port_before_its_daemon_listens(address):
    """Two test runs draw the same port, and the second daemon can't listen."""
    port = find_port()
    take = [sys.executable, "-c", TAKE, address, str(port)]
    taken = subprocess.run(take, capture_output=True, check=False)
    assert b"Address already in use" in taken.stderr


@pytest.mark.parametrize("address", ["127.0.0.1", "127.0.0.9"])
def test_a_daemon_can_listen_on_its_port_again_and_again(address):
    port = find_port()
    for _ in range(2):
        with (
            socket.create_server((address, port)) as server,
            socket.create_connection((address, port)),
        ):
            server.accept()[0].close()
