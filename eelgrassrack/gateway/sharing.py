"""What a gateway that doesn't reach the store learns from one that does.

A store may turn some gateways away while it serves the others.  Without this
a gateway that is turned away would serve callers by an old configuration, send
work to endpoints that are leaving, and be of no use if it was just started.
"""

import asyncio
from collections.abc import Callable

import logbook
import msgspec

from ..store.http import Answer, HttpCaller
from .beliefs import RolloutOrder
from .endpoints import Endpoint
from .news import News
from .plan import Plan

log = logbook.Logger("sharing")

# How often a gateway without the store asks a peer: a leaving endpoint may
# get work for two seconds, and news of it take a moment to come here.
PULL_SECONDS = 0.8

# A peer answers within milliseconds; a silent one is passed over for another.
ANSWER_SECONDS = 0.6

# The store's own watch gets this long to tell what a peer knows already.
PATIENCE_SECONDS = 0.4

PATH = "/beliefs"
MOST_CONNECTIONS = 2


class Beliefs(msgspec.Struct, kw_only=True, frozen=True):
    """All that a gateway has read from the store."""

    plan: Plan | None
    endpoints: tuple[Endpoint, ...]
    evacuated: tuple[str, ...]
    orders: tuple[RolloutOrder, ...]
    knows_store: bool


def encode_beliefs(beliefs: Beliefs) -> bytes:
    """Return beliefs as bytes."""
    return msgspec.msgpack.encode(beliefs)


class Sharing:
    """Ask peers for what the store doesn't tell."""

    __slots__ = ("_behind_since", "_callers", "_find_url", "_is_needed", "_take")

    def __init__(
        self,
        *,
        find_url: Callable[[str], str | None],
        is_needed: Callable[[], bool],
        take: Callable[[Beliefs, str], None],
    ) -> None:
        self._find_url = find_url
        self._is_needed = is_needed
        self._take = take
        self._callers: dict[str, HttpCaller] = {}
        self._behind_since: float | None = None

    def close(self) -> None:
        """Close all connections."""
        for caller in self._callers.values():
            caller.close()

    async def run(self, list_peers: Callable[[], tuple[News, ...]]) -> None:
        """Ask whenever that is needed, until cancelled."""
        while True:
            await asyncio.sleep(PULL_SECONDS / 2)
            if self._must_wait():
                continue
            for news in _rank(list_peers()):
                if await self._pull(news.name):
                    await asyncio.sleep(PULL_SECONDS / 2)
                    break

    def _must_wait(self) -> bool:
        now = asyncio.get_running_loop().time()
        if not self._is_needed():
            self._behind_since = None
            return True
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
    return sorted(known, key=lambda one: (not one.knows_store, -one.configuration))
