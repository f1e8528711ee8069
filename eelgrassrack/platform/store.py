"""Client of the platform's store: list, watch and write its objects."""

import asyncio
import urllib.parse
from collections.abc import Callable, Sequence

import logbook
import msgspec

from ..errors import FormatError
from ..gateway.store.storeobjects import (
    HistoryGone,
    ListResult,
    RolloutStatus,
    StoreUnavailable,
    WatchOverdue,
    WatchResult,
)
from ..jsonparts import TOO_DEEP
from ..leftaside import LeftAside
from ..store.http import Answer, HttpCaller, NoAnswer, Pieces
from .manifest import decode_manifest
from .objects import (
    WireEvent,
    WireObject,
    decode_endpoint,
    decode_order,
    decode_peer,
    encode_status,
)
from .pages import Changes, OddItem, Page, read_changes, read_object, read_page

log = logbook.Logger("store")

Decode = Callable[[WireObject], object]

OBJECTS_PATH = "/objects"

# Query parameters: the revision to watch from, how many milliseconds to wait for a
# change, and whether the list may be outdated.
WATCH_QUERY = "watch"
WAIT_QUERY = "waitMs"
STALE_QUERY = "staleOk"

GONE = 410
CONFLICT = 409
MILLISECONDS = 1000.0

# Each kind needs one connection for its pending watch.  The rest are for other calls.
MAX_CONNECTIONS = 16

# Enough for a page of one megabyte over a slow link.
MAX_PAGE_SECONDS = 8.0

# Answers from this size on are logged: over a slow link they take up to seconds, in
# which everything else that the gateway sends or receives is late.
LARGE_BYTES = 65_536

JSON = {"Content-Type": "application/json"}


class Kinds:
    """The store's names for the kinds of objects that the gateway reads."""

    CONFIGURATION = "config"
    ENDPOINTS = "servers"
    ROLLOUTS = "rollouts"
    EVACUATIONS = "evacuations"
    PEERS = "eelgrassrack-entries"


# The object of kind `CONFIGURATION` that holds the manifest.
MANIFEST_NAME = "main"


def decode_configuration(wire: WireObject) -> object:
    """Decode the manifest, if this is the object that holds it."""
    if wire.metadata.name != MANIFEST_NAME:
        raise FormatError("not the manifest's name")
    return decode_manifest(wire.spec)


def decode_rollout(wire: WireObject) -> object:
    """Decode an order, if this is the object that holds its service's."""
    order = decode_order(wire)
    if wire.metadata.name != order.service:
        raise FormatError("not the name of the order's service")
    return order


def decode_presence(wire: WireObject) -> object:
    """Return the name of an object of which only its existence matters."""
    return wire.metadata.name


DECODERS: dict[str, Decode] = {
    Kinds.CONFIGURATION: decode_configuration,
    Kinds.ENDPOINTS: decode_endpoint,
    Kinds.ROLLOUTS: decode_rollout,
    Kinds.EVACUATIONS: decode_presence,
    Kinds.PEERS: decode_peer,
}


class Malformed(msgspec.Struct, frozen=True):
    """Stands in for an object that can't be decoded, and says why."""

    reason: str


class PlatformStore:
    """Read and write objects.

    A failed call returns `StoreUnavailable` or False and raises nothing.
    """

    __slots__ = ("_arriving", "_http", "_left_aside")

    def __init__(self, *, url: str) -> None:
        self._left_aside = LeftAside()
        self._arriving: dict[str, Pieces] = {}
        self._http = HttpCaller(url=url, max_clients=MAX_CONNECTIONS)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def list(
        self, *, kind: str, timeout: float, allow_stale: bool = False
    ) -> ListResult | StoreUnavailable:
        """Return all objects of a kind.

        A page fails after `timeout` seconds in which none of its bytes arrive.  With
        `allow_stale` the store may return an outdated list.

        The result has the revision of the first page.  Objects may change on pages
        that were read before the last one, and a watch from a later revision would
        never report that.
        """
        objects: dict[str, object] = {}
        newest = 0
        revision: int | None = None
        after = ""
        while True:
            query = {"after": after} if after else {}
            if allow_stale:
                query[STALE_QUERY] = "1"
            outcome = await self._read(
                kind, query=query, timeout=MAX_PAGE_SECONDS, stall=timeout
            )
            page = _decode_answer(outcome, read_page)
            if not isinstance(page, Page):
                return (
                    page
                    if isinstance(page, StoreUnavailable)
                    else StoreUnavailable(reason="410 to a list")
                )
            if revision is None:
                revision = page.store_revision
            found = [_decode_item(kind, item) for item in page.items]
            objects.update(self._drop_nameless(kind, found))
            newest = max([newest, *map(_find_revision, page.items)])
            if not page.has_more:
                # Later pages may show later changes, but not all of them.
                return ListResult(
                    revision=revision, newest=min(newest, revision), objects=objects
                )
            after = next((name for name, _ in reversed(found) if name), "")
            if not after:
                return StoreUnavailable(reason="a page without names, and more to come")

    async def watch(
        self, *, kind: str, revision: int, wait: float, slack: float, stall: float
    ) -> WatchResult | HistoryGone | WatchOverdue | StoreUnavailable:
        """Return the changes after a revision.

        The store waits up to `wait` seconds for a change.  The watch is overdue if
        its answer doesn't begin within `slack` seconds more, or if none of its bytes
        arrive for `stall` seconds.
        """
        query = {
            WATCH_QUERY: str(revision),
            WAIT_QUERY: str(int(wait * MILLISECONDS)),
        }
        outcome = await self._read(
            kind,
            query=query,
            timeout=wait + slack + MAX_PAGE_SECONDS,
            stall=stall,
            first=wait + slack,
        )
        if isinstance(outcome, NoAnswer) and outcome.is_silent:
            return WatchOverdue()
        changes = _decode_answer(outcome, read_changes)
        if not isinstance(changes, Changes):
            return changes
        found = [_decode_event(kind, event) for event in changes.events]
        return WatchResult(
            revision=changes.store_revision,
            newest=_find_newest(changes),
            objects=self._drop_nameless(kind, found),
        )

    def _drop_nameless(
        self, kind: str, found: Sequence[tuple[str, object]]
    ) -> dict[str, object]:
        """Return objects by name, and log those that are left aside."""
        objects = dict(found)
        odd = {
            name: one.reason
            for name, one in objects.items()
            if isinstance(one, Malformed)
        }
        self._left_aside.note(kind=kind, odd=odd, sound=objects.keys() - odd.keys())
        objects.pop("", None)
        return objects

    async def write_peer(self, *, name: str, address: str, timeout: float) -> bool:
        """Publish the address where this entry receives peer updates.

        Return whether the store is known to hold that address.  The call is
        idempotent: it creates or replaces the object, and leaves one alone that
        already holds this address, as after a restart.
        """
        body = {"metadata": {"name": name}, "spec": {"address": address}}
        path = _make_path(Kinds.PEERS)
        outcome = await self._send("POST", path, body, timeout)
        if isinstance(outcome, Answer) and outcome.status == CONFLICT:
            if _find_address(outcome) == address:
                return True
            path = _make_path(Kinds.PEERS, name=name)
            outcome = await self._send("PUT", path, body, timeout)
        return isinstance(outcome, Answer) and outcome.status < 300

    async def write_status(
        self, *, service: str, revision: int, status: RolloutStatus, timeout: float
    ) -> bool:
        """Write a roll-out's status if its object is still at `revision`.

        Return whether the store confirmed the write.
        """
        body = {
            "metadata": {"name": service, "revision": revision},
            "status": encode_status(status),
        }
        quoted = urllib.parse.quote(service, safe="")
        path = _make_path(Kinds.ROLLOUTS, name=f"{quoted}/status")
        outcome = await self._send("PUT", path, body, timeout)
        return isinstance(outcome, Answer) and outcome.status < 300

    def is_receiving(self, kind: str) -> bool:
        """Return whether part of an answer with objects of a kind has arrived."""
        received = self._arriving.get(kind)
        return received is not None and received.count > 0

    async def _read(
        self,
        kind: str,
        *,
        query: dict[str, str],
        timeout: float,
        stall: float,
        first: float | None = None,
    ) -> Answer | NoAnswer:
        """Send a read of a kind and log a large answer, also one that broke off."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        received = Pieces()
        self._arriving[kind] = received
        try:
            outcome = await self._http.fetch(
                path=_make_path(kind, query=query),
                timeout=timeout,
                stall=stall,
                first=first,
                received=received,
            )
        finally:
            if self._arriving.get(kind) is received:
                del self._arriving[kind]
        size = _count_bytes(outcome)
        if size >= LARGE_BYTES:
            log.info(
                "store: {what} of {kind} brought {size} bytes in {seconds} s: {end}",
                what="a watch" if WATCH_QUERY in query else "a list",
                kind=kind,
                size=size,
                seconds=round(loop.time() - asked_at, 3),
                end="whole" if isinstance(outcome, Answer) else outcome.reason,
            )
        return outcome

    async def _send(
        self, method: str, path: str, body: object, timeout: float
    ) -> Answer | NoAnswer:
        return await self._http.fetch(
            path=path,
            method=method,
            headers=JSON,
            body=msgspec.json.encode(body),
            timeout=timeout,
            repeatable=False,
        )


def _count_bytes(outcome: Answer | NoAnswer) -> int:
    match outcome:
        case Answer(body=body):
            return len(body)
        case NoAnswer(received=received):
            return received


def _find_address(conflict: Answer) -> str | None:
    """Return the address in the existing object that a conflict response carries."""
    try:
        match read_object(conflict.body):
            case WireObject() as wire:
                host, port = decode_peer(wire).address
                return f"{host}:{port}"
            case OddItem(reason=reason):
                raise FormatError(reason)
    except FormatError as error:
        log.info("store: replacing an entry's object that can't be read: {}", error)
        return None


def _find_revision(item: WireObject | OddItem) -> int:
    """Return the revision of an object's last change, 0 if it can't be read."""
    return item.metadata.revision if isinstance(item, WireObject) else 0


def _find_newest(changes: Changes) -> int:
    """Return the revision of the last change.

    A deleted object only carries the revision of its last change before the
    deletion, and an odd item none, so the store's revision counts for them.
    """
    revisions = (
        event.object.metadata.revision
        if isinstance(event, WireEvent) and not event.tombstone
        else changes.store_revision
        for event in changes.events
    )
    return min(max(revisions, default=0), changes.store_revision)


def _make_path(
    kind: str, *, name: str = "", query: dict[str, str] | None = None
) -> str:
    path = f"{OBJECTS_PATH}/{kind}/{name}" if name else f"{OBJECTS_PATH}/{kind}"
    return f"{path}?{urllib.parse.urlencode(query)}" if query else path


def _decode_answer(
    outcome: Answer | NoAnswer, read: Callable[[bytes], Page | Changes]
) -> Page | Changes | HistoryGone | StoreUnavailable:
    match outcome:
        case NoAnswer(reason=reason):
            return StoreUnavailable(reason=reason)
        case Answer(status=200, body=body):
            try:
                return read(body)
            except FormatError as error:
                return StoreUnavailable(reason=f"an answer that can't be read: {error}")
        case Answer(status=status) if status == GONE:
            return HistoryGone()
        case Answer(status=status):
            return StoreUnavailable(reason=f"status {status}")


def _decode_event(kind: str, event: WireEvent | OddItem) -> tuple[str, object | None]:
    match event:
        case WireEvent(object=wire, tombstone=True):
            return wire.metadata.name, None
        case WireEvent(object=wire):
            return _decode_item(kind, wire)
        case OddItem():
            return _decode_item(kind, event)


def _decode_item(kind: str, item: WireObject | OddItem) -> tuple[str, object]:
    """Return an object's name and what it holds, or why that can't be used."""
    match item:
        case OddItem(name=name, reason=reason):
            return name, Malformed(reason)
        case WireObject(metadata=metadata, spec=spec):
            try:
                return metadata.name, DECODERS[kind](item)
            except FormatError as error:
                is_deep = TOO_DEEP in bytes(spec)
                reason = TOO_DEEP.decode() if is_deep else str(error)
                return metadata.name, Malformed(reason)
