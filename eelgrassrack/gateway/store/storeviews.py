"""Store views: what one gateway has read from the store, fetched by another.

A store may turn some gateways away while it serves others.  Without store views a
rejected gateway would serve callers by an old configuration, send work to draining
endpoints, and be unable to serve at all if it has just started.
"""

import asyncio
import enum
from collections.abc import Callable

import logbook
import msgspec

from ...addresses import is_usable
from ...counts import read_count
from ...decoding import decode_msgpack
from ...errors import FormatError
from ...store.http import Answer, HttpCaller
from ..endpoints.endpoint import Endpoint
from .configuration import Configuration
from .storeobjects import RolloutOrder

log = logbook.Logger("sharing")

# How often a gateway that the store turns away asks a peer.  A draining endpoint may
# get work for two seconds, and the change takes a moment to arrive.
POLL_SECONDS = 0.8

# Pause after a fetch, so that one fetch covers a burst of changes.
BATCH_SECONDS = 0.2

# A fetch fails, and the next peer is asked, after `STALL_SECONDS` without a byte or
# `TIMEOUT_SECONDS` in all.  A peer answers within milliseconds, but a whole answer
# may take far longer over a slow link.
STALL_SECONDS = 0.6
TIMEOUT_SECONDS = 4.0

# How long a deferred fetch waits for the store itself to report the change.
DEFERRED_SECONDS = 0.4

# The path of store views on a gateway's internal port, followed by the revisions that
# the asker has.
PATH = "/beliefs"
SEPARATOR = "."

# Number of kinds whose revisions a path holds.  A further number, 1, says that the
# asker takes changed endpoints instead of the whole list; gateways that don't know it
# ignore it.
KINDS = 4
TAKES_CHANGES = 1

# Connections to one peer.
MOST_CONNECTIONS = 2


class KnownRevisions(msgspec.Struct, kw_only=True, frozen=True):
    """What the asking gateway has already.

    `configuration` is a version, 0 for none, and `revisions` holds the store's
    revision of the last change of each kind.  `takes_changes` says that it can add
    changed endpoints to those of its revision.
    """

    configuration: int = 0
    revisions: tuple[int, ...] = ()
    takes_changes: bool = False


class StoreView(msgspec.Struct, kw_only=True, frozen=True):
    """What a gateway has read from the store, up to `revisions`.

    Kinds that the asker has already are None: most changes are of one kind, and
    the configuration takes more bytes than all the rest.  `knows_store` says that
    the view comes directly from the store, not from another peer.  `gone` holds the
    names of the endpoints that are gone since the asker's revision, and `endpoints`
    those that changed; None says that `endpoints` is the whole list.
    """

    plan: Configuration | None
    endpoints: tuple[Endpoint, ...] | None
    evacuated: tuple[str, ...] | None
    orders: tuple[RolloutOrder, ...] | None
    knows_store: bool
    revisions: tuple[int, ...]
    gone: tuple[str, ...] | None = None


class PullNeed(enum.Enum):
    """Whether, and how soon, to fetch the store view from a peer."""

    NONE = "none"
    DEFERRED = "patient"
    IMMEDIATE = "urgent"


def encode_view(view: StoreView) -> bytes:
    """Return a store view as bytes."""
    return msgspec.msgpack.encode(view)


def decode_view(data: bytes) -> StoreView:
    """Decode a peer's store view; raise `FormatError`.

    Endpoints whose address can't be used are left out, and among changes count as gone:
    a peer of an earlier version takes them from the store.
    """
    view = decode_msgpack(data, kind=StoreView)
    if view.endpoints is None:
        return view
    usable = tuple(one for one in view.endpoints if is_usable(one.address))
    gone = view.gone
    if gone is not None:
        odd = {one.name for one in view.endpoints} - {one.name for one in usable}
        gone = (*gone, *sorted(odd))
    return msgspec.structs.replace(view, endpoints=usable, gone=gone)


def make_path(known: KnownRevisions) -> str:
    """Return the path that asks a peer for newer kinds than those known."""
    numbers = [known.configuration, *known.revisions]
    if known.takes_changes:
        numbers.append(TAKES_CHANGES)
    return f"{PATH}/{SEPARATOR.join(map(str, numbers))}"


def parse_path(path: str) -> KnownRevisions | None:
    """Return what the asker has, or None if the path isn't that of a store view."""
    name, _, rest = path[1:].partition("/")
    numbers = [read_count(text) for text in (rest or "0").split(SEPARATOR)]
    if f"/{name}" != PATH or None in numbers:
        return None
    configuration, *revisions = numbers
    return KnownRevisions(
        configuration=configuration,
        revisions=tuple(revisions[:KINDS]),
        takes_changes=revisions[KINDS : KINDS + 1] == [TAKES_CHANGES],
    )


class StoreViewFetcher:
    """Fetch store views from peers when this gateway lacks changes.

    `find_need` says whether to fetch, `find_revisions` what to ask for and
    `rank_sources` whom to ask first.  `apply_view` gets a view and its sender's
    name, `count_bytes` the sender's name and the answer's bytes.  Set `wake` to
    check the need immediately.
    """

    __slots__ = (
        "_behind_since",
        "_callers",
        "_count_bytes",
        "_find_need",
        "_find_revisions",
        "_find_url",
        "_rank_sources",
        "_apply_view",
        "wake",
    )

    def __init__(
        self,
        *,
        find_url: Callable[[str], str | None],
        find_need: Callable[[], PullNeed],
        find_revisions: Callable[[], KnownRevisions],
        rank_sources: Callable[[], list[str]],
        apply_view: Callable[[StoreView, str], None],
        count_bytes: Callable[[str, int], None],
    ) -> None:
        self._find_url = find_url
        self._find_revisions = find_revisions
        self._rank_sources = rank_sources
        self._find_need = find_need
        self._apply_view = apply_view
        self._count_bytes = count_bytes
        self._callers: dict[str, HttpCaller] = {}
        self._behind_since: float | None = None
        self.wake = asyncio.Event()

    def close(self) -> None:
        """Close the connections to all peers."""
        for caller in self._callers.values():
            caller.close()

    async def run(self) -> None:
        """Fetch whenever needed, until cancelled."""
        while True:
            await self._sleep()
            if self._must_wait():
                continue
            for name in self._rank_sources():
                if await self._pull(name):
                    await asyncio.sleep(BATCH_SECONDS)
                    break

    async def _sleep(self) -> None:
        """Wait until woken, or until the next poll is due."""
        try:
            async with asyncio.timeout(POLL_SECONDS):
                await self.wake.wait()
        except TimeoutError:
            return
        finally:
            self.wake.clear()

    def _must_wait(self) -> bool:
        now = asyncio.get_running_loop().time()
        match self._find_need():
            case PullNeed.NONE:
                self._behind_since = None
                return True
            case PullNeed.IMMEDIATE:
                return False
        if self._behind_since is None:
            self._behind_since = now
        return now < self._behind_since + DEFERRED_SECONDS

    async def _pull(self, name: str) -> bool:
        url = self._find_url(name)
        if url is None:
            return False
        caller = self._callers.get(url)
        if caller is None:
            caller = self._callers[url] = HttpCaller(
                url=url, max_clients=MOST_CONNECTIONS
            )
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        answer = await caller.fetch(
            path=make_path(self._find_revisions()),
            timeout=TIMEOUT_SECONDS,
            stall=STALL_SECONDS,
        )
        seconds = round(loop.time() - asked_at, 3)
        if not isinstance(answer, Answer) or answer.status != 200:
            log.info("sharing: no store view of {} after {} s", name, seconds)
            return False
        size = _count_sent(answer)
        log.info("sharing: store view of {}, {} bytes in {} s", name, size, seconds)
        self._count_bytes(name, size)
        try:
            view = decode_view(answer.body)
        except FormatError as error:
            log.warning("sharing: store view of {} can't be read: {}", name, error)
            return False
        self._apply_view(view, name)
        return True


def _count_sent(answer: Answer) -> int:
    """Return the bytes of an answer's body as sent, which may be compressed."""
    length = read_count(answer.headers.get("content-length", ""))
    return len(answer.body) if length is None else length
