"""Tests that compacting old ledgers keeps their totals."""

import pytest

from eelgrassrack.invariants import Invariants
from eelgrassrack.mailbox.messages import Bill
from eelgrassrack.store.compaction import (
    IDLE_SECONDS,
    RETENTION_SECONDS,
    LedgerCompactor,
)
from eelgrassrack.store.ledger import Ledger, LedgerSealed
from eelgrassrack.store.objects import Unavailable
from eelgrassrack.store.pages import PAGE_KIND
from eelgrassrack.store.recovery import RecoveredBills, recover_bills, seal_ledger
from eelgrassrack.store.sweeping import Swept
from eelgrassrack.store.totals import read_totals

from .steps import FaultyStore, run

ATTEMPTS = ("a1", "a2", "a3")


def make_bill(attempt, step=0):
    return Bill(
        attempt=attempt,
        request="r",
        step=step,
        organisation="cimq",
        version="review/1",
        completion_tokens=5,
    )


async def pause():
    """Return at once."""


class Kit:
    """A ledger with three attempts on three pages, and a clock that the test sets."""

    def __init__(self):
        self.now = 1e9
        self.store = FaultyStore()
        self.compactor = LedgerCompactor(
            store=self.store, clock=self.read_clock, pause=pause
        )
        self.ledger = self.make_ledger("old")
        for attempt in ATTEMPTS:
            bill = make_bill(attempt, step=int(attempt == "a3"))
            self.ledger.add(bill=bill, into="old")
            run(self.ledger.flush())

    def read_clock(self):
        return self.now

    def make_ledger(self, incarnation):
        return Ledger(
            store=self.store,
            incarnation=incarnation,
            invariants=Invariants(strict=True),
            price=lambda bill: bill.completion_tokens,
            clock=self.read_clock,
        )

    def sweep(self, later=0.0):
        self.now += later
        return run(self.compactor.sweep(limit=10))

    def compact(self):
        self.sweep(IDLE_SECONDS + 1)
        return self.sweep(RETENTION_SECONDS + 1)

    def read_bills(self):
        invariants = Invariants(strict=True)
        return run(read_totals(store=self.store, invariants=invariants))

    def count_pages(self):
        return len(run(self.store.find_names(kind=PAGE_KIND, prefix="")).names)

    def recover(self, *attempts, holder="old"):
        successor = self.make_ledger("successor")
        return run(
            recover_bills(
                store=self.store,
                ledger=successor,
                into="successor",
                holders=(holder,),
                bills=[make_bill(attempt) for attempt in attempts],
                clock=self.read_clock,
            )
        )


@pytest.fixture
def kit():
    return Kit()


def test_compaction_keeps_the_totals(kit):
    before = kit.read_bills()
    assert kit.sweep() == Swept(looked_at=1, removed=0)
    assert kit.compact() == Swept(looked_at=1, removed=1)
    assert kit.count_pages() == 0
    after = kit.read_bills()
    assert after.organisations == before.organisations
    (bills,) = after.organisations
    assert (bills.requests, bills.attempts, bills.repeated) == (1, 2, 1)
    assert kit.sweep() == Swept(looked_at=1, removed=0)


def test_ledger_in_use_is_left_alone(kit):
    assert kit.sweep(IDLE_SECONDS - 1) == Swept(looked_at=1, removed=0)
    kit.ledger.add(bill=make_bill("a4"), into="old")
    run(kit.ledger.flush())
    assert not kit.ledger.is_sealed


def test_paused_entry_finds_its_ledger_sealed(kit):
    """An entry is paused for a day with a bill that its agent still keeps."""
    kit.ledger.add(bill=make_bill("a4"), into="old")
    kit.sweep(IDLE_SECONDS + 1)
    assert run(kit.ledger.flush()) == LedgerSealed(dropped=("a4",))
    assert kit.recover("a3", "a4") == RecoveredBills(billed=("a3",), added=("a4",))


def test_bill_after_compaction_is_refused(kit):
    """A bill arrives so late that nobody can tell whether it was billed."""
    kit.compact()
    assert kit.recover("a1", "a5") == RecoveredBills(refused=("a1", "a5"))


def test_empty_ledger_is_no_reason_to_refuse(kit):
    """A ledger was sealed before its first flush, and compacted much later."""
    run(seal_ledger(store=kit.store, incarnation="empty", clock=kit.read_clock))
    kit.compact()
    assert kit.recover("a5", holder="empty") == RecoveredBills(added=("a5",))


@pytest.mark.parametrize("calls", range(1, 14))
@pytest.mark.parametrize("fault", ["down", "lost"])
def test_outage_while_compacting(kit, calls, fault):
    """The store fails during compaction; the totals must be right at every moment."""
    before = kit.read_bills().organisations
    kit.sweep(IDLE_SECONDS + 1)
    kit.store.faults.extend([""] * (calls - 1) + [fault] + ["down"] * 9)
    assert isinstance(kit.sweep(RETENTION_SECONDS + 1), Unavailable)
    kit.store.faults.clear()
    assert kit.read_bills().organisations == before
    kit.sweep()
    kit.sweep()
    assert kit.read_bills().organisations == before
    assert kit.count_pages() == 0
