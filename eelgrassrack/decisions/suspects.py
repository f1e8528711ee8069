"""Suspected endpoints: those that lost an answer lately get no unrepeatable requests.

An endpoint that is registered and passes its health checks may lose answers for some
seconds: it resets every connection, or runs requests and doesn't respond.  Repeatable
requests are retried elsewhere and their callers notice little.  Requests that may not
be repeated fail with the first loss, and each of thirty entries would learn of the
fault by losses of its own.

A loss at one entry is therefore reported to all entries, and requests that may not be
repeated avoid the endpoint for a while.  Repeatable requests still go there and show
when it has recovered.

Suspected requests, which may crash endpoints, are the subject of `quarantine`.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

T = TypeVar("T")

# How long an endpoint is suspected after a loss.  Faults of this kind last some
# seconds, and if an endpoint recovers sooner only a small share of requests misses it.
SUSPICION_SECONDS = 3.0

# An endpoint has room until it has this multiple of the requests that it runs at once.
ROOM_FACTOR = 2


def has_room(*, running: int, slots: int) -> bool:
    """Return whether one more request waits for about one other at most."""
    return running < slots * ROOM_FACTOR


def avoid_suspected(
    endpoints: Iterable[T],
    *,
    is_suspected: Callable[[T], bool],
    has_room: Callable[[T], bool],
    is_repeatable: bool,
) -> list[T]:
    """Return the endpoints that may get a request.

    Those that aren't suspected are enough if one of them has room.
    """
    endpoints = list(endpoints)
    if is_repeatable:
        return endpoints
    trusted = [endpoint for endpoint in endpoints if not is_suspected(endpoint)]
    return trusted if any(map(has_room, trusted)) else endpoints
