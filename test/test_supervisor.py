"""Tests of the supervisor."""

import asyncio

import pytest

from eelgrassrack import supervisor as module
from eelgrassrack.supervisor import Supervisor, SupervisorError


def test_a_failed_task_runs_again():
    """A task fails once; the supervisor restarts it, and it does its work."""
    runs = []

    async def job():
        runs.append(1)
        if len(runs) == 1:
            raise RuntimeError("once")

    async def scenario():
        supervisor = Supervisor(name="top")
        supervisor.start(name="job", job=job)
        while len(runs) < 2:
            await asyncio.sleep(0.01)
        await supervisor.stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))
    assert len(runs) == 2


def test_a_task_that_always_fails_ends_the_tree(monkeypatch):
    """A task fails at each start.

    The process must end with an error instead of serving with a component missing.
    """
    monkeypatch.setattr(module, "MAX_DELAY_SECONDS", 0.01)
    monkeypatch.setattr(module, "FIRST_DELAY_SECONDS", 0.001)

    async def job():
        raise RuntimeError("always")

    async def scenario():
        child = Supervisor(name="child")
        top = Supervisor(name="top")
        child.start(name="job", job=job)
        await child.wait_failed()
        await top.stop()

    with pytest.raises(SupervisorError):
        asyncio.run(asyncio.wait_for(scenario(), 20))


def test_a_task_that_always_fails_runs_again_if_its_supervisor_never_gives_up(
    monkeypatch,
):
    """A gateway would serve on with a task missing, and nobody would notice."""
    monkeypatch.setattr(module, "MAX_DELAY_SECONDS", 0.001)
    monkeypatch.setattr(module, "FIRST_DELAY_SECONDS", 0.001)
    runs = []

    async def job():
        runs.append(1)
        raise RuntimeError("always")

    async def scenario():
        supervisor = Supervisor(name="top", gives_up=False)
        supervisor.start(name="job", job=job)
        while len(runs) < 3 * module.MAX_FAILURES:
            await asyncio.sleep(0.01)
        await supervisor.stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))
