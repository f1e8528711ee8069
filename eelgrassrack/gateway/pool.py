"""Kept connections to endpoints.

Load pattern: tens of short requests a second to each endpoint.  A new
connection for each costs a round trip, a slot of the endpoint for a moment
and one of the few connections that it takes from all callers.
"""

import asyncio
from collections.abc import Callable, Coroutine

import logbook

from ..decisions.idle import choose_idle_seconds
from .connection import Connection, open_connection
from .endpoints import Endpoint
from .errors import ConnectError
from .messages import ResponseHead

log = logbook.Logger("pool")

# One round trip is 2 ms and a first packet that was lost comes again after a
# second.  Waiting for that second costs more than another endpoint does.
CONNECT_SECONDS = 0.6

# An endpoint with requests under way that is silent for so long is asked for
# a new connection; the usual pause between events is far shorter.
SILENT_SECONDS = 0.25

# How long a connection may take that only shows whether the endpoint is there.
PROBE_SECONDS = 0.15

# The next such connection to the same endpoint is tried so much later.
NEXT_PROBE_SECONDS = 1.0

# After an endpoint broke a connection it is asked for a new one this much later:
# one that crashes closes all that it has, but not in the same moment.
CHECK_SECONDS = 0.05

# The connection itself is used for the next request that comes soon.
PROBED_IDLE_SECONDS = 2.0


class ConnectionPool:
    """Connections by endpoint, of which each lifetime has its own."""

    __slots__ = ("_busy", "_checked", "_idle", "_probing")

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], list[Connection]] = {}
        self._busy: dict[Endpoint, set[Connection]] = {}
        self._checked: set[Endpoint] = set()
        self._probing: set[asyncio.Task] = set()

    async def take(self, *, endpoint: Endpoint, now: float) -> Connection:
        """Return a kept connection or a new one; raise `ConnectError`."""
        connection = self._take_kept(endpoint, now)
        if connection is None:
            connection = await open_connection(
                address=endpoint.address, timeout=CONNECT_SECONDS
            )
        connection.active_at = now
        self._busy.setdefault(endpoint, set()).add(connection)
        return connection

    def release(self, *, endpoint: Endpoint, connection: Connection) -> None:
        """Count a connection as no longer under way, and close it unless kept."""
        busy = self._busy.get(endpoint, set())
        busy.discard(connection)
        if not busy:
            self._busy.pop(endpoint, None)
        if not connection.is_kept:
            connection.abort()

    def probe_silent(
        self, *, now: float, note_unreachable: Callable[[Endpoint], None]
    ) -> None:
        """Connect anew to endpoints that have been silent under way.

        An endpoint without power, or behind a cut, answers nothing: requests
        to it would wait for seconds.  One that is only busy still takes a
        connection at once.
        """
        for endpoint, busy in tuple(self._busy.items()):
            heard = max(one.active_at for one in busy)
            if now < heard + SILENT_SECONDS:
                continue
            for one in busy:
                one.active_at = now + NEXT_PROBE_SECONDS - SILENT_SECONDS
            self._start(self._probe(endpoint, note_unreachable))

    def check(
        self, *, endpoint: Endpoint, note_down: Callable[[Endpoint], None]
    ) -> None:
        """Find out whether an endpoint that broke a connection is down.

        Left to the next request that happens to go there, what crashes endpoints
        would mostly stay unknown.
        """
        if endpoint not in self._checked:
            self._checked.add(endpoint)
            self._start(self._check(endpoint, note_down))

    def _start(self, job: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(job)
        self._probing.add(task)
        task.add_done_callback(self._probing.discard)

    async def _check(
        self, endpoint: Endpoint, note_down: Callable[[Endpoint], None]
    ) -> None:
        await asyncio.sleep(CHECK_SECONDS)
        # What breaks from now on is found out by a check of its own.
        self._checked.discard(endpoint)
        try:
            connection = await _connect_twice(endpoint.address)
        except ConnectError as error:
            log.info("pool: {} is down: {}", endpoint.name, error)
            note_down(endpoint)
            return
        now = asyncio.get_running_loop().time()
        self._keep(endpoint, connection, until=now + PROBED_IDLE_SECONDS)

    async def _probe(
        self, endpoint: Endpoint, note_unreachable: Callable[[Endpoint], None]
    ) -> None:
        try:
            connection = await _connect_twice(endpoint.address)
        except ConnectError as error:
            log.info("pool: {} is out of reach: {}", endpoint.name, error)
            note_unreachable(endpoint)
            self.forget(lifetime=endpoint.lifetime)
            for one in self._busy.get(endpoint, ()):
                if one.is_repeatable:
                    one.give_up()
            return
        now = asyncio.get_running_loop().time()
        self._keep(endpoint, connection, until=now + PROBED_IDLE_SECONDS)

    def _take_kept(self, endpoint: Endpoint, now: float) -> Connection | None:
        kept = self._idle.get(endpoint.lifetime, [])
        while kept:
            connection = kept.pop()
            if _is_usable(connection, now):
                return connection
            connection.close()
        return None

    def give_back(
        self,
        *,
        endpoint: Endpoint,
        connection: Connection,
        head: ResponseHead,
        now: float,
    ) -> None:
        """Keep a connection whose answer was whole, or close it."""
        if head.will_close or not connection.release():
            connection.close()
            return
        until = now + choose_idle_seconds(head.keep_alive)
        self._keep(endpoint, connection, until=until)

    def _keep(
        self, endpoint: Endpoint, connection: Connection, *, until: float
    ) -> None:
        connection.idle_until = until
        connection.watch_idle()
        self._idle.setdefault(endpoint.lifetime, []).append(connection)

    def prune(self, *, now: float) -> None:
        """Close what has been idle too long."""
        for lifetime, kept in list(self._idle.items()):
            usable = [one for one in kept if _is_usable(one, now)]
            for connection in set(kept) - set(usable):
                connection.close()
            self._idle[lifetime] = usable
            if not usable:
                del self._idle[lifetime]

    def close(self) -> None:
        """Close all connections."""
        for lifetime in list(self._idle):
            self.forget(lifetime=lifetime)

    def forget(self, *, lifetime: tuple[str, int]) -> None:
        """Close the connections of an endpoint that is gone."""
        for connection in self._idle.pop(lifetime, ()):
            connection.close()


def _is_usable(connection: Connection, now: float) -> bool:
    if connection.is_closed or connection.has_stray_bytes:
        return False
    return now < connection.idle_until


async def _connect_twice(address: tuple[str, int]) -> Connection:
    """Connect, again if nothing comes back; raise `ConnectError`.

    The first packet of a connection may be lost, and the kernel sends it again
    only after a second.  Taken for silence, that would end all streams of an
    endpoint that is up.
    """
    try:
        return await open_connection(address=address, timeout=PROBE_SECONDS)
    except ConnectError as error:
        log.debug("pool: first try of {}: {}", address, error)
    return await open_connection(address=address, timeout=PROBE_SECONDS)
