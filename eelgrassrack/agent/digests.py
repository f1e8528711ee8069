"""A compact set of names that stores a sorted 64-bit digest of each.

A digest collision makes it report a name that was never added, about once in
billions.  It never misses a name that was added.
"""

import array
import bisect

import xxhash


class Digests:
    """A set of names, stored as 64-bit digests."""

    __slots__ = ("_sorted",)

    def __init__(self) -> None:
        self._sorted = array.array("Q")

    def __len__(self) -> int:
        """Return the number of names in the set."""
        return len(self._sorted)

    def __contains__(self, name: str) -> bool:
        """Return whether a name is in the set."""
        digest = digest_name(name)
        index = bisect.bisect_left(self._sorted, digest)
        return index < len(self._sorted) and self._sorted[index] == digest

    def add(self, name: str) -> None:
        """Add a name to the set."""
        if name not in self:
            bisect.insort(self._sorted, digest_name(name))


def digest_name(name: str) -> int:
    """Return the 64-bit digest of a name."""
    return xxhash.xxh3_64_intdigest(name.encode())
