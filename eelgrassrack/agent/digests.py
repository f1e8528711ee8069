"""A compact set of names: eight bytes each, in order.

It may take a name for another one's (once in billions), never miss one.
"""

import array
import bisect

import xxhash


class Digests:
    """The 64-bit digests of names."""

    __slots__ = ("_sorted",)

    def __init__(self) -> None:
        self._sorted = array.array("Q")

    def __len__(self) -> int:
        """Return how many names are held."""
        return len(self._sorted)

    def __contains__(self, name: str) -> bool:
        """Tell whether a name is held."""
        digest = digest_name(name)
        index = bisect.bisect_left(self._sorted, digest)
        return index < len(self._sorted) and self._sorted[index] == digest

    def add(self, name: str) -> None:
        """Hold a name."""
        if name not in self:
            bisect.insort(self._sorted, digest_name(name))


def digest_name(name: str) -> int:
    """Return the 64-bit digest of a name."""
    return xxhash.xxh3_64_intdigest(name.encode())
