"""The object API over HTTP.

Each daemon has one client.  Its calls come out of a budget, a gate holds
them back while the platform keeps failing, and every failure becomes
`Unavailable`, which says whether a write may have taken effect.
"""

import random
import time
from collections.abc import Callable
from urllib.parse import quote

import logbook
import msgspec

from .budget import Backoff, CallBudget, CircuitBreaker
from .http import Answer, HttpCaller, NoAnswer
from .objects import (
    MAX_BODY_BYTES,
    Absent,
    Conflict,
    Found,
    Names,
    Unavailable,
    Unchanged,
    Written,
)
from .replies import make_path, read_names, read_object, read_write, refuse

log = logbook.Logger("objects")

CALL_SECONDS = 2.0

# How much longer than the platform's own timeout a watch may take.
WATCH_EXTRA_SECONDS = 2.0

# A daemon needs about one watch and a few writes a second; a hundred at
# once lets it claim and pin during a burst of arrivals.
DEFAULT_PER_SECOND = 50.0
DEFAULT_BURST = 100.0

# The longest pause is the longest that a daemon stays away from a platform
# which is back; the herd of a few hundred daemons spreads over half of it.
BACKOFF_BASE = 0.1
BACKOFF_MOST = 4.0

MAX_CLIENTS = 32
CALLER_HEADER = "X-Caller"
TOO_MANY_REQUESTS = 429
FIRST_SERVER_ERROR = 500


class HttpObjectStore:
    """The `ObjectStore` protocol over the platform's HTTP.

    `url` is the base address without `/objects`, `caller` names the
    daemon to the platform, `jitter` returns numbers from 0 to 1 for the
    jitter, `timeout` is how long a call may take in seconds.
    """

    __slots__ = (
        "_budget",
        "_chance",
        "_clock",
        "_gate",
        "_headers",
        "_http",
        "_timeout",
    )

    def __init__(
        self,
        *,
        url: str,
        caller: str = "",
        budget: CallBudget | None = None,
        gate: CircuitBreaker | None = None,
        clock: Callable[[], float] = time.monotonic,
        jitter: Callable[[], float] = random.random,
        timeout: float = CALL_SECONDS,
    ) -> None:
        self._http = HttpCaller(url=url, max_clients=MAX_CLIENTS)
        self._headers = {CALLER_HEADER: caller}
        self._budget = budget or CallBudget(
            per_second=DEFAULT_PER_SECOND, burst=DEFAULT_BURST
        )
        backoff = Backoff(base=BACKOFF_BASE, most=BACKOFF_MOST)
        self._gate = gate or CircuitBreaker(backoff=backoff)
        self._clock = clock
        self._chance = jitter
        self._timeout = timeout

    def close(self) -> None:
        """Close all connections; calls under way end as unavailable."""
        self._http.close()

    async def read(self, *, kind: str, name: str) -> Found | Absent | Unavailable:
        """Return an object."""
        answer = await self._call(path=make_path(kind, name))
        return read_object(answer)

    async def create(
        self, *, kind: str, name: str, body: bytes
    ) -> Written | Conflict | Unavailable:
        """Make an object that must not exist yet."""
        return await self._write(
            path=make_path(kind, name), condition={"If-None-Match": "*"}, body=body
        )

    async def replace(
        self, *, kind: str, name: str, body: bytes, version: int
    ) -> Written | Conflict | Unavailable:
        """Change an object that must still have this version."""
        return await self._write(
            path=make_path(kind, name),
            condition={"If-Match": f'"{version}"'},
            body=body,
        )

    async def remove(
        self, *, kind: str, name: str, version: int
    ) -> Written | Conflict | Unavailable:
        """Delete an object that must still have this version."""
        answer = await self._call(
            path=make_path(kind, name),
            method="DELETE",
            headers={"If-Match": f'"{version}"'},
        )
        return read_write(answer)

    async def watch(
        self, *, kind: str, name: str, version: int, timeout: float
    ) -> Found | Absent | Unchanged | Unavailable:
        """Wait until an object has another version than this one.

        Changes made while nobody watched show at once, since the platform
        compares versions.  The wait ends early, unchanged, when it is the
        first call after failures.
        """
        # The first call behind a shut gate holds all others back until it
        # ends, so it must not be a long one.
        wait = timeout if self._gate.is_open else 0.0
        answer = await self._call(
            path=f"{make_path(kind, name)}?watch={version}&timeout={wait}",
            timeout=wait + WATCH_EXTRA_SECONDS,
        )
        match answer:
            case Answer(status=304):
                return Unchanged()
            case _:
                return read_object(answer)

    async def find_names(self, *, kind: str, prefix: str) -> Names | Unavailable:
        """Return the names of a kind that start with `prefix`."""
        answer = await self._call(
            path=f"/objects/{quote(kind, safe='')}?prefix={quote(prefix, safe='')}"
        )
        match answer:
            case Answer(status=200, body=body):
                return read_names(body)
            case Answer():
                return refuse(answer)
            case Unavailable():
                return answer

    async def _write(
        self, *, path: str, condition: dict[str, str], body: bytes
    ) -> Written | Conflict | Unavailable:
        if len(body) > MAX_BODY_BYTES:
            return Unavailable(reason=f"{len(body)} bytes are too many for an object")
        answer = await self._call(path=path, method="PUT", headers=condition, body=body)
        return read_write(answer)

    async def _call(
        self,
        *,
        path: str,
        method: str = "GET",
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout: float | None = None,
    ) -> Answer | Unavailable:
        timeout = self._timeout if timeout is None else timeout
        held = self._hold(now=self._clock())
        if held is not None:
            return held
        self._gate.begin(now=self._clock(), timeout=timeout)
        is_read = method == "GET"
        outcome = await self._http.fetch(
            path=path,
            method=method,
            headers={**self._headers, **(headers or {})},
            body=body,
            timeout=timeout,
            repeatable=is_read,
        )
        return self._note(outcome, is_read=is_read)

    def _hold(self, *, now: float) -> Unavailable | None:
        wait = self._gate.find_wait(now=now)
        if wait:
            return Unavailable(reason="waiting after failures", retry_after=wait)
        if not self._budget.admit(now=now):
            wait = self._budget.find_wait(now=now)
            return Unavailable(reason="call budget is spent", retry_after=wait)
        return None

    def _note(
        self, outcome: Answer | NoAnswer, *, is_read: bool
    ) -> Answer | Unavailable:
        match outcome:
            case Answer(status=status) if status == TOO_MANY_REQUESTS:
                refused = refuse(outcome)
                self._fail(retry_after=refused.retry_after)
                return refused
            case Answer(status=status) if status >= FIRST_SERVER_ERROR:
                self._fail()
                # A gateway may answer so after the write got through.
                return msgspec.structs.replace(
                    refuse(outcome), maybe_written=not is_read
                )
            case Answer():
                self._gate.succeed()
                return outcome
            case NoAnswer(reason=reason, sent=sent):
                self._fail()
                log.warning("objects: no answer: {}", reason)
                return Unavailable(reason=reason, maybe_written=sent and not is_read)

    def _fail(self, *, retry_after: float = 0.0) -> None:
        self._gate.fail(
            now=self._clock(), jitter=self._chance(), retry_after=retry_after
        )
