"""News between gateways: small datagrams, several times a second.

A datagram that is lost is followed by a newer one, and a peer that falls
silent is simply not heard: there is no connection that could hang.  Each
datagram holds the whole state, so the order of arrival doesn't matter.

Bytes between failure domains are paid for, and requests mostly stay within
theirs, so peers of other domains get news less often.  What all must know soon
is told to all at once.
"""

import asyncio
import enum
import math
import secrets
from collections.abc import Callable
from typing import Annotated

import logbook
import msgspec

from ..decisions.fairshare import Told
from ..decisions.precedence import Sharer
from ..decisions.queryofdeath import Crash
from ..decisions.stopping import Readiness
from ..decisions.urgency import LEAST_URGENT
from ..decisions.versiontrial import Tally
from .storeobjects import Peer

log = logbook.Logger("news")

# Between datagrams to all peers: a quarter of the second in which an entry's
# load may change by half in a burst.
UPDATE_SECONDS = 0.25

# Each news go to about so many peers of other failure domains at full rate.  With
# more of them each gets every second news, every third and so on, but every
# fourth at least, unless there is something that all must know.
FAR_PEERS = 4
MOST_SKIPPED = 4

# With more peers than this the pause grows, so that what an entry sends and
# reads a second doesn't grow with the fleet.
FULL_RATE_PEERS = 32

# A peer that wasn't heard for so long has nothing under way that counts; with
# longer pauses between news, for so much longer.  Those of other failure domains
# send once a second at least, and one may be lost.
HEARD_SECONDS = 2.0
FAR_HEARD_SECONDS = 2.6

# A peer that wasn't heard for so long has no share of the common limits.
SHARE_SECONDS = 20.0


class BacklogReport(msgspec.Struct, frozen=True, array_like=True):
    """The time that an endpoint needs to read its prompts of one urgency."""

    urgency: Annotated[int, msgspec.Meta(ge=0, le=LEAST_URGENT)]
    milliseconds: int


class EndpointReport(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway has under way at a lifetime of an endpoint.

    `lifetime` is a short hash, since most bytes of the news would be names.
    `answers` and `slowness` are a `Timing` in hundredths.
    """

    lifetime: int
    running: int
    backlog: tuple[BacklogReport, ...] = ()
    answers: int = 0
    slowness: int = 0


class TrialReport(msgspec.Struct, frozen=True, array_like=True):
    """How far a roll-out has come, as seen by one gateway.

    `is_witnessed` says that `elapsed` was counted from when it was seen to begin.
    """

    service: str
    version: str
    created: int
    elapsed: float
    is_bad: bool
    tallies: tuple[Tally, ...]
    is_witnessed: bool = False


class Pin(msgspec.Struct, frozen=True, array_like=True):
    """A session, by its hash, and whether it is on the new version."""

    session: int
    is_new: bool


class PeerUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The state of one gateway, as it tells its peers.

    `revisions` are those of the store at the last changes of each kind that
    were seen, in the order in which all gateways follow the kinds.  `suspected`
    are lifetimes of endpoints, by their hash, that lost an answer lately;
    `usage` is what organisations had engines read.  `is_ready` tells whether the
    balancer may send callers there; those that don't tell are.
    """

    name: str
    lifetime: str
    port: int
    number: int
    configuration: int
    knows_store: bool
    revisions: tuple[int, ...] = ()
    endpoints: tuple[EndpointReport, ...] = ()
    trials: tuple[TrialReport, ...] = ()
    pins: tuple[Pin, ...] = ()
    crashes: tuple[Crash, ...] = ()
    suspected: tuple[int, ...] = ()
    usage: Told = Told()
    domain: str = ""
    is_ready: bool = True

    @property
    def alarm(self) -> tuple[object, ...]:
        """Return what all peers must know soon once it changes."""
        bad = tuple(trial.version for trial in self.trials if trial.is_bad)
        known = (self.configuration, self.knows_store, self.revisions)
        return (known, bad, self.crashes, self.suspected, self.is_ready)


class Audience(enum.Enum):
    """Whom news are made for."""

    NEAR = "peers of the same failure domain"
    FAR = "peers of other failure domains"


class Heard(msgspec.Struct):
    """The newest news of a peer, and when it came."""

    news: PeerUpdate
    at: float


def _count_nothing(size: int) -> None:
    """Take no note of bytes that crossed failure domains."""


class UpdateExchange(asyncio.DatagramProtocol):
    """Send own news to all peers and keep theirs.

    `is_listed` tells whether a list of all gateways was read, this one among them.
    """

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        address: tuple[str, int],
        seeds: tuple[str, ...],
        make_update: Callable[..., PeerUpdate],
        receive_update: Callable[[PeerUpdate], None],
        count_crossed: Callable[[int], None] = _count_nothing,
    ) -> None:
        self.is_listed = False
        self.lifetime = secrets.token_hex(4)
        self._name = name
        self._domain = domain
        self._address = address
        self._seeds: list[tuple[str, int]] = []
        self.take_seeds(seeds)
        self._make_update = make_update
        self._receive_update = receive_update
        self._count_crossed = count_crossed
        self._peers: dict[str, tuple[str, int]] = {}
        self._heard: dict[str, Heard] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._number = 0
        self._far_number = 0
        self._crowd = 1.0
        self._alarm: tuple[object, ...] = ()
        self._listed_at: dict[str, float] = {}

    def take_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take over the IP numbers of gateways to begin with."""
        host, port = self._address
        self._seeds = [(seed, port) for seed in seeds if seed != host]

    async def open(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._address)

    def close(self) -> None:
        """Listen no more."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Send news until cancelled."""
        while True:
            self.send()
            far = self._find_far()
            told = len(self._peers) - len(far) + len(far) / _find_turns(len(far))
            self._crowd = max(1.0, told / FULL_RATE_PEERS)
            await asyncio.sleep(UPDATE_SECONDS * self._crowd)

    def send(self) -> None:
        """Send the news as they are now."""
        addresses = set(self._peers.values()) or set(self._seeds)
        if self._transport is None or not addresses:
            return
        far = self._find_far()
        news = self._tell(Audience.NEAR, addresses - far)
        is_due = self._number >= self._far_number + _find_turns(len(far))
        if far and (is_due or news.alarm != self._alarm):
            self._alarm = news.alarm
            self._far_number = self._number
            self._tell(Audience.FAR, far)

    def _tell(self, audience: Audience, addresses: set[tuple[str, int]]) -> PeerUpdate:
        self._number += audience is Audience.NEAR
        news = self._make_update(
            name=self._name,
            lifetime=self.lifetime,
            port=self._address[1],
            number=self._number,
            audience=audience,
        )
        data = msgspec.msgpack.encode(news)
        for address in addresses:
            self._transport.sendto(data, address)
        if audience is Audience.FAR:
            self._count_crossed(len(data) * len(addresses))
        return news

    def _find_far(self) -> set[tuple[str, int]]:
        """Return the addresses of peers that are known to be in other domains."""
        return {self._peers[name] for name in self._heard if self.is_far(name)}

    def take_peers(self, peers: dict[str, Peer]) -> None:
        """Take over the list of all gateways that were ever there.

        One that doesn't name this gateway may be from before the others started.
        """
        now = asyncio.get_running_loop().time()
        self.is_listed = self.is_listed or self._name in peers
        for peer in peers.values():
            if peer.name != self._name:
                self._add(peer.name, peer.address, now)

    @property
    def heard(self) -> tuple[PeerUpdate, ...]:
        """Return the news of peers that were heard lately."""
        now = asyncio.get_running_loop().time()
        return tuple(
            one.news for one in self._heard.values() if self._is_heard(one, now)
        )

    @property
    def entries(self) -> int:
        """Return how many gateways share the common limits, this one included."""
        return 1 + len(self.sharers)

    @property
    def sharers(self) -> tuple[Sharer, ...]:
        """Return the other gateways that share the common limits.

        One that is listed counts until it wasn't heard for long: it may be
        alive on the other side of a cut and use its share there.
        """
        now = asyncio.get_running_loop().time()
        return tuple(
            Sharer(name, self._find_domain(name))
            for name in self._peers
            if now < self._find_last(name) + SHARE_SECONDS
        )

    @property
    def readiness(self) -> Readiness:
        """Return how many gateways are ready, but for this one."""
        ready = [one for one in self.heard if one.is_ready]
        near_ready = sum(one.domain == self._domain for one in ready)
        near = sum(one.domain == self._domain for one in self.sharers)
        return Readiness(
            near=1 + near, near_ready=near_ready, far_ready=len(ready) - near_ready
        )

    def is_far(self, name: str) -> bool:
        """Tell whether a peer is known to be in another failure domain."""
        heard = self._heard.get(name)
        return heard is not None and heard.news.domain != self._domain

    def find_address(self, name: str) -> str | None:
        """Return a peer's IP number."""
        address = self._peers.get(name)
        return address[0] if address else None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take over a peer's news, unless they are older than known ones."""
        try:
            news = msgspec.msgpack.decode(data, type=PeerUpdate)
        except msgspec.DecodeError as error:
            log.warning("news: bytes of {} can't be read: {}", addr[0], error)
            return
        if news.name == self._name:
            return
        now = asyncio.get_running_loop().time()
        self._add(news.name, (addr[0], news.port), now)
        known = self._heard.get(news.name)
        if known is not None and known.news.lifetime == news.lifetime:
            if known.news.number >= news.number:
                return
        elif known is None or not self._is_heard(known, now):
            log.info("news: {} is heard", news.name)
        self._heard[news.name] = Heard(news, now)
        self._receive_update(news)

    def error_received(self, exc: Exception) -> None:
        """Leave out what the network says of a peer that is down."""
        log.debug("news: {}", exc)

    def _is_heard(self, heard: Heard, now: float) -> bool:
        is_far = self.is_far(heard.news.name)
        longest = FAR_HEARD_SECONDS if is_far else HEARD_SECONDS
        return now < heard.at + longest * self._crowd

    def _add(self, name: str, address: tuple[str, int], now: float) -> None:
        self._peers[name] = address
        self._listed_at.setdefault(name, now)

    def _find_domain(self, name: str) -> str:
        """Return a peer's failure domain, empty if it isn't known."""
        heard = self._heard.get(name)
        return heard.news.domain if heard else ""

    def _find_last(self, name: str) -> float:
        heard = self._heard.get(name)
        return heard.at if heard else self._listed_at[name]


def _find_turns(far: int) -> int:
    """Return with each how many-th news so many far peers get theirs."""
    return min(max(math.ceil(far / FAR_PEERS), 1), MOST_SKIPPED)
