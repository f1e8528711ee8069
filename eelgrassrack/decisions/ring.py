"""A consistent hash ring that maps sessions and prompt prefixes to endpoints.

Each request of a session should reach the endpoint that caches its prompt prefix, while
endpoints join and leave.  The hash modulo the number of endpoints would move nearly all
sessions at each change; with the ring only the sessions of the endpoint that joined or
left move.  Rendezvous hashing has the same property, but computes a hash per endpoint
for each request, which takes more than 100 microseconds with 400 endpoints.
"""

import bisect
import itertools
from collections.abc import Collection, Iterator

import xxhash

# Points per endpoint.  The shares of 400 endpoints then differ by about an eighth (one
# over the square root of the number); more points slow down changes of the ring.
POINTS_PER_NAME = 64


class Ring:
    """Endpoint names on a ring of hashes."""

    __slots__ = ("_names", "_points")

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._points: list[tuple[int, str]] = []

    def add(self, names: Collection[str]) -> None:
        """Add the names that aren't on the ring yet."""
        if self._names.issuperset(names):
            return
        added = set(names) - self._names
        self._names |= added
        self._points += [
            (_hash(f"{name}\0{number}"), name)
            for name in added
            for number in range(POINTS_PER_NAME)
        ]
        self._points.sort()

    def remove(self, name: str) -> None:
        """Remove a name from the ring."""
        if name in self._names:
            self._names.remove(name)
            self._points = [point for point in self._points if point[1] != name]

    def walk(self, key: str) -> Iterator[str]:
        """Yield names in ring order from the key's position, some more than once."""
        start = bisect.bisect(self._points, (_hash(key), ""))
        indices = itertools.chain(range(start, len(self._points)), range(start))
        return (self._points[index][1] for index in indices)


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
