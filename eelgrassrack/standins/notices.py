"""What stand-in endpoints ask of their callers, and the requests that reach them.

Without it no test could show that a request reached an endpoint that wants none.
"""

import time
from typing import NamedTuple

import tornado.web

from ..platform.headers import LEAVING, LIMIT, RETRY_AFTER, UNAVAILABLE


class ReachedRequest(NamedTuple):
    """A request of any kind that reached an endpoint at `at` of the monotonic clock."""

    path: str
    at: float


class Notices:
    """The notices of one endpoint; tests set its public attributes.

    With `rest_seconds` above zero, requests other than health polls are turned away
    with that `Retry-After`.  With `leaving`, all answers say that it leaves, and
    with `limit` they name that number of requests a second.
    `reached` holds all requests, `turned_away` those turned away.
    """

    def __init__(self) -> None:
        self.rest_seconds = 0.0
        self.leaving = False
        self.limit = ""
        self.reached: list[ReachedRequest] = []
        self.turned_away: list[ReachedRequest] = []

    def note(self, handler: tornado.web.RequestHandler) -> None:
        """Record a request that reached the endpoint, and begin its answer's head."""
        if self.leaving:
            handler.set_header(LEAVING, "1")
        if self.limit:
            handler.set_header(LIMIT, self.limit)
        self.reached.append(make_record(handler))

    def turn_away(self, handler: tornado.web.RequestHandler) -> bool:
        """Answer a request with 503 if the endpoint rests; return whether it does."""
        if self.rest_seconds <= 0.0:
            return False
        self.turned_away.append(make_record(handler))
        handler.set_status(UNAVAILABLE)
        handler.set_header(RETRY_AFTER, f"{self.rest_seconds:g}")
        handler.finish()
        return True


def make_record(handler: tornado.web.RequestHandler) -> ReachedRequest:
    """Return the record of a request that arrives now."""
    return ReachedRequest(path=handler.request.path, at=time.monotonic())
