"""The attempts of sealed ledgers, kept for a while once read.

A lost entry's bills are handed over by hundreds of agents, one after the
other.  Read for each of them anew, its ledger would cost the platform tens
of thousands of reads.  A sealed ledger never changes, so what was read
stays true.
"""

import array
import bisect
import collections

import xxhash

from .objects import ObjectStore, Unavailable
from .pages import LedgerHead, Page, read_page
from .throttling import retry_throttled

# Ledgers kept.  One of 128 pages with 410 attempts takes 0.4 MB.
KEPT_LEDGERS = 8


class SealedLedgers:
    """Tell which attempts stand in sealed ledgers.

    Of each attempt a 64-bit digest is kept.  That one of 52,000 is taken
    for another has a chance below one in 10**14.
    """

    __slots__ = ("_digests", "_store")

    def __init__(self, *, store: ObjectStore) -> None:
        self._store = store
        self._digests: collections.OrderedDict[str, array.array] = (
            collections.OrderedDict()
        )

    async def find(
        self, *, incarnation: str, head: LedgerHead, attempts: set[str]
    ) -> set[str] | Unavailable:
        """Return those of the attempts that stand in a sealed ledger."""
        digests = self._digests.get(incarnation)
        if digests is None:
            digests = await self._read(incarnation, head.pages)
        if isinstance(digests, Unavailable):
            return digests
        self._digests[incarnation] = digests
        self._digests.move_to_end(incarnation)
        if len(self._digests) > KEPT_LEDGERS:
            self._digests.popitem(last=False)
        return {attempt for attempt in attempts if _has(digests, attempt)}

    async def _read(self, incarnation: str, pages: int) -> array.array | Unavailable:
        """Return the sorted digests of all attempts on some pages."""
        digests = array.array("Q")
        for number in range(pages):
            page = await _read_page(self._store, incarnation, number)
            if isinstance(page, Unavailable):
                return page
            digests.extend(_digest(line.attempt) for line in page.lines)
        return array.array("Q", sorted(digests))


async def find_on_pages(
    *, store: ObjectStore, incarnation: str, pages: int, attempts: set[str]
) -> set[str] | Unavailable:
    """Return those of the attempts that stand on a ledger's first pages."""
    found: set[str] = set()
    for number in range(pages):
        page = await _read_page(store, incarnation, number)
        if isinstance(page, Unavailable):
            return page
        found.update(attempts & {line.attempt for line in page.lines})
    return found


async def _read_page(
    store: ObjectStore, incarnation: str, number: int
) -> Page | Unavailable:
    return await retry_throttled(
        lambda: read_page(store=store, incarnation=incarnation, number=number)
    )


def _digest(attempt: str) -> int:
    return xxhash.xxh3_64_intdigest(attempt.encode())


def _has(digests: array.array, attempt: str) -> bool:
    digest = _digest(attempt)
    place = bisect.bisect_left(digests, digest)
    return place < len(digests) and digests[place] == digest
