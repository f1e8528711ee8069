"""A cache of the attempts in sealed ledgers.

Hundreds of agents hand over the bills of a lost entry, one after the other.
Reading the entry's ledger for each of them would cost the platform tens of
thousands of reads.  A sealed ledger never changes, so the cache stays valid.
"""

import array
import bisect
import collections

import xxhash

from .objects import ObjectStore, Unavailable
from .pages import LedgerHead, Page, read_page
from .throttling import retry_throttled

# A ledger of 128 pages with 410 attempts each takes 0.4 MB.
MAX_CACHED_LEDGERS = 8


class SealedLedgers:
    """Find out which attempts are in sealed ledgers.

    Each attempt is kept as a 64-bit digest.  With 52,000 attempts, the probability
    that another attempt is mistaken for one of them is below 1 in 10**14.
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
        """Return the subset of `attempts` that is in a sealed ledger."""
        digests = self._digests.get(incarnation)
        if digests is None:
            digests = await self._read(incarnation, head.pages)
        if isinstance(digests, Unavailable):
            return digests
        self._digests[incarnation] = digests
        self._digests.move_to_end(incarnation)
        if len(self._digests) > MAX_CACHED_LEDGERS:
            self._digests.popitem(last=False)
        return {attempt for attempt in attempts if _contains(digests, attempt)}

    async def _read(self, incarnation: str, pages: int) -> array.array | Unavailable:
        """Return the sorted digests of all attempts on a ledger's first pages."""
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
    """Return the subset of `attempts` that is on a ledger's first pages."""
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


def _contains(digests: array.array, attempt: str) -> bool:
    digest = _digest(attempt)
    position = bisect.bisect_left(digests, digest)
    return position < len(digests) and digests[position] == digest
