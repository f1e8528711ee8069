"""Runtime checks of the promises, made where the code decides about them.

In tests a broken invariant raises an error.  In production it is counted and
logged instead, because a bug in the router must not cost other callers their
answers.
"""

import collections
import enum
import os

import logbook

from .errors import EelgrassrackError

log = logbook.Logger("invariants")

STRICT_VARIABLE = "EELGRASSRACK_STRICT"


class Promise(enum.Enum):
    """The promises; the code decides about each of them in one place."""

    PERMITTED = "permitted model and version"
    WITHDRAWN = "withdrawn version gets no new work"
    SESSION = "session keeps its version"
    BILLED_ONCE = "billed once"
    COLD_START = "cold endpoint gets no more than it bears"
    DOMAIN_OUT = "domain out gets no new work"
    WHOLE_ANSWER = "whole answer to its own request"
    NOT_RUN = "not run is true"
    AT_MOST_ONCE = "at most once"
    LEAVING = "leaving endpoint gets no new work"
    GRACEFUL_STOP = "planned stop cuts no request"
    CONFIGURATION = "configuration never reverts"


class InvariantError(EelgrassrackError):
    """A bug in the router was about to break a promise."""


class Invariants:
    """Check promises and count the results.

    A broken promise is logged; with `strict` it also raises `InvariantError`.
    `strict` defaults to whether `EELGRASSRACK_STRICT` is in the environment.
    """

    __slots__ = ("broken", "checked", "strict")

    def __init__(self, *, strict: bool | None = None) -> None:
        self.strict = STRICT_VARIABLE in os.environ if strict is None else strict
        self.checked: collections.Counter[Promise] = collections.Counter()
        self.broken: collections.Counter[Promise] = collections.Counter()

    def check(self, promise: Promise, holds: bool, detail: str = "") -> bool:
        """Return `holds`; count the check, and log or raise if it is false."""
        self.checked[promise] += 1
        if holds:
            return True
        self.broken[promise] += 1
        log.error("invariants: broken: {}: {}", promise.value, detail)
        if self.strict:
            raise InvariantError(f"{promise.value}: {detail}")
        return False
