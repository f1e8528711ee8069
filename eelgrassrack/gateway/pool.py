"""Kept connections to endpoints.

Load pattern: tens of short requests a second to each endpoint.  A new
connection for each costs a round trip, a slot of the endpoint for a moment
and one of the few connections that it takes from all callers.
"""

from ..decisions.idle import choose_idle_seconds
from .endpoints import Endpoint
from .exchange import Connection, open_connection
from .messages import Head

# One round trip is 2 ms and a first packet that was lost comes again after a
# second.  Waiting for that second costs more than another endpoint does.
CONNECT_SECONDS = 0.6


class Pool:
    """Connections by endpoint, of which each lifetime has its own."""

    __slots__ = ("_idle", "opened")

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], list[Connection]] = {}
        self.opened = 0

    async def take(
        self, *, endpoint: Endpoint, now: float, needs_new: bool = False
    ) -> Connection:
        """Return a kept connection or a new one; raise `ConnectError`."""
        kept = self._idle.get(endpoint.lifetime, [])
        while kept and not needs_new:
            connection = kept.pop()
            if _is_usable(connection, now):
                return connection
            connection.close()
        self.opened += 1
        return await open_connection(address=endpoint.address, timeout=CONNECT_SECONDS)

    def give_back(
        self, *, endpoint: Endpoint, connection: Connection, head: Head, now: float
    ) -> None:
        """Keep a connection whose answer was whole, or close it."""
        if head.will_close or not connection.release():
            connection.close()
            return
        connection.idle_until = now + choose_idle_seconds(head.keep_alive)
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
