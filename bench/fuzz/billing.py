"""Whether each answered request is billed, and nothing twice."""

import collections

from eelgrassrack.invariants import Invariants
from eelgrassrack.store.objects import Names, ObjectStore
from eelgrassrack.store.pages import HEAD_KIND, BillLine, LedgerHead, read_page
from eelgrassrack.store.records import VersionedRecord, read_record
from eelgrassrack.store.totals import read_totals

from .calls import Call
from .oracle import OK, describe, find_places, name_work
from .rig import Rig


async def find_unbilled(
    calls: list[Call], store: ObjectStore, rig: Rig, killed: set[str]
) -> list[str]:
    """Return what is wrong with the bills as they stand now.

    What neither the entry nor an agent outlived that knew the bill can't
    be billed; `killed` names both.
    """
    places = find_places(rig)
    totals = await read_totals(store=store, invariants=Invariants(strict=False))
    lines = await _read_lines(store)
    billed = {line.request for line in lines}
    faults = [f"billed twice: {attempt}" for attempt in totals.doubled]
    answered = [
        call for call in calls if call.answer.status == OK and call.answer.is_whole
    ]
    faults += [
        f"not billed: {describe(call)}"
        for call in answered
        if not call.key
        and not (call.entry in killed and places[name_work(call)] & killed)
        and call.answer.request not in billed
    ]
    return faults + _check_key_bills(calls, billed)


def _check_key_bills(calls: list[Call], billed: set[str]) -> list[str]:
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
    lines: list[BillLine] = []
    for incarnation in names.names if isinstance(names, Names) else ():
        head = await read_record(
            store=store, kind=HEAD_KIND, name=incarnation, record=LedgerHead
        )
        pages = head.record.pages if isinstance(head, VersionedRecord) else 0
        for number in range(pages):
            page = await read_page(store=store, incarnation=incarnation, number=number)
            lines += page.lines
    return lines
