"""A stand-in of the platform's metadata store, with its faults.

Objects lie by kind and name under one counter of revisions.  A test makes it
silent, slow, deaf or forgetful, turns callers away, or loses answers of writes
that took effect.
"""

import asyncio
import enum

import msgspec
import tornado.web

from ..platform.objects import WireEvent, WireMeta, WireObject, WirePage, WireWatch
from ..platform.store import OBJECTS_PATH, STALE_QUERY, WAIT_QUERY, WATCH_QUERY
from .server import StandinServer

NULL = msgspec.Raw(b"null")
PATH = OBJECTS_PATH + r"/([^/]+)(?:/([^/]+))?(/status)?"

# A watch looks for changes this often.
LOOK_SECONDS = 0.01


class Fault(enum.Enum):
    """What the store does to calls instead of answering them."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    LOSES_WRITE_ANSWERS = "loses_writes"
    HANGS_WATCHES = "deaf"


class Draft(msgspec.Struct):
    """The body of a write: what the caller wants an object to be."""

    metadata: WireMeta = WireMeta(name="")
    spec: msgspec.Raw = NULL
    status: msgspec.Raw = NULL


class MetadataStore:
    """The store and its HTTP server."""

    __slots__ = (
        "_changes",
        "_forgotten",
        "_objects",
        "_server",
        "_stale_pages",
        "calls",
        "delay",
        "fault",
        "revision",
        "waits",
    )

    def __init__(self) -> None:
        self._objects: dict[str, dict[str, WireObject]] = {}
        self._changes: list[tuple[int, str, WireEvent]] = []
        self._forgotten = 0
        self._stale_pages: dict[str, WirePage] | None = None
        self.calls = 0
        self.delay = 0.0
        self.fault = Fault.NONE
        self.revision = 1
        # The seconds that the last watch of each kind asked to wait.
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
        """Listen no more."""
        await self._server.stop()

    def put(self, *, kind: str, name: str, spec: object) -> WireObject:
        """Make or replace an object, as operators and endpoints do."""
        return self.write(kind, name, spec=msgspec.Raw(msgspec.json.encode(spec)))

    def put_raw(self, *, kind: str, name: str, spec: bytes) -> WireObject:
        """Make or replace an object by the bytes of its JSON."""
        return self.write(kind, name, spec=msgspec.Raw(spec))

    def remove(self, *, kind: str, name: str) -> None:
        """Remove an object."""
        gone = self._objects.get(kind, {}).pop(name, None)
        if gone is not None:
            self._note(kind, WireEvent(object=gone, tombstone=True))

    def find(self, *, kind: str, name: str) -> WireObject | None:
        """Return an object."""
        return self._objects.get(kind, {}).get(name)

    def forget_history(self) -> None:
        """Forget all changes: a watch from before gets 410."""
        self._forgotten = self.revision

    def freeze_stale_reads(self) -> None:
        """Answer from now on with what lies here now to who bears stale lists."""
        self._stale_pages = {kind: self.list_page(kind) for kind in self._objects}

    def list_stale_page(self, kind: str) -> WirePage:
        """Return all objects of a kind as they were lately."""
        if self._stale_pages is None:
            return self.list_page(kind)
        return self._stale_pages.get(
            kind, WirePage(items=(), store_revision=self.revision)
        )

    def list_page(self, kind: str) -> WirePage:
        """Return all objects of a kind."""
        items = tuple(self._objects.get(kind, {}).values())
        return WirePage(items=items, store_revision=self.revision)

    def find_changes(self, kind: str, after: int) -> WireWatch | None:
        """Return the changes after a revision, or None if they are forgotten."""
        if after < self._forgotten:
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
        """Write an object's spec or status."""
        known = self.find(kind=kind, name=name)
        self.revision += 1
        created = known.metadata.created if known else self.revision
        found = WireObject(
            metadata=WireMeta(name=name, revision=self.revision, created=created),
            spec=spec if spec is not None else (known.spec if known else NULL),
            status=status if status is not None else (known.status if known else NULL),
        )
        self._objects.setdefault(kind, {})[name] = found
        self._changes.append((self.revision, kind, WireEvent(object=found)))
        return found

    def _note(self, kind: str, event: WireEvent) -> None:
        self.revision += 1
        self._changes.append((self.revision, kind, event))


class _Handler(tornado.web.RequestHandler):
    """One call to the store."""

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
        after = self.get_query_argument(WATCH_QUERY, None)
        if after is None:
            is_stale = self.get_query_argument(STALE_QUERY, "") == "1"
            find = self.store.list_stale_page if is_stale else self.store.list_page
            self._answer(200, find(kind))
            return
        await self._watch(kind, int(after))

    async def post(self, kind: str, _: str | None, __: str | None) -> None:
        draft = msgspec.json.decode(self.request.body, type=Draft)
        known = self.store.find(kind=kind, name=draft.metadata.name)
        if known is not None:
            self._answer(409, known)
            return
        made = self.store.write(kind, draft.metadata.name, spec=draft.spec)
        self._answer_write(made)

    async def put(self, kind: str, name: str, is_status: str | None) -> None:
        draft = msgspec.json.decode(self.request.body, type=Draft)
        known = self.store.find(kind=kind, name=name)
        if known is None:
            self._answer(404, None)
            return
        expected = draft.metadata.revision
        if expected and expected != known.metadata.revision:
            self._answer(409, known)
            return
        if is_status:
            made = self.store.write(kind, name, status=draft.status)
        else:
            made = self.store.write(kind, name, spec=draft.spec)
        self._answer_write(made)

    async def _watch(self, kind: str, after: int) -> None:
        loop = asyncio.get_running_loop()
        wait = int(self.get_query_argument(WAIT_QUERY, "0")) / 1000
        self.store.waits[kind] = wait
        last = loop.time() + wait
        while True:
            if self.store.fault is Fault.HANGS_WATCHES:
                await asyncio.Event().wait()
            found = self.store.find_changes(kind, after)
            if found is None:
                self._answer(410, None)
                return
            if found.events or loop.time() >= last:
                self._answer(200, found)
                return
            await asyncio.sleep(LOOK_SECONDS)

    def _answer_write(self, made: WireObject) -> None:
        if self.store.fault is Fault.LOSES_WRITE_ANSWERS:
            self.request.connection.stream.close()
            return
        self._answer(200, made)

    def _answer(self, status: int, body: object) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))
