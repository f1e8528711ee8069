"""A stand-in for the platform's instance list, which shows changes with a lag."""

import asyncio
import time
from collections.abc import Callable

import msgspec
import tornado.web

from ..store.instances import Instance, Listing
from ..store.objects import Unavailable
from .server import Standin
from .waiting import ChangeNotifier

MAX_WATCH_SECONDS = 60.0


class InstanceTable:
    """An in-memory `InstanceList` of the live and leaving instances.

    `lag` is the time in seconds until a change becomes visible.  `outage` makes all
    watches fail.  `calls` counts watches.
    """

    def __init__(
        self, *, lag: float = 0.0, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.lag = lag
        self.calls = 0
        self._outage = False
        self._clock = clock
        self._instances: dict[str, Instance] = {}
        self._version = 0
        self._shown = Listing(version=0, instances=())
        self._changes = ChangeNotifier()

    @property
    def outage(self) -> bool:
        """Return whether the instance list is down."""
        return self._outage

    @outage.setter
    def outage(self, down: bool) -> None:
        self._outage = down
        self._changes.notify()

    @property
    def shown(self) -> Listing:
        """Return the visible list, which may be outdated."""
        return self._shown

    def join(self, instance: Instance) -> None:
        """Add an instance, or replace the one of the same name."""
        self._instances[instance.name] = instance
        self._publish()

    def leave(self, name: str) -> None:
        """Mark an instance as leaving."""
        instance = self._instances[name]
        self._instances[name] = msgspec.structs.replace(instance, leaving=True)
        self._publish()

    def remove(self, name: str) -> None:
        """Remove an instance from the list."""
        del self._instances[name]
        self._publish()

    async def watch(self, *, version: int, timeout: float) -> Listing | Unavailable:
        """Return the list when newer than `version`, or after `timeout` seconds."""
        self.calls += 1
        ends_at = self._clock() + timeout
        while not self._outage:
            remaining = ends_at - self._clock()
            if self._shown.version > version or remaining <= 0:
                return self._shown
            if not await self._changes.wait(timeout=remaining):
                return self._shown
        return Unavailable(reason="outage")

    def _publish(self) -> None:
        self._version += 1
        instances = tuple(self._instances[name] for name in sorted(self._instances))
        listing = Listing(version=self._version, instances=instances)
        if not self.lag:
            self._show(listing)
            return
        asyncio.get_running_loop().call_later(self.lag, self._show, listing)

    def _show(self, listing: Listing) -> None:
        if listing.version > self._shown.version:
            self._shown = listing
            self._changes.notify()


class InstanceListApi(Standin):
    """The instance list over HTTP: `GET /instances?watch=V&timeout=S`."""

    def __init__(self, *, table: InstanceTable) -> None:
        self.table = table
        app = tornado.web.Application(
            [
                (r"/instances", InstancesHandler, {"table": table}),
                (r"/instances/([^/]+)", InstanceHandler, {"table": table}),
            ],
            log_function=lambda handler: None,
        )
        super().__init__(app=app)


class InstanceHandler(tornado.web.RequestHandler):
    """Lets tests and benchmarks add, mark and remove instances."""

    def initialize(self, *, table: InstanceTable) -> None:
        """Set the table; Tornado calls this for each request."""
        self.table = table

    def put(self, name: str) -> None:
        """Add or replace an instance."""
        instance = msgspec.json.decode(self.request.body, type=Instance)
        self.table.join(msgspec.structs.replace(instance, name=name))

    def delete(self, name: str) -> None:
        """Remove an instance from the list."""
        self.table.remove(name)


class InstancesHandler(tornado.web.RequestHandler):
    """Answers with the list, immediately or once it has changed."""

    def initialize(self, *, table: InstanceTable) -> None:
        """Set the table; Tornado calls this for each request."""
        self.table = table
        self.waiting: asyncio.Future[Listing | Unavailable] | None = None

    def on_connection_close(self) -> None:
        """Cancel the watch of a caller that has disconnected."""
        if self.waiting is not None:
            self.waiting.cancel()

    async def get(self) -> None:
        """Answer with a list newer than `watch`; without `watch` answer immediately."""
        try:
            version = int(self.get_query_argument("watch", "-1"))
            timeout = float(self.get_query_argument("timeout", "0"))
        except ValueError:
            self.send_error(400)
            return
        watch = self.table.watch(
            version=version, timeout=min(timeout, MAX_WATCH_SECONDS)
        )
        self.waiting = asyncio.ensure_future(watch)
        await asyncio.wait({self.waiting})
        if self.waiting.cancelled():
            return
        match self.waiting.result():
            case Listing() as listing:
                self.set_header("Content-Type", "application/json")
                self.finish(msgspec.json.encode(listing))
            case Unavailable():
                self.set_status(503)
                self.finish()
