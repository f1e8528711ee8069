"""Tests that expired records are removed, by one entry at a time."""

from eelgrassrack.store.leases import Leases
from eelgrassrack.store.objects import Unavailable
from eelgrassrack.store.sweeper import (
    LEASE_SECONDS,
    RECORDS_PER_ROUND,
    RetryLater,
    Sweeper,
)
from eelgrassrack.store.sweeping import PREFIX_DIGITS, Cursor, Swept

from .steps import FaultyStore, run


class Kind:
    """A kind of records that counts how often it is swept."""

    def __init__(self, result=None):
        self.result = result or Swept(looked_at=RECORDS_PER_ROUND, removed=1)
        self.rounds = 0

    async def sweep(self, *, limit):
        self.rounds += 1
        return self.result


class Entry:
    """An entry with a sweeper and a clock."""

    def __init__(self, store, name, kind):
        self.now = 0.0
        clock = self.read_clock
        ids = (f"{name}-{number}" for number in range(99))
        leases = Leases(store=store, clock=clock, make_id=lambda: next(ids))
        self.sweeper = Sweeper(kinds=[kind], leases=leases, holder=name, clock=clock)

    def read_clock(self):
        return self.now

    def sweep(self):
        return run(self.sweeper.sweep())


def test_one_entry_sweeps():
    """Another entry continues after the sweeping one is lost or stops gracefully."""
    store, kind = FaultyStore(), Kind()
    first, second, third = (Entry(store, name, kind) for name in "abc")
    assert first.sweep() == Swept(looked_at=RECORDS_PER_ROUND, removed=1)
    assert second.sweep() == RetryLater(seconds=LEASE_SECONDS)
    second.now += LEASE_SECONDS
    assert isinstance(second.sweep(), Swept)
    first.now += LEASE_SECONDS
    assert first.sweep() == RetryLater(seconds=LEASE_SECONDS)
    assert kind.rounds == 2
    run(second.sweeper.stop())
    assert isinstance(third.sweep(), Swept)


def test_lease_is_kept_at_little_cost():
    store, kind = FaultyStore(), Kind()
    entry = Entry(store, "a", kind)
    for _ in range(int(LEASE_SECONDS)):
        assert isinstance(entry.sweep(), Swept)
        entry.now += 1.0
    assert store.calls["replace"] + store.calls["create"] <= 4


def test_outage_is_waited_out():
    store = FaultyStore()
    entry = Entry(store, "a", Kind(Unavailable(reason="down", retry_after=7.0)))
    assert entry.sweep() == RetryLater(seconds=7.0)
    store.faults.extend(["down"])
    entry.now += LEASE_SECONDS
    assert isinstance(entry.sweep(), RetryLater)


def test_cursor_meets_each_name_once():
    store = FaultyStore()
    names = {f"{number:064x}" for number in range(7)} | {"f" * 64, "8" * 64}
    for name in names:
        run(store.create(kind="k", name=name, body=b""))
    cursor = Cursor(store=store, kind="k")
    batches = [run(cursor.read_names(limit=3)) for _ in range(16**PREFIX_DIGITS + 2)]
    assert max(map(len, batches)) == 3
    assert sorted(name for batch in batches for name in batch) == sorted(names)
    assert run(cursor.read_names(limit=3)) == batches[0]
