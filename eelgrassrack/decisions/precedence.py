"""The order in which entries may use an endpoint that can't serve all of them.

An endpoint that returns cold may handle twenty requests per second while sixty entries
find it idle; one request from each entry would crash it.

All entries compute the same order for an endpoint, with those of its failure domain
first, since bytes between domains cost money.  Only the first entries may use it.  An
entry that isn't sure whether another one precedes it assumes that it does.  The last
entry that uses the endpoint has then counted all others that do, so the limit holds
whatever each entry knows of the others' domains, as long as it knows their names.
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
    """Return how many of the other entries may precede this one at an endpoint.

    `key` identifies the endpoint, `domain` is its failure domain.
    """
    before, _ = list_before(own=own, others=others, key=key, domain=domain)
    return len(before)


def list_before(
    *, own: Sharer, others: Iterable[Sharer], key: str, domain: str
) -> tuple[list[Sharer], list[Sharer]]:
    """Return the other entries that may precede this one, and those behind it.

    Both are in the order in which they may use the endpoint.
    """

    def find_position(entry: Sharer) -> tuple[bool, int]:
        return (entry.domain not in {"", domain}, _rank(key, entry.name))

    ranked = sorted((find_position(entry), entry.name, entry) for entry in others)
    own_position = (own.domain != domain, _rank(key, own.name))
    before = [entry for position, _, entry in ranked if position < own_position]
    return before, [entry for _, _, entry in ranked[len(before) :]]


def _rank(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
