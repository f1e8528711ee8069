"""What a gateway that doesn't watch the store learns from one that does.

A store may turn some gateways away while it serves the others.  Without this
a gateway that is turned away would serve callers by an old configuration, send
work to endpoints that are leaving, and be of no use if it was just started.
"""

import asyncio
import enum
from collections.abc import Callable

import logbook
import msgspec

from ..store.http import Answer, HttpCaller
from .configuration import Configuration
from .endpoints import Endpoint
from .storeobjects import RolloutOrder

log = logbook.Logger("sharing")

# How often a gateway that is turned away by the store asks a peer: a leaving
# endpoint may get work for two seconds, and news of it take a moment.
PULL_SECONDS = 0.8

# After a pull the next waits this long, so that a clump of changes is fetched
# at once.
GATHER_SECONDS = 0.2

# A peer answers within milliseconds; one that is silent for so long is passed over
# for another.  Over a thin link a whole answer may take far longer.
ANSWER_SECONDS = 0.6
MOST_ANSWER_SECONDS = 4.0

# The store's own watch gets this long to tell what a peer knows already.
PATIENCE_SECONDS = 0.4

PATH = "/beliefs"
SEPARATOR = "."
MOST_CONNECTIONS = 2


class KnownRevisions(msgspec.Struct, kw_only=True, frozen=True):
    """What the asker has already: a configuration, and changes by kind."""

    configuration: int = 0
    revisions: tuple[int, ...] = ()


class StoreView(msgspec.Struct, kw_only=True, frozen=True):
    """What a gateway has read from the store, up to `revisions`.

    What the asker has already is left out: most changes are of one kind, and
    the configuration takes more bytes than all else.
    """

    plan: Configuration | None
    endpoints: tuple[Endpoint, ...] | None
    evacuated: tuple[str, ...] | None
    orders: tuple[RolloutOrder, ...] | None
    knows_store: bool
    revisions: tuple[int, ...]


class Need(enum.Enum):
    """Whether peers are asked."""

    NONE = "none"
    PATIENT = "patient"
    URGENT = "urgent"


def encode_beliefs(beliefs: StoreView) -> bytes:
    """Return beliefs as bytes."""
    return msgspec.msgpack.encode(beliefs)


def make_path(known: KnownRevisions) -> str:
    """Return the path that asks for what isn't known."""
    numbers = (known.configuration, *known.revisions)
    return f"{PATH}/{SEPARATOR.join(map(str, numbers))}"


def read_path(path: str) -> KnownRevisions | None:
    """Return what the asker has, or None if the path asks for something else."""
    place, _, rest = path[1:].partition("/")
    numbers = rest.split(SEPARATOR) if rest else []
    if f"/{place}" != PATH or not all(one.isdecimal() for one in numbers):
        return None
    configuration, *revisions = map(int, numbers or ["0"])
    return KnownRevisions(configuration=configuration, revisions=tuple(revisions))


class StoreViewFetcher:
    """Ask peers for what the store doesn't tell."""

    __slots__ = (
        "_behind_since",
        "_callers",
        "_count_bytes",
        "_find_need",
        "_find_known",
        "_find_url",
        "_rank",
        "_take",
        "wake",
    )

    def __init__(
        self,
        *,
        find_url: Callable[[str], str | None],
        find_need: Callable[[], Need],
        find_known: Callable[[], KnownRevisions],
        rank: Callable[[], list[str]],
        take: Callable[[StoreView, str], None],
        count_bytes: Callable[[str, int], None],
    ) -> None:
        self._find_url = find_url
        self._find_known = find_known
        self._rank = rank
        self._find_need = find_need
        self._take = take
        self._count_bytes = count_bytes
        self._callers: dict[str, HttpCaller] = {}
        self._behind_since: float | None = None
        self.wake = asyncio.Event()

    def close(self) -> None:
        """Close all connections."""
        for caller in self._callers.values():
            caller.close()

    async def run(self) -> None:
        """Ask whenever that is needed, until cancelled."""
        while True:
            await self._sleep()
            if self._must_wait():
                continue
            for name in self._rank():
                if await self._pull(name):
                    await asyncio.sleep(GATHER_SECONDS)
                    break

    async def _sleep(self) -> None:
        """Wait for news that make a pull worth while, or for the next look."""
        try:
            async with asyncio.timeout(PULL_SECONDS):
                await self.wake.wait()
        except TimeoutError:
            return
        finally:
            self.wake.clear()

    def _must_wait(self) -> bool:
        now = asyncio.get_running_loop().time()
        match self._find_need():
            case Need.NONE:
                self._behind_since = None
                return True
            case Need.URGENT:
                return False
        if self._behind_since is None:
            self._behind_since = now
        return now < self._behind_since + PATIENCE_SECONDS

    async def _pull(self, name: str) -> bool:
        url = self._find_url(name)
        if url is None:
            return False
        caller = self._callers.get(url)
        if caller is None:
            caller = self._callers[url] = HttpCaller(
                url=url, max_clients=MOST_CONNECTIONS
            )
        answer = await caller.fetch(
            path=make_path(self._find_known()),
            timeout=MOST_ANSWER_SECONDS,
            stall=ANSWER_SECONDS,
        )
        if not isinstance(answer, Answer) or answer.status != 200:
            return False
        self._count_bytes(name, len(answer.body))
        try:
            beliefs = msgspec.msgpack.decode(answer.body, type=StoreView)
        except msgspec.DecodeError as error:
            log.warning("sharing: an answer of {} can't be read: {}", name, error)
            return False
        self._take(beliefs, name)
        return True
