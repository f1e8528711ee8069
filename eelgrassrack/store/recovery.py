"""Recovery of bills whose entry was lost before it settled them.

The agent hands the bills to another entry and names the ledgers of all entries
that received them before.  A lost entry may only be paused, or its last flush may
still be in flight.  So each of those ledgers is first sealed, after which it can't
change any more, and then read.  A bill found there is settled.  Any other bill
goes into this entry's own ledger.

Store calls: one write for each ledger that isn't sealed yet, and one read for each
of its pages.  To read the pages only once, agents choose the same entry for all
bills of a lost one, and that entry keeps what it read (see `SealedLedgers`).
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

# How often sealing is retried while the holder keeps flushing.
SEAL_TRIES = 5


class RecoveredBills(msgspec.Struct, kw_only=True, frozen=True):
    """The result of a recovery, as ids of attempts.

    The bills of `billed` attempts are in a ledger and may be settled at once.
    Those of `added` attempts wait in this entry's ledger for its next flush.
    Those of `refused` attempts aren't kept here; the agent must hand them over
    again.
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
    """Add the bills that are in none of the holders' ledgers to this ledger.

    `into` is the ledger that the agent will name as this entry's, and must be the
    incarnation of `ledger`.  If the bills went into another one, a later recovery
    would neither seal nor read it.  With a `sealed` cache that is kept between
    calls, each lost ledger is read once.
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
        if head.compacted and head.totals:
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
    """Refuse the remaining bills because the holder's ledger was compacted.

    Without the ledger's lines nobody can tell whether a bill was among them.
    Leaving a bill out is better than billing it twice.
    """
    log.error("custody: too late for bills of {}: {}", holder, [*missing])
    return RecoveredBills(
        refused=tuple(missing), billed=_list_billed(attempts, missing)
    )


async def _find_own(
    store: ObjectStore, ledger: Ledger, attempts: set[str]
) -> set[str] | Unavailable:
    """Return the attempts that the ledger flushed but no longer remembers."""
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


def _list_billed(attempts: set[str], missing: dict[str, Bill]) -> tuple[str, ...]:
    """Return the attempts that were found in a ledger, sorted."""
    return tuple(sorted(attempts - set(missing)))


def _add_missing(
    ledger: Ledger, missing: dict[str, Bill], attempts: set[str]
) -> RecoveredBills:
    """Add the missing bills to the ledger and group the attempts by the result."""
    billed = list(_list_billed(attempts, missing))
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

    A ledger that doesn't exist is created as a sealed one.  Otherwise its entry
    could still create it and flush the bills that are being recovered.
    """
    # `put_record` recognises only a head equal to the one written here.  A head that
    # somebody else sealed may count one more page, flushed in between.  Ignoring
    # that page would bill its attempts twice.
    for _ in range(SEAL_TRIES):
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
