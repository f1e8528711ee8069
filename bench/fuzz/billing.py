"""Check that every answered request is billed, and billed only once."""

import collections

from eelgrassrack.invariants import Invariants
from eelgrassrack.store.objects import Names, ObjectStore
from eelgrassrack.store.pages import HEAD_KIND, BillLine, LedgerHead, read_page
from eelgrassrack.store.records import VersionedRecord, read_record
from eelgrassrack.store.totals import read_totals

from .calls import SentCall
from .oracle import OK, describe, find_serving_endpoints, get_work_key
from .rig import Rig


async def find_unbilled(
    calls: list[SentCall], store: ObjectStore, rig: Rig, killed: set[str]
) -> list[str]:
    """Return the faults of the bills in the object API at this moment.

    A request can't be billed if both its entry and an agent that served it were
    killed, because no other process holds its bill.  `killed` names the
    killed entries and agents.
    """
    endpoints = find_serving_endpoints(rig)
    totals = await read_totals(store=store, invariants=Invariants(strict=False))
    bill_lines = await _read_lines(store)
    billed = {line.request for line in bill_lines}
    faults = [f"billed twice: {attempt}" for attempt in totals.doubled]
    answered = [
        call for call in calls if call.answer.status == OK and call.answer.is_whole
    ]
    faults += [
        f"not billed: {describe(call)}"
        for call in answered
        if not call.key
        and not (call.entry in killed and endpoints[get_work_key(call)] & killed)
        and call.answer.request not in billed
    ]
    return faults + _find_double_billed_keys(calls, billed)


def _find_double_billed_keys(calls: list[SentCall], billed: set[str]) -> list[str]:
    by_key = collections.defaultdict(set)
    for call in calls:
        if call.key and call.answer.request in billed:
            by_key[call.key].add(call.answer.request)
    return [
        f"{key} is billed as {requests}"
        for key, requests in by_key.items()
        if len(requests) > 1
    ]


async def _read_lines(store: ObjectStore) -> list[BillLine]:
    names = await store.find_names(kind=HEAD_KIND, prefix="")
    bill_lines: list[BillLine] = []
    for incarnation in names.names if isinstance(names, Names) else ():
        head = await read_record(
            store=store, kind=HEAD_KIND, name=incarnation, record=LedgerHead
        )
        pages = head.record.pages if isinstance(head, VersionedRecord) else 0
        for number in range(pages):
            page = await read_page(store=store, incarnation=incarnation, number=number)
            bill_lines += page.lines
    return bill_lines
