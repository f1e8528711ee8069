"""Recovery of bills whose entry was lost before it settled them.

The agent hands the bills to another entry and names the ledgers of all
entries that were given them before.  A lost entry may only be paused, or
its last flush may still be under way.  So each of those ledgers is sealed
first, after which it can't change any more, and then read: a bill that
stands there is settled, any other goes into this entry's own ledger.

Store calls: one write for each ledger not sealed yet and one read for each
of its pages.  To read them once, agents choose the same entry for the
bills of a lost one, and the entry recovers what several agents hand over
in one call.
"""

import time
from collections.abc import Callable, Iterable

import logbook
import msgspec

from ..mailbox.messages import Bill
from .ledger import AddResult, Ledger
from .objects import Absent, ObjectStore, Unavailable
from .pages import HEAD_KIND, LedgerHead
from .records import (
    NEW,
    RecordConflict,
    RecordWritten,
    VersionedRecord,
    put_record,
    read_record,
)
from .sealed import SealedLedgers, find_on_pages

log = logbook.Logger("custody")

# Rounds of sealing against a holder that still flushes.
SEAL_ROUNDS = 5


class RecoveredBills(msgspec.Struct, kw_only=True, frozen=True):
    """What became of bills that were handed over.

    `billed` attempts stand in a ledger and may be settled at once; `added`
    ones wait in this entry's ledger; `refused` ones are not held here, and
    the agent has to hand them over again.
    """

    billed: tuple[str, ...] = ()
    added: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()


async def recover_bills(
    *,
    store: ObjectStore,
    ledger: Ledger,
    into: str,
    holders: tuple[str, ...],
    bills: Iterable[Bill],
    sealed: SealedLedgers | None = None,
    clock: Callable[[], float] = time.time,
) -> RecoveredBills | Unavailable:
    """Add those bills to the ledger that none of the holders' ledgers has.

    `into` is the ledger that the agent will name as this entry's.  It has
    to be the one the bills go into: were they added to another, a later
    recovery would neither seal nor read that one.  With `sealed` kept from
    call to call, each lost ledger is read once.
    """
    missing = {bill.attempt: bill for bill in bills}
    attempts = set(missing)
    if into != ledger.incarnation:
        return RecoveredBills(refused=tuple(attempts))
    sealed = sealed or SealedLedgers(store=store)
    for holder in dict.fromkeys(holders):
        if holder == ledger.incarnation:
            continue
        head = await seal_ledger(store=store, incarnation=holder, clock=clock)
        if isinstance(head, Unavailable):
            return head
        if head.folded and head.totals:
            return _refuse_late(holder, missing, attempts)
        found = await sealed.find(incarnation=holder, head=head, attempts=set(missing))
        if isinstance(found, Unavailable):
            return found
        missing = _subtract(missing, found)
    found = await _find_own(store, ledger, set(missing))
    if isinstance(found, Unavailable):
        return found
    return _add_missing(ledger, _subtract(missing, found), attempts)


def _refuse_late(
    holder: str, missing: dict[str, Bill], attempts: set[str]
) -> RecoveredBills:
    """Leave bills out whose holder's lines are gone.

    With the lines the proof is gone that a bill isn't among them: rather
    leave one out than bill it twice.
    """
    log.error("custody: too late for bills of {}: {}", holder, [*missing])
    return RecoveredBills(refused=tuple(missing), billed=_leave(attempts, missing))


async def _find_own(
    store: ObjectStore, ledger: Ledger, attempts: set[str]
) -> set[str] | Unavailable:
    """Return the attempts on pages that the ledger itself has forgotten."""
    if not ledger.has_forgotten:
        return set()
    return await find_on_pages(
        store=store,
        incarnation=ledger.incarnation,
        pages=ledger.pages,
        attempts=attempts,
    )


def _subtract(missing: dict[str, Bill], found: set[str]) -> dict[str, Bill]:
    """Return the bills whose attempts weren't found."""
    return {name: bill for name, bill in missing.items() if name not in found}


def _leave(attempts: set[str], missing: dict[str, Bill]) -> tuple[str, ...]:
    """Return the attempts that were found in a ledger."""
    return tuple(sorted(attempts - set(missing)))


def _add_missing(
    ledger: Ledger, missing: dict[str, Bill], attempts: set[str]
) -> RecoveredBills:
    """Add the missing bills and sort the attempts by what became of them."""
    billed = list(_leave(attempts, missing))
    added: list[str] = []
    refused: list[str] = []
    for attempt, bill in missing.items():
        match ledger.add(bill=bill, into=ledger.incarnation):
            case AddResult.ADDED | AddResult.WAITING:
                added.append(attempt)
            case AddResult.FLUSHED:
                billed.append(attempt)
            case AddResult.FULL | AddResult.SEALED | AddResult.OTHER_LEDGER:
                refused.append(attempt)
    log.info("custody: {} billed before, {} added", len(billed), len(added))
    return RecoveredBills(
        billed=tuple(sorted(billed)), added=tuple(added), refused=tuple(refused)
    )


async def seal_ledger(
    *,
    store: ObjectStore,
    incarnation: str,
    clock: Callable[[], float] = time.time,
) -> LedgerHead | Unavailable:
    """Seal a ledger and return its head, which never changes again.

    A ledger that never was is made as a sealed one.  Otherwise its entry
    could still make it, and flush the bills that are being recovered.
    """
    # Only a head that equals the one written here counts as written here.
    # One that somebody else sealed may hold a page more, flushed in between;
    # overlooking that page would bill it twice.
    for _ in range(SEAL_ROUNDS):
        found = await read_record(
            store=store, kind=HEAD_KIND, name=incarnation, record=LedgerHead
        )
        match found:
            case Unavailable():
                return found
            case VersionedRecord(record=head) if head.sealed:
                return head
            case VersionedRecord(record=head, version=version):
                sealed = msgspec.structs.replace(head, sealed=True, changed_at=clock())
            case Absent():
                sealed, version = LedgerHead(sealed=True, changed_at=clock()), NEW
        result = await put_record(
            store=store,
            kind=HEAD_KIND,
            name=incarnation,
            record=sealed,
            version=version,
            is_own=sealed.__eq__,
        )
        match result:
            case RecordWritten():
                log.info("custody: sealed: {}", incarnation)
                return sealed
            case Unavailable():
                return result
            case RecordConflict():
                continue
    return Unavailable(reason=f"ledger {incarnation} keeps changing")
