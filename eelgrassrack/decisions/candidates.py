"""The endpoints among which one is chosen, where there are very many.

Weighing each of thousands of endpoints for each request would take longer than the
rest of its processing.  The best of some dozens is nearly as good as the best of all,
and entries that draw different ones don't all choose the same.  The endpoint that is
to cache a shared prefix has to be the same for all requests with that prefix, so it is
found among all endpoints.
"""

from collections.abc import Sequence
from typing import TypeVar

import xxhash

T = TypeVar("T")

# Up to this number of endpoints all of them are weighed.
MAX_WEIGHED = 128

# Otherwise so many of the entry's own failure domain and of the others are.
NEAR_WEIGHED = 48
FAR_WEIGHED = 16


def draw_candidates(
    *, near: Sequence[T], far: Sequence[T], request: str
) -> Sequence[T]:
    """Return the endpoints to weigh for a request, the same at each call."""
    if len(near) + len(far) <= MAX_WEIGHED:
        return [*near, *far]
    start = xxhash.xxh3_64_intdigest(request.encode())
    near_count = max(NEAR_WEIGHED, NEAR_WEIGHED + FAR_WEIGHED - len(far))
    far_count = max(FAR_WEIGHED, NEAR_WEIGHED + FAR_WEIGHED - len(near))
    return _draw(near, near_count, start) + _draw(far, far_count, start)


def _draw(endpoints: Sequence[T], count: int, start: int) -> list[T]:
    """Return `count` endpoints at equal distances, from one that `start` picks."""
    total = len(endpoints)
    if total <= count:
        return list(endpoints)
    return [
        endpoints[(start + number * total // count) % total] for number in range(count)
    ]


def find_home(names: Sequence[str], affinity: str) -> str:
    """Return the endpoint that is to cache a shared prefix."""
    return max(names, key=lambda name: rank_endpoint(affinity, name))


def rank_endpoint(key: str, name: str) -> int:
    """Return the rendezvous hash of an endpoint for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
