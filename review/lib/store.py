"""A stand-in for the platform's metadata store, as PROTOCOL.md describes it.

It pages its lists, and each page tells the store's revision at the time of that call.
"""

import asyncio
import json
import urllib.parse
from collections.abc import Callable

from http1 import Request, encode_answer, start_server

JSON = {"Content-Type": "application/json"}


class Store:
    """Objects by kind and name, with one revision counter.

    `page` is the number of objects in a page of a list, `latency` the seconds that an
    answer takes.  `after_page` is called with the kind and the number of a page that
    was just answered.
    """

    def __init__(self, *, page: int = 500, latency: float = 0.004) -> None:
        self.page = page
        self.latency = latency
        self.revision = 10
        self.after_page: Callable[[str, int, str], None] = lambda *_: None
        self._objects: dict[str, dict[str, dict]] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        await start_server(host, port, self._serve)

    def put(self, kind: str, name: str, spec: object, **meta: object) -> dict:
        """Create or replace an object's spec."""
        return self._write(kind, name, {"spec": spec}, **meta)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self._objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._note(kind, {"object": found, "tombstone": True})

    def find(self, kind: str, name: str) -> dict | None:
        """Return an object."""
        return self._objects.get(kind, {}).get(name)

    def _write(self, kind: str, name: str, change: dict) -> dict:
        before = self.find(kind, name)
        base = before or {"spec": None, "status": None}
        if before and all(before[key] == value for key, value in change.items()):
            return before
        self.revision += 1
        created = before["metadata"]["created"] if before else self.revision
        written = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": base["spec"],
            "status": base["status"],
            **change,
        }
        self._objects.setdefault(kind, {})[name] = written
        self._note(kind, {"object": written, "tombstone": False})
        return written

    def _note(self, kind: str, event: dict) -> None:
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, request: Request, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.latency)
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        names = [urllib.parse.unquote(name) for name in parts.path.split("/")[2:]]
        after = lambda: None  # noqa: E731
        if request.method == "GET" and len(names) == 1 and "watch" in query:
            status, body = await self._watch(names[0], query)
        elif request.method == "GET" and len(names) == 1:
            status, body, after = self._list(names[0], query.get("after", ""))
        else:
            status, body = self._call(request, names)
        writer.write(encode_answer(status, JSON, json.dumps(body).encode()))
        await writer.drain()
        after()

    def _list(self, kind: str, after: str) -> tuple[int, dict, Callable[[], None]]:
        names = sorted(self._objects.get(kind, {}))
        left = [name for name in names if name > after]
        items = [self._objects[kind][name] for name in left[: self.page]]
        number = (len(names) - len(left)) // self.page + 1
        has_more = len(left) > self.page
        body = {
            "items": items,
            "hasMore": has_more,
            "storeRevision": self.revision,
        }
        return 200, body, lambda: self.after_page(kind, number, has_more)

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, dict]:
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [
                event
                for revision, changed, event in self._events
                if changed == kind and revision > since
            ]
            left = ends_at - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _call(self, request: Request, names: list[str]) -> tuple[int, object]:
        kind = names[0]
        draft = json.loads(request.body or b"{}")
        meta = draft.get("metadata", {})
        name = names[1] if len(names) > 1 else meta.get("name", "")
        found = self.find(kind, name)
        if request.method == "GET":
            return (200, found) if found else (404, None)
        if request.method == "POST":
            if found:
                return 409, found
            return 200, self._write(kind, name, {"spec": draft.get("spec")})
        if found is None:
            return 404, None
        expected = meta.get("revision")
        if expected and expected != found["metadata"]["revision"]:
            return 409, found
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, found
        field = "status" if names[2:] == ["status"] else "spec"
        return 200, self._write(kind, name, {field: draft.get(field)})
