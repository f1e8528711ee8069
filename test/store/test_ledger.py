"""Tests that each attempt is billed exactly once in the ledgers."""

import itertools

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from eelgrassrack.invariants import Invariants
from eelgrassrack.mailbox.messages import Bill
from eelgrassrack.store import ledger as ledger_module
from eelgrassrack.store.ledger import AddResult, Flushed, Ledger, LedgerSealed
from eelgrassrack.store.ledgers import (
    MAX_LEDGER_SECONDS,
    OLD_LEDGER_SECONDS,
    Ledgers,
)
from eelgrassrack.store.objects import MAX_BODY_BYTES, Unavailable
from eelgrassrack.store.pages import PAGE_KIND
from eelgrassrack.store.recovery import RecoveredBills, recover_bills, seal_ledger
from eelgrassrack.store.sealed import SealedLedgers
from eelgrassrack.store.totals import read_totals

from .steps import FaultyStore, Scheduler, SteppedStore, make_store, run

DOWN = ["down"] * 6


def make_bill(attempt, **values):
    return Bill(
        **{
            "attempt": attempt,
            "request": f"r-{attempt}",
            "organisation": "keelwater",
            "version": "assess/1",
            "prompt_tokens": 7,
            "completion_tokens": 3,
            **values,
        }
    )


def make_ledger(store, incarnation):
    return Ledger(
        store=store,
        incarnation=incarnation,
        invariants=Invariants(strict=True),
        price=lambda bill: 100 * bill.completion_tokens,
    )


def fill(ledger, *attempts):
    for attempt in attempts:
        result = ledger.add(bill=make_bill(attempt), into=ledger.incarnation)
        assert result is AddResult.ADDED


def recover(store, ledger, *attempts, holders):
    return run(
        recover_bills(
            store=store,
            ledger=ledger,
            into=ledger.incarnation,
            holders=holders,
            bills=[make_bill(attempt) for attempt in attempts],
        )
    )


def read_bills(store):
    return run(read_totals(store=store, invariants=Invariants(strict=True)))


@pytest.fixture
def store():
    return FaultyStore()


@pytest.fixture
def first(store):
    return make_ledger(store, "first")


@pytest.fixture
def second(store):
    return make_ledger(store, "second")


def test_flush_bills_once(store, first):
    fill(first, "a1", "a2")
    assert first.add(bill=make_bill("a1"), into="first") is AddResult.WAITING
    assert run(first.flush()) == Flushed(attempts=("a1", "a2"))
    assert first.add(bill=make_bill("a1"), into="first") is AddResult.FLUSHED
    assert run(first.flush()) == Flushed(attempts=())
    (bills,) = read_bills(store).organisations
    assert (bills.requests, bills.attempts, bills.money) == (2, 2, 600)
    assert (bills.prompt_tokens, bills.completion_tokens) == (14, 6)
    assert store.calls["create"] == 2


def test_bill_of_other_ledger_is_not_taken(first):
    """A bill arrives for a ledger that this entry had before it was restarted.

    Its agent names the old ledger to the entry that recovers the bill.  A copy in the
    new ledger would be overlooked, and the request billed twice.
    """
    result = first.add(bill=make_bill("a1"), into="earlier")
    assert result is AddResult.OTHER_LEDGER
    assert first.waiting == 0


@pytest.mark.parametrize(
    "faults",
    [
        ["lost"],
        ["ok", "lost"],
        ["lost", *DOWN],
        ["ok", "lost", *DOWN],
        ["down"],
        ["ok", "down"],
    ],
)
def test_lost_answers_and_outages(store, first, faults):
    """A flush meets a lost answer or an outage when it writes the page or the head.

    Bills that arrive meanwhile go on another page.  The first page may already be
    stored, and must neither be overwritten nor left out.
    """
    fill(first, "a1")
    store.faults.extend(faults)
    run(first.flush())
    store.faults.clear()
    if first.waiting:
        fill(first, "a2")
    while first.waiting:
        assert isinstance(run(first.flush()), Flushed)
    bills = read_bills(store)
    assert not bills.doubled
    assert bills.organisations[0].attempts in (1, 2)
    assert bills.organisations[0].requests == bills.organisations[0].attempts


def test_sealed_while_paused(store, first, second):
    """An entry is paused with an unflushed bill, and another entry recovers it.

    When the first entry resumes and flushes, the request must not be billed twice.
    """
    fill(first, "a1")
    run(first.flush())
    fill(first, "a2")
    adopted = recover(store, second, "a1", "a2", holders=("first",))
    assert adopted == RecoveredBills(billed=("a1",), added=("a2",))
    assert run(first.flush()) == LedgerSealed(dropped=("a2",))
    assert first.add(bill=make_bill("a3"), into="first") is AddResult.SEALED
    assert run(second.flush()) == Flushed(attempts=("a2",))
    assert read_bills(store).organisations[0].attempts == 2


def test_sealed_before_first_flush(store, first, second):
    """An entry is lost or paused before it first writes its ledger's head."""
    fill(first, "a1")
    recover(store, second, "a1", holders=("first",))
    assert run(first.flush()) == LedgerSealed(dropped=("a1",))
    run(second.flush())
    assert read_bills(store).organisations[0].attempts == 1


def test_counted_then_sealed(store, first, second):
    """A flush takes effect, its answer is lost, and the ledger is sealed.

    The entry must settle the bills instead of dropping them as not billed.
    """
    fill(first, "a1")
    store.faults.extend(["ok", "lost", *DOWN])
    assert isinstance(run(first.flush()), Unavailable)
    store.faults.clear()
    adopted = recover(store, second, "a1", holders=("first",))
    assert adopted == RecoveredBills(billed=("a1",))
    assert run(first.flush()) == Flushed(attempts=("a1",))
    assert first.is_sealed


def test_second_recovery(store, first, second):
    """The entry that recovers a bill is lost too, before or after its flush."""
    third = make_ledger(store, "third")
    recover(store, second, "a1", "a2", holders=("first",))
    run(second.flush())
    adopted = recover(store, third, "a1", "a3", holders=("first", "second"))
    assert adopted == RecoveredBills(billed=("a1",), added=("a3",))
    again = recover(store, third, "a3", holders=("first", "second", "third"))
    assert again == RecoveredBills(added=("a3",))


def test_sealed_by_another_after_a_flush(store, first):
    """Two entries seal a ledger concurrently while its holder still flushes.

    The slower one must not use the head that it read before that flush.
    """
    stepped = SteppedStore(store.store)
    fill(first, "a1")
    scheduler = Scheduler()
    slow = scheduler.start(seal_ledger(store=stepped, incarnation="first"))
    scheduler.step(0, None)
    scheduler.step(0, None)
    run(first.flush())
    run(seal_ledger(store=store, incarnation="first"))
    scheduler.finish()
    assert slow.result.pages == 1


def test_forgotten_attempts_are_read_again(store, monkeypatch):
    """A bill is handed over long after this entry flushed it.

    Only a limited number of flushed attempts is remembered; the others must be looked
    up on the pages.
    """
    monkeypatch.setattr(ledger_module, "REMEMBERED_ATTEMPTS", 1)
    ledger = make_ledger(store, "first")
    for attempt in ("a1", "a2"):
        fill(ledger, attempt)
        run(ledger.flush())
    assert ledger.has_forgotten
    adopted = recover(store, ledger, "a1", holders=())
    assert adopted == RecoveredBills(billed=("a1",))


def test_recovery_for_another_ledger_is_refused(store, second):
    """Bills are handed over to an entry that changed its ledger meanwhile.

    The agent would name the old ledger to the next entry, which then wouldn't search
    the new one.
    """
    adopted = run(
        recover_bills(
            store=store,
            ledger=second,
            into="earlier",
            holders=("first",),
            bills=[make_bill("a1")],
        )
    )
    assert adopted == RecoveredBills(refused=("a1",))
    assert second.waiting == 0


def test_lost_ledger_is_read_once(store, first, second):
    """Hundreds of agents hand over the bills of one lost entry."""
    fill(first, "a1", "a2")
    run(first.flush())
    sealed = SealedLedgers(store=store)

    def recover_one(attempt):
        return run(
            recover_bills(
                store=store,
                ledger=second,
                into="second",
                holders=("first",),
                bills=[make_bill(attempt)],
                sealed=sealed,
            )
        )

    assert recover_one("a1") == RecoveredBills(billed=("a1",))
    calls = store.calls.total()
    assert recover_one("a2") == RecoveredBills(billed=("a2",))
    assert recover_one("a3") == RecoveredBills(added=("a3",))
    assert store.calls.total() == calls + 2


def test_backlog_is_bounded(first, monkeypatch):
    """The store is down for a long time.

    The entry refuses new work, accepts the bills of requests in flight, and leaves
    further bills with their agents.
    """
    monkeypatch.setattr(ledger_module, "BACKLOG_BILLS", 2)
    monkeypatch.setattr(ledger_module, "IN_FLIGHT_BILLS", 1)
    fill(first, "a1")
    assert not first.is_full
    fill(first, "a2", "a3")
    assert first.is_full
    assert first.add(bill=make_bill("a4"), into="first") is AddResult.FULL


def test_pages_stay_below_the_limit(store, first):
    """A backlog larger than an object's size limit is flushed as several pages."""
    count = 4000
    for number in range(count):
        first.add(bill=make_bill(f"a{number}", request=f"{number:0400}"), into="first")
    while first.waiting:
        assert run(first.flush()).attempts
    assert first.pages > 1
    for number in range(first.pages):
        page = run(store.read(kind=PAGE_KIND, name=f"first/{number}"))
        assert len(page.body) <= MAX_BODY_BYTES
    assert read_bills(store).organisations[0].attempts == count


def test_cascade_and_retry_are_one_bill(store, first):
    """A request runs two steps of a cascade; a lost message makes one run twice.

    Each step is billed for one attempt, and all steps under one request, even if the
    attempts are in different ledgers.
    """
    other = make_ledger(store, "other")
    rungs = [
        (first, make_bill("a1", request="r", step=0)),
        (first, make_bill("a3", request="r", step=1)),
        (other, make_bill("a2", request="r", step=1, completion_tokens=9)),
    ]
    for ledger, bill in rungs:
        ledger.add(bill=bill, into=ledger.incarnation)
        run(ledger.flush())
    (bills,) = read_bills(store).organisations
    assert (bills.requests, bills.attempts, bills.repeated) == (1, 2, 1)
    assert bills.completion_tokens == 3 + 9


def test_totals_in_groups(store):
    """There are more bills than fit an operator's memory at once."""
    for number in range(4):
        ledger = make_ledger(store, f"ledger-{number}")
        fill(ledger, f"a{number}", f"b{number}")
        run(ledger.flush())
    invariants = Invariants(strict=True)
    whole = read_bills(store)
    parts = run(read_totals(store=store, invariants=invariants, group_attempts=3))
    assert (whole.groups, parts.groups) == (1, 2)
    assert parts.organisations == whole.organisations
    assert whole.organisations[0].requests == 8


def test_aged_ledger_is_replaced(store):
    """An entry with little work must not use a ledger until it is sealed as idle."""
    ledgers = make_ledgers(store, itertools.count())
    old = ledgers.current
    run(ledgers.flush(now=0.0))
    run(ledgers.flush(now=MAX_LEDGER_SECONDS + 1.0))
    assert ledgers.current is old
    fill(old, "a1")
    run(ledgers.flush(now=MAX_LEDGER_SECONDS + 2.0))
    run(ledgers.flush(now=2 * MAX_LEDGER_SECONDS + 3.0))
    assert ledgers.current is not old


def make_ledgers(store, numbers):
    return Ledgers(
        open_ledger=lambda: make_ledger(store, f"ledger-{next(numbers)}"),
    )


def test_long_ledger_is_replaced(store, monkeypatch):
    """A ledger grows so long that a recovery would have to read many pages.

    Requests that were assigned the old ledger are still billed there.
    """
    monkeypatch.setattr(ledger_module, "MAX_LEDGER_PAGES", 1)
    ledgers = make_ledgers(store, itertools.count())
    old = ledgers.current
    fill(old, "a1")
    run(ledgers.flush(now=0.0))
    assert ledgers.current is not old
    late = ledgers.add(bill=make_bill("a2"), into=old.incarnation)
    assert late is AddResult.ADDED
    assert run(ledgers.flush(now=1.0)).settled == ("a2",)
    run(ledgers.flush(now=2.0 + OLD_LEDGER_SECONDS))
    gone = ledgers.add(bill=make_bill("a3"), into=old.incarnation)
    assert gone is AddResult.OTHER_LEDGER


class AgentBill(msgspec.Struct):
    """A bill that an agent keeps until it is settled."""

    bill: Bill
    holders: tuple[str, ...] = ()
    settled: bool = False


class Delivery(msgspec.Struct):
    """A bill on its way to an entry; with `holders` it is to be recovered."""

    bill: Bill
    holders: tuple[str, ...]


class Entry:
    """An entry, whose restart leaves it with a new ledger and no memory."""

    def __init__(self, store, numbers):
        self.store = store
        self.numbers = numbers
        self.inbox = []
        self.restart()

    def restart(self):
        self.ledgers = make_ledgers(self.store, self.numbers)
        self.flushing = None
        self.tasks = []


class LedgerMachine(RuleBasedStateMachine):
    """Entries and agents that may consider each other lost at any moment."""

    def __init__(self):
        super().__init__()
        self.table = make_store()
        self.numbers = itertools.count()
        self.attempts = itertools.count()
        store = SteppedStore(self.table)
        self.entries = [Entry(store, self.numbers) for _ in range(3)]
        self.kept = {}
        self.scheduler = Scheduler()

    @rule(entry=st.integers(0, 2), count=st.integers(1, 3))
    def bill(self, entry, count):
        """Let attempts end, and send their bills to an entry."""
        entry = self.entries[entry]
        for _ in range(count):
            bill = make_bill(
                f"t{next(self.attempts)}", ledger=entry.ledgers.current.incarnation
            )
            self.kept[bill.attempt] = AgentBill(bill)
            entry.inbox.append(Delivery(bill, ()))

    @rule(entry=st.integers(0, 2), number=st.integers(0, 5))
    def deliver(self, entry, number):
        """Deliver one of the messages to an entry, in any order."""
        entry = self.entries[entry]
        if not entry.inbox:
            return
        delivery = entry.inbox.pop(number % len(entry.inbox))
        if delivery.holders:
            self.start(entry, self.recover(entry, delivery))
            return
        bill = delivery.bill
        if entry.ledgers.add(bill=bill, into=bill.ledger) is AddResult.FLUSHED:
            self.kept[bill.attempt].settled = True

    def start(self, entry, coroutine):
        task = self.scheduler.start(coroutine)
        entry.tasks.append(task)
        return task

    async def recover(self, entry, delivery):
        ledger = entry.ledgers.find(delivery.bill.ledger)
        if ledger is None:
            return
        result = await recover_bills(
            store=entry.store,
            ledger=ledger,
            into=delivery.bill.ledger,
            holders=delivery.holders,
            bills=[delivery.bill],
        )
        if isinstance(result, RecoveredBills):
            self.settle(result.billed)

    async def flush_entry(self, entry, *, is_lost=False):
        """Flush, and settle with the agents unless `is_lost`."""
        result = await entry.ledgers.flush(now=0.0)
        if not is_lost:
            self.settle(result.settled)

    def settle(self, attempts):
        for attempt in attempts:
            self.kept[attempt].settled = True

    @rule(entry=st.integers(0, 2), is_lost=st.booleans(), steps=st.integers(0, 8))
    def flush(self, entry, is_lost, steps):
        """Start a flush of an entry and run some of its steps."""
        entry = self.entries[entry]
        if entry.flushing and not entry.flushing.ended:
            return
        if entry.ledgers.waiting:
            entry.flushing = self.start(entry, self.flush_entry(entry, is_lost=is_lost))
            self.scheduler.advance(entry.flushing, steps)

    @rule(pick=st.integers(0, 30))
    def send_again(self, pick):
        """Let an agent send an unsettled bill again."""
        open_bills = [kept for kept in self.kept.values() if not kept.settled]
        if not open_bills:
            return
        kept = open_bills[pick % len(open_bills)]
        for entry in self.entries:
            if entry.ledgers.find(kept.bill.ledger):
                entry.inbox.append(Delivery(kept.bill, kept.holders))

    @rule(entry=st.integers(0, 2), pick=st.integers(0, 30))
    def hand_over(self, entry, pick):
        """Let an agent consider a bill's entry lost, rightly or not."""
        entry = self.entries[entry]
        open_bills = [kept for kept in self.kept.values() if not kept.settled]
        if open_bills:
            self.reassign(open_bills[pick % len(open_bills)], entry)

    def reassign(self, kept, entry):
        into = entry.ledgers.current.incarnation
        if into == kept.bill.ledger:
            return
        kept.holders = (*kept.holders, kept.bill.ledger)
        kept.bill = msgspec.structs.replace(kept.bill, ledger=into)
        entry.inbox.append(Delivery(kept.bill, kept.holders))

    @rule(
        number=st.integers(0, 5),
        steps=st.integers(1, 12),
        fault=st.sampled_from((None, None, "down", "lost")),
    )
    def step(self, number, steps, fault):
        self.scheduler.step(number, fault)
        for _ in range(steps - 1):
            self.scheduler.step(number, None)

    @rule(entry=st.integers(0, 2), draw=st.integers(0, 3))
    def restart_entry(self, entry, draw):
        """Kill and restart an entry, which then receives the messages in flight."""
        if draw:
            return
        entry = self.entries[entry]
        for task in entry.tasks:
            if not task.ended:
                task.kill()
                self.scheduler.running.remove(task)
        entry.restart()

    def teardown(self):
        """Deliver all messages, recover the remaining bills, then check the totals."""
        for entry in self.entries:
            while entry.inbox:
                self.deliver(self.entries.index(entry), 0)
        self.scheduler.finish()
        successor = Entry(SteppedStore(self.table), self.numbers)
        for kept in self.kept.values():
            if not kept.settled:
                self.reassign(kept, successor)
        for delivery in successor.inbox:
            run(self.recover(successor, delivery))
        for entry in [*self.entries, successor]:
            run(self.flush_entry(entry))
        bills = read_bills(self.table)
        assert all(kept.settled for kept in self.kept.values())
        assert not bills.doubled
        count = sum(totals.attempts for totals in bills.organisations)
        assert count == len(self.kept)


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=40
)
