"""Tests that ports for daemons are reserved but usable."""

import socket
import subprocess
import sys

import pytest

from .ports import find_port

BIND_PORT = """
import socket, sys
with socket.socket() as other:
    other.bind((sys.argv[1], int(sys.argv[2])))
"""


@pytest.mark.parametrize("address", ["127.0.0.1", "127.0.0.9", "0.0.0.0"])
def test_another_process_cant_take_a_port_before_its_daemon_listens(address):
    """Two test runs pick the same port, and the second daemon can't listen."""
    port = find_port()
    bind = [sys.executable, "-c", BIND_PORT, address, str(port)]
    result = subprocess.run(bind, capture_output=True, check=False)
    assert b"Address already in use" in result.stderr


@pytest.mark.parametrize("address", ["127.0.0.1", "127.0.0.9"])
def test_a_daemon_can_listen_on_its_port_repeatedly(address):
    port = find_port()
    for _ in range(2):
        with (
            socket.create_server((address, port)) as server,
            socket.create_connection((address, port)),
        ):
            server.accept()[0].close()
