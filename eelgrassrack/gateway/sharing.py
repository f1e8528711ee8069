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
from .beliefs import RolloutOrder
from .endpoints import Endpoint
from .news import News
from .plan import Plan

log = logbook.Logger("sharing")

# How often a gateway that is turned away by the store asks a peer: a leaving
# endpoint may get work for two seconds, and news of it take a moment.
PULL_SECONDS = 0.8

# After a pull the next waits this long, so that a clump of changes is fetched
# at once.
GATHER_SECONDS = 0.2

# A peer answers within milliseconds; a silent one is passed over for another.
ANSWER_SECONDS = 0.6

# The store's own watch gets this long to tell what a peer knows already.
PATIENCE_SECONDS = 0.4

PATH = "/beliefs"
MOST_CONNECTIONS = 2


class Beliefs(msgspec.Struct, kw_only=True, frozen=True):
    """All that a gateway has read from the store, up to `revisions`."""

    plan: Plan | None
    endpoints: tuple[Endpoint, ...]
    evacuated: tuple[str, ...]
    orders: tuple[RolloutOrder, ...]
    knows_store: bool
    revisions: tuple[int, ...]


class Need(enum.Enum):
    """Whether peers are asked."""

    NONE = "none"
    PATIENT = "patient"
    URGENT = "urgent"


def encode_beliefs(beliefs: Beliefs) -> bytes:
    """Return beliefs as bytes."""
    return msgspec.msgpack.encode(beliefs)


class Sharing:
    """Ask peers for what the store doesn't tell."""

    __slots__ = (
        "_behind_since",
        "_callers",
        "_find_need",
        "_find_url",
        "_take",
        "wake",
    )

    def __init__(
        self,
        *,
        find_url: Callable[[str], str | None],
        find_need: Callable[[], Need],
        take: Callable[[Beliefs, str], None],
    ) -> None:
        self._find_url = find_url
        self._find_need = find_need
        self._take = take
        self._callers: dict[str, HttpCaller] = {}
        self._behind_since: float | None = None
        self.wake = asyncio.Event()

    def close(self) -> None:
        """Close all connections."""
        for caller in self._callers.values():
            caller.close()

    async def run(self, list_peers: Callable[[], tuple[News, ...]]) -> None:
        """Ask whenever that is needed, until cancelled."""
        while True:
            await self._sleep()
            if self._must_wait():
                continue
            for news in _rank(list_peers()):
                if await self._pull(news.name):
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
        answer = await caller.fetch(path=PATH, timeout=ANSWER_SECONDS)
        if not isinstance(answer, Answer) or answer.status != 200:
            return False
        try:
            beliefs = msgspec.msgpack.decode(answer.body, type=Beliefs)
        except msgspec.DecodeError as error:
            log.warning("sharing: an answer of {} can't be read: {}", name, error)
            return False
        self._take(beliefs, name)
        return True


def _rank(peers: tuple[News, ...]) -> list[News]:
    """Return the peers with a configuration, best informed first."""
    known = [one for one in peers if one.configuration]
    return sorted(
        known,
        key=lambda one: (not one.knows_store, -sum(one.revisions), -one.configuration),
    )
