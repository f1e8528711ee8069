"""Tests that a request with a body keeps its method on the way to an endpoint."""

import pytest

from ..promises.world import REGISTRY, World
from .leaving import LeavingCaller, find_bodies, make_body, make_request, settle

BODY = make_body(600)
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


@pytest.fixture
def world(monkeypatch):
    world = World(monkeypatch)
    try:
        world.start(plans=[REGISTRY])
        yield world
    finally:
        world.close()


def send(world, method, *, status):
    """Send a request with a body and wait for its answer."""
    caller = LeavingCaller(world.entry().url)
    caller.send(make_request(BODY, key="key", method=method, path="/items"))
    world.wait(lambda: caller.has_answers(status=status))
    settle(world)
    caller.close()


@pytest.mark.parametrize("method", METHODS)
def test_a_request_with_a_body_keeps_its_method(world, method):
    """Guards against requests that are refused, or run by another method."""
    send(world, method, status=200)
    (execution,) = world.standin("registry").executions
    assert (execution.method, find_bodies(world, "key")) == (method, [BODY])


def test_a_head_request_with_a_body_is_refused(world):
    """Guards against a PUT that nobody sent: curl makes it of such a request."""
    send(world, "HEAD", status=400)
    assert not world.standin("registry").executions
