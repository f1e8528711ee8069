"""Pool of kept-alive connections to endpoints.

Each endpoint gets tens of short requests a second.  A new connection for each would
cost a round trip, briefly a slot of the endpoint, and one of the few connections that
the endpoint accepts.
"""

import asyncio
import math
from collections.abc import Callable, Coroutine, Iterable

import logbook

from ...decisions.idle import choose_idle_seconds
from ..errors import BrokenError, ConnectError
from ..requests.messages import ResponseHead
from .connection import Connection, open_connection, refuse_to_abandon
from .endpoint import Endpoint
from .latewrites import LateWrites

log = logbook.Logger("pool")

# A round trip takes 2 ms, and a lost SYN is retransmitted after a second.  Choosing
# another endpoint costs less than waiting for the retransmission.
CONNECT_TIMEOUT_SECONDS = 0.6

# An endpoint with requests in flight that sends nothing for this long is probed with a
# new connection.  The usual pause between events is far shorter.
SILENT_SECONDS = 0.25

# How long a probe may take to connect.
PROBE_TIMEOUT_SECONDS = 0.15

# How long a witness may take to connect.  If it takes nearly as long as a probe may,
# the probe failed by chance.
WITNESS_TIMEOUT_SECONDS = 0.075

# How long it is remembered when an endpoint last answered.
HEARD_SECONDS = 60.0

# Time between probes of the same endpoint.
PROBE_INTERVAL_SECONDS = 1.0

# Time between a broken connection and the check of its endpoint.  A crashing endpoint
# closes its connections and its listening socket one after the other.
CHECK_DELAY_SECONDS = 0.05

# An endpoint that closes a connection within this time of an answer may have crashed.
# Idle times that endpoints state are longer.
CRASHING_SECONDS = 0.9

# A probe's connection is kept this long for the next request.
PROBED_IDLE_SECONDS = 2.0


class ConnectionPool:
    """Connections to endpoints, kept separately for each lifetime of an endpoint.

    `find_witnesses` returns the endpoints that are asked for comparison if one seems
    unreachable.  `note_broken` gets an endpoint that closes a connection right after an
    answer, `note_down` one that accepts no connections, and `is_refused`.
    """

    __slots__ = (
        "_being_checked",
        "_find_witnesses",
        "_heard_at",
        "_idle",
        "_idle_seconds",
        "_in_use",
        "_late_writes",
        "_note_broken",
        "_note_down",
        "_probe_tasks",
    )

    def __init__(
        self,
        *,
        find_witnesses: Callable[[Endpoint], Iterable[Endpoint]],
        note_broken: Callable[[Endpoint], None],
        note_down: Callable[..., None],
    ) -> None:
        self._find_witnesses = find_witnesses
        self._note_broken = note_broken
        self._note_down = note_down
        self._heard_at: dict[tuple[str, int], float] = {}
        # For how many seconds each endpoint lets a connection be idle, as it stated.
        self._idle_seconds: dict[tuple[str, int], float] = {}
        self._idle: dict[tuple[str, int], list[Connection]] = {}
        self._in_use: dict[Endpoint, set[Connection]] = {}
        self._being_checked: set[Endpoint] = set()
        self._probe_tasks: set[asyncio.Task] = set()
        self._late_writes = LateWrites()

    async def acquire(self, *, endpoint: Endpoint, now: float) -> Connection:
        """Return a kept connection or a new one; raise `ConnectError`."""
        connection = self._take_kept(endpoint, now)
        if connection is None:
            connection = await open_connection(
                address=endpoint.address, timeout=CONNECT_TIMEOUT_SECONDS
            )
        connection.active_at = now
        self._in_use.setdefault(endpoint, set()).add(connection)
        return connection

    def release(self, *, endpoint: Endpoint, connection: Connection) -> None:
        """Mark a connection as unused, and abort it unless it was returned."""
        busy = self._in_use.get(endpoint, set())
        busy.discard(connection)
        connection.may_abandon = refuse_to_abandon
        if connection.received:
            self._heard_at[endpoint.lifetime] = connection.active_at
        if not busy:
            self._in_use.pop(endpoint, None)
        if not connection.is_kept:
            connection.abort()

    def probe_silent(
        self, *, now: float, note_unreachable: Callable[[Endpoint], None]
    ) -> None:
        """Probe endpoints that have requests in flight and send nothing.

        Requests to an endpoint that lost power or its network path would wait for
        seconds.  An endpoint that is only busy still accepts a connection at once.
        `note_unreachable` is called for endpoints that can't be connected to.
        """
        for endpoint, busy in tuple(self._in_use.items()):
            active_at = max(connection.active_at for connection in busy)
            if now < active_at + SILENT_SECONDS:
                continue
            probed_at = max(connection.probed_at for connection in busy)
            if probed_at > active_at and now < probed_at + PROBE_INTERVAL_SECONDS:
                continue
            for connection in busy:
                connection.probed_at = now
            self._start(self._probe(endpoint, note_unreachable))

    def check(self, endpoint: Endpoint) -> None:
        """Check whether an endpoint that broke a connection is down.

        Without the check a crash would show only when another request went there, and
        queries of death would mostly go unnoticed.
        """
        if endpoint not in self._being_checked:
            self._being_checked.add(endpoint)
            self._start(self._check(endpoint))

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)

    async def _check(self, endpoint: Endpoint) -> None:
        await asyncio.sleep(CHECK_DELAY_SECONDS)
        # Connections that break from now on cause another check.
        self._being_checked.discard(endpoint)
        try:
            connection = await _connect_twice(endpoint.address)
        except ConnectError as error:
            if await self._is_confirmed(endpoint, error):
                log.info("pool: {} is down: {}", endpoint.name, error)
                self._note_down(endpoint, is_refused=error.is_refused)
            return
        self._keep_probed(endpoint, connection)

    async def _probe(
        self, endpoint: Endpoint, note_unreachable: Callable[[Endpoint], None]
    ) -> None:
        try:
            connection = await _connect_twice(endpoint.address)
        except ConnectError as error:
            if not await self._is_confirmed(endpoint, error):
                return
            log.info("pool: {} is out of reach: {}", endpoint.name, error)
            note_unreachable(endpoint)
            self.forget(lifetime=endpoint.lifetime)
            for busy in self._in_use.get(endpoint, ()):
                if busy.may_abandon():
                    busy.abandon(BrokenError("the endpoint is out of reach"))
            return
        self._keep_probed(endpoint, connection)

    async def _is_confirmed(self, endpoint: Endpoint, error: ConnectError) -> bool:
        """Return whether an endpoint is at fault that couldn't be connected to.

        Without an answer from it, a witness has to answer in time.
        """
        return error.is_refused or await self.has_witness(endpoint)

    async def has_witness(self, endpoint: Endpoint) -> bool:
        """Return whether a witness shows that silence is an endpoint's own."""
        witnesses = tuple(self._find_witnesses(endpoint))
        found = await asyncio.gather(*map(self._ask_witness, witnesses))
        if any(found):
            return True
        names = ", ".join(witness.name for witness in witnesses)
        log.info(
            "pool: {} doesn't answer, nor does any witness: {}",
            endpoint.name,
            names or "there is none",
        )
        return False

    async def _ask_witness(self, witness: Endpoint) -> bool:
        """Return whether an endpoint accepts a connection, or refuses it, in time.

        If this process itself is late, nothing is shown.
        """
        loop = asyncio.get_running_loop()
        latest = loop.time() + WITNESS_TIMEOUT_SECONDS
        try:
            connection = await open_connection(
                address=witness.address, timeout=WITNESS_TIMEOUT_SECONDS
            )
        except ConnectError as error:
            return error.is_refused and loop.time() <= latest
        self._keep_probed(witness, connection)
        return loop.time() <= latest

    def find_heard_at(self, endpoint: Endpoint) -> float:
        """Return the loop time at which an endpoint last sent part of an answer.

        It is minus infinity if it never did.
        """
        answering = (
            connection.active_at
            for connection in self._in_use.get(endpoint, ())
            if connection.received
        )
        known = self._heard_at.get(endpoint.lifetime, -math.inf)
        return max(answering, default=known)

    def _take_kept(self, endpoint: Endpoint, now: float) -> Connection | None:
        kept = self._idle.get(endpoint.lifetime, [])
        while kept:
            connection = kept.pop()
            if _is_usable(connection, now):
                connection.end_idle()
                return connection
            connection.close()
        return None

    def return_connection(
        self,
        *,
        endpoint: Endpoint,
        connection: Connection,
        head: ResponseHead,
    ) -> None:
        """Keep a connection after a complete response if it can be reused.

        Its request is written to its end before.
        """
        if connection.is_writing:
            self._late_writes.add(
                connection, lambda: self._reuse(endpoint, connection, head)
            )
            return
        self._reuse(endpoint, connection, head)

    def _reuse(
        self, endpoint: Endpoint, connection: Connection, head: ResponseHead
    ) -> None:
        if head.will_close or not connection.release():
            connection.close()
            return
        seconds = choose_idle_seconds(head.keep_alive)
        self._idle_seconds[endpoint.lifetime] = seconds
        now = asyncio.get_running_loop().time()
        self._keep(endpoint, connection, until=now + seconds)

    def _keep_probed(self, endpoint: Endpoint, connection: Connection) -> None:
        """Keep a probe's connection, for no longer than its endpoint allows."""
        stated = self._idle_seconds.get(endpoint.lifetime, PROBED_IDLE_SECONDS)
        now = asyncio.get_running_loop().time()
        self._keep(endpoint, connection, until=now + min(stated, PROBED_IDLE_SECONDS))

    def _keep(
        self, endpoint: Endpoint, connection: Connection, *, until: float
    ) -> None:
        connection.idle_until = until
        connection.watch_idle(lambda: self._note_idle_closed(endpoint, connection))
        self._idle.setdefault(endpoint.lifetime, []).append(connection)

    def _note_idle_closed(self, endpoint: Endpoint, connection: Connection) -> None:
        """Check an endpoint that closed a connection right after an answer.

        It may have crashed by the answer, with no other request to show it.
        """
        now = asyncio.get_running_loop().time()
        if connection.received and now < connection.active_at + CRASHING_SECONDS:
            self._note_broken(endpoint)
            self.check(endpoint)

    def prune(self, *, now: float) -> None:
        """Close connections that were idle for too long or can't be used any more.

        Forget when endpoints were heard that have been silent for long.
        """
        for lifetime, heard_at in list(self._heard_at.items()):
            if now > heard_at + HEARD_SECONDS:
                del self._heard_at[lifetime]
                self._idle_seconds.pop(lifetime, None)
        for lifetime, kept in list(self._idle.items()):
            usable = [idle for idle in kept if _is_usable(idle, now)]
            for connection in set(kept) - set(usable):
                connection.close()
            self._idle[lifetime] = usable
            if not usable:
                del self._idle[lifetime]

    def close(self) -> None:
        """Close all idle connections, and reset those on which a request is written."""
        self._late_writes.close()
        for lifetime in list(self._idle):
            self.forget(lifetime=lifetime)

    def forget(self, *, lifetime: tuple[str, int]) -> None:
        """Close the idle connections of an endpoint that is gone."""
        for connection in self._idle.pop(lifetime, ()):
            connection.close()
        self._heard_at.pop(lifetime, None)
        self._idle_seconds.pop(lifetime, None)


def _is_usable(connection: Connection, now: float) -> bool:
    if connection.is_closed or connection.has_stray_bytes:
        return False
    return now < connection.idle_until


async def _connect_twice(address: tuple[str, int]) -> Connection:
    """Connect with one retry; raise `ConnectError`.

    The SYN may be lost, and the kernel retransmits it only after a second.  Without
    the retry one lost packet would end all streams of a healthy endpoint.
    """
    try:
        return await open_connection(address=address, timeout=PROBE_TIMEOUT_SECONDS)
    except ConnectError as error:
        log.debug("pool: first attempt to connect to {} failed: {}", address, error)
    return await open_connection(address=address, timeout=PROBE_TIMEOUT_SECONDS)
