"""Checks that a request's body is as long as what was read from its caller.

The number of bytes goes with a body from the caller's connection to the endpoint's.  A
body of another length isn't sent to an endpoint.
"""

import math

import logbook

from .errors import EelgrassrackError

log = logbook.Logger("bodies")

# The least time between two log lines on bodies that differ.
LOG_SECONDS = 1.0


class IncompleteBodyError(EelgrassrackError):
    """A request's body isn't all that was read from its caller, so it must not run."""


def check_size(body: bytes, *, size: int) -> None:
    """Raise `IncompleteBodyError` unless the body has `size` bytes."""
    if len(body) != size:
        raise IncompleteBodyError(f"a body of {size} bytes has {len(body)}")


class BodyFaults:
    """Counts the requests that weren't run for their bodies, and logs them."""

    __slots__ = ("_logged_at", "_unlogged")

    def __init__(self) -> None:
        self._logged_at = -math.inf
        self._unlogged = 0

    def note(self, error: IncompleteBodyError, *, request: str, now: float) -> None:
        """Note one of them; `now` is in seconds."""
        self._unlogged += 1
        if now < self._logged_at + LOG_SECONDS:
            return
        log.warning(
            "bodies: {count} requests weren't run, at last {request}: {error}",
            count=self._unlogged,
            request=request,
            error=str(error),
        )
        self._logged_at = now
        self._unlogged = 0
