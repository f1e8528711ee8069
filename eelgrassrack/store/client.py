"""HTTP client of the object API.

Each daemon has one client.  A token bucket limits its calls, a circuit breaker
holds them back while the platform keeps failing, and every failure becomes
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
from .replies import make_path, make_unavailable, read_names, read_object, read_write

log = logbook.Logger("objects")

CALL_SECONDS = 2.0

# How much longer than the timeout given to the platform a watch may take.
WATCH_EXTRA_SECONDS = 2.0

# A daemon needs about one watch and a few writes a second.  A burst of a hundred
# covers the claims and pins of a burst of arrivals.
DEFAULT_PER_SECOND = 50.0
DEFAULT_BURST = 100.0

# The maximum is also how long a daemon may keep away from a platform that is back.
# The retries of a few hundred daemons spread over half of it.
BACKOFF_BASE_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 4.0

MAX_CLIENTS = 32
CALLER_HEADER = "X-Caller"
TOO_MANY_REQUESTS = 429
FIRST_SERVER_ERROR = 500


class HttpObjectStore:
    """The `ObjectStore` protocol over HTTP.

    `url` is the base address without `/objects`, `caller` identifies the daemon to
    the platform, `jitter` returns random numbers from 0 to 1 for the backoff, and
    `timeout` limits each call, in seconds.
    """

    __slots__ = (
        "_breaker",
        "_budget",
        "_clock",
        "_headers",
        "_http",
        "_jitter",
        "_timeout",
    )

    def __init__(
        self,
        *,
        url: str,
        caller: str = "",
        budget: CallBudget | None = None,
        breaker: CircuitBreaker | None = None,
        clock: Callable[[], float] = time.monotonic,
        jitter: Callable[[], float] = random.random,
        timeout: float = CALL_SECONDS,
    ) -> None:
        self._http = HttpCaller(url=url, max_clients=MAX_CLIENTS)
        self._headers = {CALLER_HEADER: caller}
        self._budget = budget or CallBudget(
            per_second=DEFAULT_PER_SECOND, burst=DEFAULT_BURST
        )
        backoff = Backoff(base=BACKOFF_BASE_SECONDS, maximum=BACKOFF_MAX_SECONDS)
        self._breaker = breaker or CircuitBreaker(backoff=backoff)
        self._clock = clock
        self._jitter = jitter
        self._timeout = timeout

    def close(self) -> None:
        """Close all connections; calls in flight return `Unavailable`."""
        self._http.close()

    async def read(self, *, kind: str, name: str) -> Found | Absent | Unavailable:
        """Return an object."""
        answer = await self._call(path=make_path(kind, name))
        return read_object(answer)

    async def create(
        self, *, kind: str, name: str, body: bytes
    ) -> Written | Conflict | Unavailable:
        """Create an object that must not exist yet."""
        return await self._write(
            path=make_path(kind, name), condition={"If-None-Match": "*"}, body=body
        )

    async def replace(
        self, *, kind: str, name: str, body: bytes, version: int
    ) -> Written | Conflict | Unavailable:
        """Replace an object that must still have this version."""
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

        Since the platform compares versions, a change that was made while nobody
        watched is returned at once.  As the probe of an open circuit, the watch
        doesn't wait and may return `Unchanged` early.
        """
        # The probe holds back all other calls until it ends, so it must be short.
        wait = timeout if self._breaker.is_closed else 0.0
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
                return make_unavailable(answer)
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
        refused = self._check_limits(now=self._clock())
        if refused is not None:
            return refused
        self._breaker.begin(now=self._clock(), timeout=timeout)
        is_read = method == "GET"
        outcome = await self._http.fetch(
            path=path,
            method=method,
            headers={**self._headers, **(headers or {})},
            body=body,
            timeout=timeout,
            repeatable=is_read,
        )
        return self._record_outcome(outcome, is_read=is_read)

    def _check_limits(self, *, now: float) -> Unavailable | None:
        """Take a token for one call, or return why it isn't admitted."""
        wait = self._breaker.find_wait(now=now)
        if wait:
            return Unavailable(reason="waiting after failures", retry_after=wait)
        if not self._budget.admit(now=now):
            wait = self._budget.find_wait(now=now)
            return Unavailable(reason="call budget is spent", retry_after=wait)
        return None

    def _record_outcome(
        self, outcome: Answer | NoAnswer, *, is_read: bool
    ) -> Answer | Unavailable:
        """Report the outcome of a call to the breaker and return its result."""
        match outcome:
            case Answer(status=status) if status == TOO_MANY_REQUESTS:
                refused = make_unavailable(outcome)
                self._fail(retry_after=refused.retry_after)
                return refused
            case Answer(status=status) if status >= FIRST_SERVER_ERROR:
                self._fail()
                # A proxy may respond with 5xx after the write reached the platform.
                return msgspec.structs.replace(
                    make_unavailable(outcome), maybe_written=not is_read
                )
            case Answer():
                self._breaker.succeed()
                return outcome
            case NoAnswer(reason=reason, sent=sent):
                self._fail()
                log.warning("objects: no answer: {}", reason)
                return Unavailable(reason=reason, maybe_written=sent and not is_read)

    def _fail(self, *, retry_after: float = 0.0) -> None:
        self._breaker.fail(
            now=self._clock(), jitter=self._jitter(), retry_after=retry_after
        )
