"""Ids of requests and attempts."""

import itertools


class Identity:
    """Generates unique ids.

    They contain the incarnation, so that the ids of two entries, or of two
    starts of the same entry, differ.
    """

    __slots__ = ("_attempts", "_requests", "incarnation")

    def __init__(self, *, incarnation: str) -> None:
        self.incarnation = incarnation
        self._requests = itertools.count(1)
        self._attempts = itertools.count(1)

    def make_request(self) -> str:
        """Return a new request id."""
        return f"{self.incarnation}-r{next(self._requests)}"

    def make_attempt(self) -> str:
        """Return a new attempt id."""
        return f"{self.incarnation}-a{next(self._attempts)}"
