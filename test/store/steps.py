"""Helpers that run coroutines step by step, so that a test decides the interleaving."""

import collections
import types

from eelgrassrack.standins.objects import ObjectTable, TableStore
from eelgrassrack.store.objects import Unavailable, Written


def make_store():
    """Return an empty object store."""
    return TableStore(table=ObjectTable(clock=lambda: 0.0), caller="test")


class FaultyStore:
    """An object store that applies the queued `faults` to its next calls.

    With "down" a call has no effect.  With "lost" it takes effect, but its answer is
    lost.  Any other text means no fault.
    """

    def __init__(self):
        self.store = make_store()
        self.faults = collections.deque()
        self.calls = collections.Counter()

    def __getattr__(self, call):
        async def run(**arguments):
            self.calls[call] += 1
            fault = self.faults.popleft() if self.faults else ""
            if fault == "down":
                return Unavailable(reason="down")
            result = await getattr(self.store, call)(**arguments)
            if fault == "lost":
                return Unavailable(reason="lost", maybe_written=True)
            return result

        return run


@types.coroutine
def pause():
    """Return control to the test, which resumes the call with a fault or None."""
    return (yield)


class SteppedStore:
    """An object store that pauses before and after each call takes effect.

    The test resumes a pause with a fault or None.  "down" before the call prevents
    its effect; "lost" after the call loses its answer.
    """

    def __init__(self, store):
        self.store = store

    def __getattr__(self, call):
        async def run(**arguments):
            if await pause() == "down":
                return Unavailable(reason="down")
            result = await getattr(self.store, call)(**arguments)
            if await pause() == "lost":
                written = isinstance(result, Written)
                return Unavailable(reason="lost", maybe_written=written)
            return result

        return run


class Task:
    """A coroutine that runs step by step, and its result once it has ended."""

    def __init__(self, coroutine):
        self.coroutine = coroutine
        self.ended = False
        self.result = None

    def step(self, fault=None):
        """Run to the next pause."""
        try:
            self.coroutine.send(fault)
        except StopIteration as end:
            self.ended = True
            self.result = end.value

    def kill(self):
        """Abort the coroutine at its current pause, as kill -9 would."""
        self.coroutine.close()


def run(coroutine):
    """Run a coroutine to its end without faults and return its result."""
    task = Task(coroutine)
    while not task.ended:
        task.step()
    return task.result


class Scheduler:
    """Runs tasks concurrently, one step of one task at a time."""

    def __init__(self):
        self.running = []

    def start(self, coroutine):
        """Start a task and run it to its first pause."""
        task = Task(coroutine)
        task.step()
        if not task.ended:
            self.running.append(task)
        return task

    def step(self, number, fault):
        """Run one of the running tasks to its next pause."""
        if not self.running:
            return
        task = self.running[number % len(self.running)]
        task.step(fault)
        if task.ended:
            self.running.remove(task)

    def advance(self, task, count):
        """Run a task for `count` steps, or to its end."""
        for _ in range(count):
            if not task.ended:
                self.step(self.running.index(task), None)

    def kill(self, number):
        """Abort one of the running tasks."""
        if self.running:
            self.running.pop(number % len(self.running)).kill()

    def finish(self):
        """Run all remaining tasks to their end."""
        while self.running:
            self.step(0, None)
