"""A stand-in for the platform's metadata store, with faults for tests.

It stores objects by kind and name, with one revision counter for all.  Tests can make
it slow or unresponsive, make it refuse calls, hang watches, forget its history, serve
stale lists, or lose the answers of writes that took effect.
"""

import asyncio
import enum
from collections.abc import Callable

import msgspec
import tornado.web

from ..platform.objects import WireEvent, WireMeta, WireObject, WirePage, WireWatch
from ..platform.store import OBJECTS_PATH, STALE_QUERY, WAIT_QUERY, WATCH_QUERY
from .server import StandinServer

NULL = msgspec.Raw(b"null")
PATH = OBJECTS_PATH + r"/([^/]+)(?:/([^/]+))?(/status)?"

# The interval at which a watch checks for changes.
POLL_SECONDS = 0.01

# Number of objects on one page of a list.
PAGE_OBJECTS = 500
AFTER_QUERY = "after"


class Fault(enum.Enum):
    """How the store treats calls instead of answering them normally.

    `SILENT` never answers, and `RESET` closes the connection.
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    LOSES_WRITE_ANSWERS = "loses_writes"
    HANGS_WATCHES = "deaf"


class Draft(msgspec.Struct):
    """The body of a write: the desired content of an object."""

    metadata: WireMeta = WireMeta(name="")
    spec: msgspec.Raw = NULL
    status: msgspec.Raw = NULL


class MetadataStore:
    """The store and its HTTP server.

    `delay` is the seconds before each call, `calls` the number of calls, and
    `page_objects` the number of objects on one page of a list.  `after_page` is called
    with the kind and each page of a list that was answered.
    """

    __slots__ = (
        "_changes",
        "_forgotten_until",
        "_objects",
        "_server",
        "_stale",
        "after_page",
        "calls",
        "delay",
        "fault",
        "page_objects",
        "revision",
        "waits",
    )

    def __init__(self) -> None:
        self._objects: dict[str, dict[str, WireObject]] = {}
        self._changes: list[tuple[int, str, WireEvent]] = []
        self._forgotten_until = 0
        # The objects of each kind and the revision that stale reads get.
        self._stale: tuple[dict[str, dict[str, WireObject]], int] | None = None
        self.calls = 0
        self.delay = 0.0
        self.page_objects = PAGE_OBJECTS
        self.after_page: Callable[[str, WirePage], None] = _ignore_page
        self.fault = Fault.NONE
        self.revision = 1
        # The wait in seconds that the last watch of each kind asked for.
        self.waits: dict[str, float] = {}
        app = tornado.web.Application([(PATH, _Handler, {"store": self})])
        self._server = StandinServer(app=app)

    @property
    def url(self) -> str:
        """Return the address as `http://IP:PORT`."""
        return self._server.url

    async def start(self) -> None:
        """Listen on a free port."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()

    def put(self, *, kind: str, name: str, spec: object) -> WireObject:
        """Create or replace an object, as operators and endpoints do."""
        return self.write(kind, name, spec=msgspec.Raw(msgspec.json.encode(spec)))

    def put_raw(self, *, kind: str, name: str, spec: bytes) -> WireObject:
        """Create or replace an object from JSON bytes."""
        return self.write(kind, name, spec=msgspec.Raw(spec))

    def remove(self, *, kind: str, name: str) -> None:
        """Remove an object."""
        removed = self._objects.get(kind, {}).pop(name, None)
        if removed is not None:
            self._add_event(kind, WireEvent(object=removed, tombstone=True))

    def find(self, *, kind: str, name: str) -> WireObject | None:
        """Return an object, or None if it doesn't exist."""
        return self._objects.get(kind, {}).get(name)

    def list_names(self, kind: str) -> set[str]:
        """Return the names of all objects of a kind."""
        return set(self._objects.get(kind, {}))

    def forget_history(self) -> None:
        """Forget all changes, so that a watch from an older revision gets 410."""
        self._forgotten_until = self.revision

    def freeze_stale_reads(self) -> None:
        """Serve the present objects from now on to callers that accept stale lists."""
        objects = {kind: dict(found) for kind, found in self._objects.items()}
        self._stale = (objects, self.revision)

    def list_page(
        self, kind: str, *, after: str = "", allow_stale: bool = False
    ) -> WirePage:
        """Return the first objects of a kind whose names come after `after`.

        With `allow_stale` they are as of `freeze_stale_reads` if it was called.
        """
        objects, revision = self._objects, self.revision
        if allow_stale and self._stale is not None:
            objects, revision = self._stale
        found = objects.get(kind, {})
        names = sorted(name for name in found if name > after)
        return WirePage(
            items=tuple(found[name] for name in names[: self.page_objects]),
            store_revision=revision,
            has_more=len(names) > self.page_objects,
        )

    def find_changes(self, kind: str, after: int) -> WireWatch | None:
        """Return the changes after a revision, or None if they were forgotten."""
        if after < self._forgotten_until:
            return None
        events = tuple(
            event
            for revision, changed, event in self._changes
            if changed == kind and revision > after
        )
        return WireWatch(events=events, store_revision=self.revision)

    def write(
        self,
        kind: str,
        name: str,
        *,
        spec: msgspec.Raw | None = None,
        status: msgspec.Raw | None = None,
    ) -> WireObject:
        """Write an object's spec, status or both, and keep the rest."""
        current = self.find(kind=kind, name=name)
        self.revision += 1
        created = current.metadata.created if current else self.revision
        written = WireObject(
            metadata=WireMeta(name=name, revision=self.revision, created=created),
            spec=spec if spec is not None else (current.spec if current else NULL),
            status=status
            if status is not None
            else (current.status if current else NULL),
        )
        self._objects.setdefault(kind, {})[name] = written
        self._changes.append((self.revision, kind, WireEvent(object=written)))
        return written

    def _add_event(self, kind: str, event: WireEvent) -> None:
        self.revision += 1
        self._changes.append((self.revision, kind, event))


def _ignore_page(kind: str, page: WirePage) -> None:
    """Ignore a page; the default of `after_page`."""


class _Handler(tornado.web.RequestHandler):
    """Handles one call to the store."""

    def initialize(self, store: MetadataStore) -> None:
        self.store = store

    async def prepare(self) -> None:
        self.store.calls += 1
        await asyncio.sleep(self.store.delay)
        match self.store.fault:
            case Fault.BUSY:
                self.send_error(503)
            case Fault.RESET:
                self.request.connection.stream.close()
                raise tornado.web.Finish
            case Fault.SILENT:
                await asyncio.Event().wait()

    async def get(self, kind: str, name: str | None, _: str | None) -> None:
        if name:
            found = self.store.find(kind=kind, name=name)
            self._answer(200 if found else 404, found)
            return
        since = self.get_query_argument(WATCH_QUERY, None)
        if since is None:
            page = self.store.list_page(
                kind,
                after=self.get_query_argument(AFTER_QUERY, ""),
                allow_stale=self.get_query_argument(STALE_QUERY, "") == "1",
            )
            self._answer(200, page)
            self.store.after_page(kind, page)
            return
        await self._watch(kind, int(since))

    async def post(self, kind: str, _: str | None, __: str | None) -> None:
        draft = msgspec.json.decode(self.request.body, type=Draft)
        current = self.store.find(kind=kind, name=draft.metadata.name)
        if current is not None:
            self._answer(409, current)
            return
        written = self.store.write(kind, draft.metadata.name, spec=draft.spec)
        self._answer_write(written)

    async def put(self, kind: str, name: str, is_status: str | None) -> None:
        draft = msgspec.json.decode(self.request.body, type=Draft)
        current = self.store.find(kind=kind, name=name)
        if current is None:
            self._answer(404, None)
            return
        expected = draft.metadata.revision
        if expected and expected != current.metadata.revision:
            self._answer(409, current)
            return
        if is_status:
            written = self.store.write(kind, name, status=draft.status)
        else:
            written = self.store.write(kind, name, spec=draft.spec)
        self._answer_write(written)

    async def _watch(self, kind: str, after: int) -> None:
        loop = asyncio.get_running_loop()
        wait = int(self.get_query_argument(WAIT_QUERY, "0")) / 1000
        self.store.waits[kind] = wait
        ends_at = loop.time() + wait
        while True:
            if self.store.fault is Fault.HANGS_WATCHES:
                await asyncio.Event().wait()
            found = self.store.find_changes(kind, after)
            if found is None:
                self._answer(410, None)
                return
            if found.events or loop.time() >= ends_at:
                self._answer(200, found)
                return
            await asyncio.sleep(POLL_SECONDS)

    def _answer_write(self, written: WireObject) -> None:
        if self.store.fault is Fault.LOSES_WRITE_ANSWERS:
            self.request.connection.stream.close()
            return
        self._answer(200, written)

    def _answer(self, status: int, body: object) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))
