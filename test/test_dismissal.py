"""Tests of answers to callers of a process that ends without serving them."""

import itertools
import os
import resource
import socket
import threading
import types

import pytest

from eelgrassrack import dismissal
from eelgrassrack.dismissal import dismiss_callers
from eelgrassrack.gateway.listener import open_listener

from .ports import find_port

CALLERS = 40

# How many descriptors are free when callers are answered.
FREE_DESCRIPTORS = 12
READ_SECONDS = 5.0
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def few_descriptors():
    """Return a function that lets this process open few further descriptors."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)

    def limit():
        used = {int(name) for name in os.listdir("/proc/self/fd")}
        highest = max(used) + 1 + FREE_DESCRIPTORS
        free = [each for each in range(highest) if each not in used]
        resource.setrlimit(
            resource.RLIMIT_NOFILE,
            (free[FREE_DESCRIPTORS - 1] + 1, limits[1]),
        )

    yield limit
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)


def read_answer(connection, answers):
    """Read until the connection ends, close it and keep the status line."""
    try:
        data = connection.recv(4_096)
    except OSError as error:
        data = type(error).__name__.encode()
    connection.close()
    answers.append(data.split(b"\r\n")[0][:12])


def dismiss_all(few_descriptors):
    """Dismiss callers that wait in a port's queue; return the answers and the count."""
    answers = []
    with open_listener(f"127.0.0.1:{find_port()}") as listener:
        callers = [
            socket.create_connection(listener.getsockname(), READ_SECONDS)
            for _ in range(CALLERS)
        ]
        for caller in callers:
            caller.sendall(REQUEST)
        readers = [
            threading.Thread(target=read_answer, args=(caller, answers))
            for caller in callers
        ]
        few_descriptors()
        for reader in readers:
            reader.start()
        count = dismiss_callers(listener)
        for reader in readers:
            reader.join()
    return answers, count


def test_more_callers_than_descriptors_are_answered(few_descriptors):
    """Guards against a reset of callers beyond the process's free descriptors."""
    answers, count = dismiss_all(few_descriptors)
    assert answers == [b"HTTP/1.1 503"] * CALLERS
    assert count == CALLERS


def test_callers_of_a_process_that_is_late_are_answered(few_descriptors, monkeypatch):
    """Guards against a reset of queued callers when a busy machine delays each turn."""
    late = itertools.count(0.0, dismissal.CROWDED_SECONDS + 1.0)
    clock = types.SimpleNamespace(monotonic=lambda: next(late), sleep=lambda _: None)
    monkeypatch.setattr(dismissal, "time", clock)
    answers, count = dismiss_all(few_descriptors)
    assert answers == [b"HTTP/1.1 503"] * CALLERS
    assert count == CALLERS
