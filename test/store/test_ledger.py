"""Tests that each attempt stands exactly once in the ledgers."""

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
    LONGEST_LEDGER_SECONDS,
    OLD_LEDGER_SECONDS,
    Ledgers,
)
from eelgrassrack.store.objects import MAX_BODY_BYTES, Unavailable
from eelgrassrack.store.pages import PAGE_KIND
from eelgrassrack.store.recovery import RecoveredBills, recover_bills, seal_ledger
from eelgrassrack.store.sealed import SealedLedgers
from eelgrassrack.store.totals import read_totals

from .steps import Crew, FaultyStore, SteppedStore, make_store, run

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
        verdict = ledger.add(bill=make_bill(attempt), into=ledger.incarnation)
        assert verdict is AddResult.ADDED


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
    """A bill comes for a ledger that this entry had before it was restarted.

    Its agent names the old ledger to whoever recovers it, so that a copy
    in the new one would be overlooked and the request billed twice.
    """
    verdict = first.add(bill=make_bill("a1"), into="earlier")
    assert verdict is AddResult.OTHER_LEDGER
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
    """A flush meets a lost answer or an outage at the page or at the head.

    Bills that come in meanwhile go on a page of their own: the page that
    may stand already must not be overwritten nor left out.
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
    """An entry is paused with a bill, and another entry recovers it.

    When the first wakes and flushes, the request would be billed twice.
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
    """An entry is lost, or paused, before it ever wrote its ledger's head."""
    fill(first, "a1")
    recover(store, second, "a1", holders=("first",))
    assert run(first.flush()) == LedgerSealed(dropped=("a1",))
    run(second.flush())
    assert read_bills(store).organisations[0].attempts == 1


def test_counted_then_sealed(store, first, second):
    """A flush takes effect, its answer is lost, and the ledger is sealed.

    The entry must settle the bills rather than drop them as not billed.
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
    """Two entries seal a ledger at once while its holder still flushes.

    The slower one must not go by the head it read before that flush.
    """
    stepped = SteppedStore(store.store)
    fill(first, "a1")
    crew = Crew()
    slow = crew.start(seal_ledger(store=stepped, incarnation="first"))
    crew.step(0, None)
    crew.step(0, None)
    run(first.flush())
    run(seal_ledger(store=store, incarnation="first"))
    crew.finish()
    assert slow.result.pages == 1


def test_forgotten_attempts_are_read_again(store, monkeypatch):
    """A bill is handed over long after it was flushed here.

    Memory for flushed attempts is bounded; what it lost is on the pages.
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

    The agent will name the old ledger to the next entry, which would not
    look into the new one.
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
    """The store is down for long.

    The entry refuses new work, takes the bills of what is under way, and
    leaves any further ones with their agents.
    """
    monkeypatch.setattr(ledger_module, "BACKLOG_BILLS", 2)
    monkeypatch.setattr(ledger_module, "UNDER_WAY_BILLS", 1)
    fill(first, "a1")
    assert not first.is_full
    fill(first, "a2", "a3")
    assert first.is_full
    assert first.add(bill=make_bill("a4"), into="first") is AddResult.FULL


def test_pages_stay_below_the_limit(store, first):
    """A backlog larger than an object may be is flushed in several pages."""
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
    """A request climbs a cascade, and a step runs twice after a lost frame.

    Each step is billed for one attempt, and all under one request, also
    when the attempts stand in different ledgers.
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
    """There are more bills than an operator's machine can hold at once."""
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
    """An entry with little work would keep one ledger until it is sealed."""
    ledgers = make_ledgers(store, itertools.count())
    old = ledgers.current
    run(ledgers.flush(now=0.0))
    run(ledgers.flush(now=LONGEST_LEDGER_SECONDS + 1.0))
    assert ledgers.current is old
    fill(old, "a1")
    run(ledgers.flush(now=LONGEST_LEDGER_SECONDS + 2.0))
    run(ledgers.flush(now=2 * LONGEST_LEDGER_SECONDS + 3.0))
    assert ledgers.current is not old


def make_ledgers(store, numbers):
    return Ledgers(
        open_ledger=lambda: make_ledger(store, f"ledger-{next(numbers)}"),
    )


def test_long_ledger_is_replaced(store, monkeypatch):
    """A ledger grows by the day; who recovers it would read all its pages.

    Work begun under its name is still billed there.
    """
    monkeypatch.setattr(ledger_module, "LONGEST_LEDGER_PAGES", 1)
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


class Held(msgspec.Struct):
    """A bill that an agent keeps until it is settled."""

    bill: Bill
    holders: tuple[str, ...] = ()
    settled: bool = False


class Handing(msgspec.Struct):
    """A bill on its way to an entry; with holders it is a recovery."""

    bill: Bill
    holders: tuple[str, ...]


class Entry:
    """An entry, restarted with a new ledger and no memory."""

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
    """Entries and agents that take each other for lost at any moment."""

    def __init__(self):
        super().__init__()
        self.table = make_store()
        self.numbers = itertools.count()
        self.attempts = itertools.count()
        store = SteppedStore(self.table)
        self.entries = [Entry(store, self.numbers) for _ in range(3)]
        self.held = {}
        self.crew = Crew()

    @rule(entry=st.integers(0, 2), count=st.integers(1, 3))
    def bill(self, entry, count):
        """Let attempts end whose bills are on the way to their entry."""
        entry = self.entries[entry]
        for _ in range(count):
            bill = make_bill(
                f"t{next(self.attempts)}", ledger=entry.ledgers.current.incarnation
            )
            self.held[bill.attempt] = Held(bill)
            entry.inbox.append(Handing(bill, ()))

    @rule(entry=st.integers(0, 2), number=st.integers(0, 5))
    def deliver(self, entry, number):
        """Let one of the messages to an entry arrive, in any order."""
        entry = self.entries[entry]
        if not entry.inbox:
            return
        handing = entry.inbox.pop(number % len(entry.inbox))
        if handing.holders:
            self.start(entry, self.recover(entry, handing))
            return
        bill = handing.bill
        if entry.ledgers.add(bill=bill, into=bill.ledger) is AddResult.FLUSHED:
            self.held[bill.attempt].settled = True

    def start(self, entry, coroutine):
        steps = self.crew.start(coroutine)
        entry.tasks.append(steps)
        return steps

    async def recover(self, entry, handing):
        ledger = entry.ledgers.find(handing.bill.ledger)
        if ledger is None:
            return
        result = await recover_bills(
            store=entry.store,
            ledger=ledger,
            into=handing.bill.ledger,
            holders=handing.holders,
            bills=[handing.bill],
        )
        if isinstance(result, RecoveredBills):
            self.settle(result.billed)

    async def flush_entry(self, entry, *, is_lost=False):
        """Flush, and tell the agents unless that is lost on its way."""
        result = await entry.ledgers.flush(now=0.0)
        if not is_lost:
            self.settle(result.settled)

    def settle(self, attempts):
        for attempt in attempts:
            self.held[attempt].settled = True

    @rule(entry=st.integers(0, 2), is_lost=st.booleans(), steps=st.integers(0, 8))
    def flush(self, entry, is_lost, steps):
        """Let an entry flush and get some way."""
        entry = self.entries[entry]
        if entry.flushing and not entry.flushing.ended:
            return
        if entry.ledgers.waiting:
            entry.flushing = self.start(entry, self.flush_entry(entry, is_lost=is_lost))
            self.crew.advance(entry.flushing, steps)

    @rule(pick=st.integers(0, 30))
    def send_again(self, pick):
        """Let an agent send a bill again that nobody settled."""
        open_bills = [held for held in self.held.values() if not held.settled]
        if not open_bills:
            return
        held = open_bills[pick % len(open_bills)]
        for entry in self.entries:
            if entry.ledgers.find(held.bill.ledger):
                entry.inbox.append(Handing(held.bill, held.holders))

    @rule(entry=st.integers(0, 2), pick=st.integers(0, 30))
    def hand_over(self, entry, pick):
        """Let an agent take a bill's entry for lost, rightly or not."""
        entry = self.entries[entry]
        open_bills = [held for held in self.held.values() if not held.settled]
        if open_bills:
            self.hand(open_bills[pick % len(open_bills)], entry)

    def hand(self, held, entry):
        into = entry.ledgers.current.incarnation
        if into == held.bill.ledger:
            return
        held.holders = (*held.holders, held.bill.ledger)
        held.bill = msgspec.structs.replace(held.bill, ledger=into)
        entry.inbox.append(Handing(held.bill, held.holders))

    @rule(
        number=st.integers(0, 5),
        steps=st.integers(1, 12),
        fault=st.sampled_from((None, None, "down", "lost")),
    )
    def step(self, number, steps, fault):
        self.crew.step(number, fault)
        for _ in range(steps - 1):
            self.crew.step(number, None)

    @rule(entry=st.integers(0, 2), luck=st.integers(0, 3))
    def restart_entry(self, entry, luck):
        """Kill an entry; what is on its way there reaches the next one."""
        if luck:
            return
        entry = self.entries[entry]
        for steps in entry.tasks:
            if not steps.ended:
                steps.kill()
                self.crew.running.remove(steps)
        entry.restart()

    def teardown(self):
        """Let all messages arrive, recover what is left, then add up."""
        for entry in self.entries:
            while entry.inbox:
                self.deliver(self.entries.index(entry), 0)
        self.crew.finish()
        heir = Entry(SteppedStore(self.table), self.numbers)
        for held in self.held.values():
            if not held.settled:
                self.hand(held, heir)
        for handing in heir.inbox:
            run(self.recover(heir, handing))
        for entry in [*self.entries, heir]:
            run(self.flush_entry(entry))
        bills = read_bills(self.table)
        assert all(held.settled for held in self.held.values())
        assert not bills.doubled
        count = sum(one.attempts for one in bills.organisations)
        assert count == len(self.held)


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=40
)
