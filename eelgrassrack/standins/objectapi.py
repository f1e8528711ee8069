"""A stand-in for the platform's object API, served over HTTP.

An object has the path `/objects/KIND/NAME` and its version as `ETag`; a slash in a
name is encoded as `%2F`.  A write with `If-None-Match: *` creates an object, and one
with `If-Match` replaces or deletes it.  `?watch=VERSION&timeout=SECONDS` waits until
the object has another version.
"""

import asyncio
import json
import re

import tornado.web

from ..store.objects import (
    Absent,
    Conflict,
    Found,
    Names,
    Unavailable,
    Unchanged,
    Written,
)
from .objects import (
    ANSWER_LOST,
    OUTAGE,
    RATE_LIMITED,
    TOO_LARGE,
    ObjectTable,
    TableStore,
)
from .server import Standin

CALLER_HEADER = "X-Caller"
MAX_WATCH_SECONDS = 60.0
STATUS_BY_REASON = {OUTAGE: 503, RATE_LIMITED: 429, TOO_LARGE: 413}

Result = Found | Absent | Unchanged | Written | Conflict | Names | Unavailable


class ObjectApi(Standin):
    """The server of the object API.

    With `drop_in_outage` an outage closes connections instead of answering 503.
    """

    def __init__(self, *, table: ObjectTable) -> None:
        self.table = table
        self.drop_in_outage = False
        app = tornado.web.Application(
            [
                (r"/objects/([^/]+)", KindHandler, {"api": self}),
                (r"/objects/([^/]+)/([^/]+)", ObjectHandler, {"api": self}),
            ],
            log_function=lambda handler: None,
        )
        super().__init__(app=app)


class ApiHandler(tornado.web.RequestHandler):
    """Base of the handlers; turns results of the table into responses."""

    def initialize(self, *, api: ObjectApi) -> None:
        """Set the API; Tornado calls this for each request."""
        self.api = api
        self.waiting: asyncio.Future[Result] | None = None

    @property
    def store(self) -> TableStore:
        """Return a client of the table for the caller of this request."""
        caller = self.request.headers.get(CALLER_HEADER, "")
        return TableStore(table=self.api.table, caller=caller)

    def compute_etag(self) -> None:
        """Disable Tornado's ETag of the body, because the version is the ETag."""

    def on_connection_close(self) -> None:
        """Cancel the watch of a caller that has disconnected."""
        if self.waiting is not None:
            self.waiting.cancel()

    def answer(self, result: Result) -> None:
        """Answer with a result, or close the connection if the answer is lost."""
        match result:
            case Found(body=body, version=version):
                self._set_version(version)
                self.set_header("Content-Type", "application/octet-stream")
                self.finish(body)
            case Written(version=version):
                self._set_version(version)
                self.finish()
            case Absent():
                self.send_status(404)
            case Unchanged():
                self.send_status(304)
            case Conflict():
                self.send_status(412)
            case Names(names=names):
                self.finish(json.dumps(names))
            case Unavailable() as unavailable:
                self._answer_unavailable(unavailable)

    def send_status(self, status: int) -> None:
        """Answer with a status and no body."""
        self.set_status(status)
        self.finish()

    def _answer_unavailable(self, unavailable: Unavailable) -> None:
        reason = unavailable.reason
        dropped = reason == OUTAGE and self.api.drop_in_outage
        if dropped or reason == ANSWER_LOST:
            self.request.connection.stream.close()
            return
        self.set_header("Retry-After", str(unavailable.retry_after))
        self.send_status(STATUS_BY_REASON[reason])

    def _set_version(self, version: int) -> None:
        self.set_header("ETag", f'"{version}"')


class KindHandler(ApiHandler):
    """Lists the names of a kind."""

    async def get(self, kind: str) -> None:
        """Answer with the names that start with `prefix`."""
        prefix = self.get_query_argument("prefix", "", strip=False)
        self.answer(await self.store.find_names(kind=kind, prefix=prefix))


class ObjectHandler(ApiHandler):
    """Reads, watches, writes and deletes one object."""

    async def get(self, kind: str, name: str) -> None:
        """Answer with the object, immediately or once it has changed."""
        if "watch" in self.request.query_arguments:
            await self._watch(kind, name)
            return
        self.answer(await self.store.read(kind=kind, name=name))

    async def put(self, kind: str, name: str) -> None:
        """Create with `If-None-Match: *`, replace with `If-Match`."""
        body = self.request.body
        if self.request.headers.get("If-None-Match") == "*":
            self.answer(await self.store.create(kind=kind, name=name, body=body))
            return
        version = self._read_condition()
        if version is None:
            self.send_status(428)
            return
        result = await self.store.replace(
            kind=kind, name=name, body=body, version=version
        )
        self.answer(result)

    async def delete(self, kind: str, name: str) -> None:
        """Delete with `If-Match`."""
        version = self._read_condition()
        if version is None:
            self.send_status(428)
            return
        self.answer(await self.store.remove(kind=kind, name=name, version=version))

    async def _watch(self, kind: str, name: str) -> None:
        try:
            version = int(self.get_query_argument("watch"))
            timeout = float(self.get_query_argument("timeout", str(MAX_WATCH_SECONDS)))
        except ValueError:
            self.send_status(400)
            return
        watch = self.store.watch(
            kind=kind,
            name=name,
            version=version,
            timeout=min(timeout, MAX_WATCH_SECONDS),
        )
        self.waiting = asyncio.ensure_future(watch)
        await asyncio.wait({self.waiting})
        if not self.waiting.cancelled():
            self.answer(self.waiting.result())

    def _read_condition(self) -> int | None:
        quoted = self.request.headers.get("If-Match", "")
        match = re.fullmatch(r'"(\d+)"', quoted)
        return int(match.group(1)) if match else None
