"""Tests that only one holder at a time may send orders to an engine."""

import itertools

import pytest

from eelgrassrack.store.leases import (
    Admitted,
    Fence,
    Fenced,
    FenceUnknown,
    HeldLease,
    Leases,
    LeaseTaken,
)
from eelgrassrack.store.objects import Unavailable

from .steps import FaultyStore, run

DURATION = 10.0


class Holder:
    """A process with a monotonic clock of its own."""

    ids = itertools.count()

    def __init__(self, store, name, now):
        self.name = name
        self.now = now
        self.leases = Leases(
            store=store,
            clock=lambda: self.now,
            make_id=lambda: f"w{next(self.ids)}",
        )

    def acquire(self):
        return run(
            self.leases.acquire(name="engine-1", holder=self.name, duration=DURATION)
        )

    def renew(self, lease):
        return run(self.leases.renew(lease=lease))


@pytest.fixture
def store():
    return FaultyStore()


@pytest.fixture
def first(store):
    return Holder(store, "first", 1000.0)


@pytest.fixture
def second(store):
    return Holder(store, "second", 5.0)


def test_lapse_is_seen_by_own_clock(first, second):
    """A holder is lost; the clocks of different instances are unrelated."""
    first.acquire()
    assert second.acquire() == LeaseTaken(holder="first", wait=DURATION)
    second.now += DURATION - 1
    assert second.acquire() == LeaseTaken(holder="first", wait=1.0)
    second.now += 1
    assert isinstance(second.acquire(), HeldLease)


def test_renewal_restarts_the_wait(first, second):
    lease = first.acquire()
    second.acquire()
    second.now += DURATION
    lease = first.renew(lease)
    assert second.acquire() == LeaseTaken(holder="first", wait=DURATION)
    first.now += DURATION
    assert not lease.is_valid(now=first.now)


def test_paused_holder_is_fenced(first, second):
    """A holder is paused past the end of its lease, resumes and sends its order.

    It notices by its own clock.  If it is paused again between that check and the
    order, the engine's agent already knows the successor's higher number.
    """
    old = first.acquire()
    second.acquire()
    second.now += DURATION
    new = second.acquire()
    fence = Fence()
    fence.learn(old.fence)
    assert fence.admit(new.fence) == Admitted()
    assert fence.admit(old.fence) == Fenced(highest=new.fence)
    assert fence.admit(new.fence) == Admitted()
    first.now += DURATION
    assert not old.is_valid(now=first.now)
    assert first.renew(old) == LeaseTaken(holder="second", wait=DURATION)


def test_restarted_agent_learns_first():
    """An agent is restarted, and the first order comes from a paused holder."""
    fence = Fence()
    assert fence.admit(7) == FenceUnknown()
    fence.learn(9)
    fence.learn(8)
    assert fence.admit(7) == Fenced(highest=9)


def test_lost_answers(store, first):
    """A lease is written, its answer lost, and the store is down for a while.

    The holder must neither use a lease that isn't confirmed, nor lock itself out of
    its own lease.
    """
    store.faults.extend(["", "lost"])
    lease = first.acquire()
    assert isinstance(lease, HeldLease)
    store.faults.extend(["", "lost", *["down"] * 9])
    assert isinstance(first.renew(lease), Unavailable)
    store.faults.clear()
    first.now += 5.0
    renewed = first.renew(lease)
    assert renewed.fence > lease.fence
    assert renewed.until > lease.until


def test_duration_counts_from_before_the_write(store, first):
    """The write is slow, and others count from the moment it took effect."""
    create = store.store.create

    class Slow:
        async def create(self, **arguments):
            first.now += 4.0
            return await create(**arguments)

        async def read(self, **arguments):
            return await store.store.read(**arguments)

    first.leases = Leases(store=Slow(), clock=lambda: first.now, make_id=lambda: "w")
    assert first.acquire().until < 1000.0 + DURATION


def test_release_keeps_numbers_growing(first, second):
    """The next holder's orders must not look outdated."""
    old = first.acquire()
    run(first.leases.release(lease=old))
    new = second.acquire()
    assert new.fence > old.fence
    run(first.leases.release(lease=old))
    assert first.acquire() == LeaseTaken(holder="second", wait=DURATION)
