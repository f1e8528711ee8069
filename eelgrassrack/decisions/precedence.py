"""Which entries have a place where there are fewer places than entries.

Load pattern: an endpoint is back cold and bears twenty requests a second, and
sixty entries find it idle.  One request from each would fell it.

All entries order each other in the same way for the same endpoint, those of its
failure domain first, since bytes between domains are paid for.  Only the first
have a place.  An entry that isn't sure whether another goes before it assumes so:
of those that take a place the last one counts all others, so there are never more
than places, whatever each knows, as long as it knows who the others are.
"""

from collections.abc import Iterable

import msgspec
import xxhash


class Sharer(msgspec.Struct, frozen=True):
    """An entry that shares limits; `domain` is empty while it isn't known."""

    name: str
    domain: str


def count_before(
    *, own: Sharer, others: Iterable[Sharer], key: str, domain: str
) -> int:
    """Return how many entries may go before one at an endpoint.

    `key` stands for the endpoint, `domain` is its failure domain.
    """
    place = (own.domain != domain, _rank(key, own.name))
    return sum(
        (one.domain not in {"", domain}, _rank(key, one.name)) < place for one in others
    )


def _rank(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
