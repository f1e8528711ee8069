"""Which endpoints get requests that may not be repeated.

Load pattern: an endpoint looks sound, by its entry and its health, and loses
answers for some seconds: it resets each connection, or runs requests and says
nothing.  What may be repeated goes on elsewhere, and its caller notices little.
What may not has failed with the first loss, and each of thirty entries would
find out by losses of its own.

One loss anywhere is therefore told to all entries, and requests that may not be
repeated avoid the endpoint for a while.  Repeatable ones still go there and show
whether it has become sound.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

T = TypeVar("T")

# How long one loss counts.  Faults of this kind last some seconds, and an
# endpoint that got sound meanwhile is missed by a small part of the work only.
SUSPICION_SECONDS = 3.0


def avoid_suspected(
    endpoints: Iterable[T], *, is_suspected: Callable[[T], bool], is_repeatable: bool
) -> list[T]:
    """Return the endpoints that may get a request, all if all are doubted."""
    endpoints = list(endpoints)
    if is_repeatable:
        return endpoints
    return [one for one in endpoints if not is_suspected(one)] or endpoints
