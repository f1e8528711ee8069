"""Peer updates: gateways send their state to each other by UDP.

Each datagram holds the sender's whole state, so a newer one makes up for a lost or
late one, and a silent peer can't block anything as it could on a connection.

Traffic between failure domains costs money, and requests mostly stay within their
domain, so peers of other domains get updates less often.  Changes that all
gateways need soon go to all of them immediately.
"""

import asyncio
import contextlib
import math
import secrets
from collections.abc import Callable

import logbook
import msgspec

from ...decisions.precedence import Sharer
from ...decisions.stopping import Readiness
from ...errors import FormatError
from ..store.storeobjects import Peer
from .roommessages import RoomMessage, decode_message, is_message
from .updatemessages import Audience, PeerUpdate, decode_update

log = logbook.Logger("news")

# Interval between updates.  In a burst a gateway's load may change by half within a
# second, and this is a quarter of that time.
UPDATE_SECONDS = 0.25

# An urgent update waits this long for others that are urgent too.
HURRY_SECONDS = 0.02

# A gateway that starts waits this long for a first peer, which knows what is blocked.
FIRST_CONTACT_SECONDS = 0.4

# Up to this many peers of other failure domains get every update.  With more of them
# they all get every second update, every third and so on, but at least every
# fourth.  An urgent change goes to all of them immediately.
FULL_RATE_FAR_PEERS = 4
LONGEST_FAR_INTERVAL = 4

# With more peers than this the interval grows, so that a gateway's traffic per second
# doesn't grow with the number of gateways.
FULL_RATE_PEERS = 32

# The in-flight requests of a peer that is silent for longer than this are ignored.
# The time grows with the interval between updates.  Peers of other failure domains
# send at least once a second, and one datagram may be lost.
SILENT_SECONDS = 2.0
FAR_SILENT_SECONDS = 2.6

# A peer that is silent for longer than this gets no share of the common limits.
SHARE_SECONDS = 20.0


# Share of the listed gateways, among more than this number, that must have been heard
# before their roles can be told.  The list never forgets any.
MANY_PEERS = 8
HEARD_SHARE = 0.8

# Number of new peers whose names are logged in one line.
MAX_LOGGED_NAMES = 20


class ReceivedUpdate(msgspec.Struct):
    """The newest update of a peer, and the loop time at which it arrived."""

    update: PeerUpdate
    at: float


def _ignore_message(message: RoomMessage) -> None:
    """Ignore a message of a peer."""


def _count_nothing(size: int) -> None:
    """Ignore the bytes sent to other failure domains."""


class UpdateExchange(asyncio.DatagramProtocol):
    """Send this gateway's updates to all peers, and keep theirs.

    `make_update` returns the update to send, `receive_update` gets each new update
    of a peer, `receive_message` what peers tell this gateway alone, and `count_crossed`
    the bytes sent to other failure domains.
    `lifetime` tells this process from earlier ones of the same name.  `is_listed`
    says whether a list of all gateways that includes this one was read.
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
        receive_message: Callable[[RoomMessage], None] = _ignore_message,
        count_crossed: Callable[[int], None] = _count_nothing,
    ) -> None:
        self.is_listed = False
        self.lifetime = secrets.token_hex(4)
        self._name = name
        self._domain = domain
        self._address = address
        self._seeds: list[tuple[str, int]] = []
        self.set_seeds(seeds)
        self._make_update = make_update
        self._receive_update = receive_update
        self._receive_message = receive_message
        self._count_crossed = count_crossed
        self._peers: dict[str, tuple[str, int]] = {}
        self._received: dict[str, ReceivedUpdate] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._number = 0
        self._far_number = 0
        self._slowdown = 1.0
        self._far_urgent_state: tuple[object, ...] = ()
        self._listed_at: dict[str, float] = {}
        self._unlogged: list[str] = []
        self._hurry = asyncio.Event()
        self._latest: PeerUpdate | None = None
        self._opened_at = -math.inf

    def hurry(self) -> None:
        """Send the next update soon."""
        self._hurry.set()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set the IP addresses of the seed gateways."""
        host, port = self._address
        self._seeds = [(seed, port) for seed in seeds if seed != host]

    async def open(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self._opened_at = loop.time()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Send updates until cancelled."""
        while True:
            self.send()
            self._log_new_peers()
            far = self._find_far()
            datagrams = (
                len(self._peers) - len(far) + len(far) / _find_far_interval(len(far))
            )
            self._slowdown = max(1.0, datagrams / FULL_RATE_PEERS)
            await self._pause(UPDATE_SECONDS * self._slowdown)

    async def _pause(self, seconds: float) -> None:
        """Wait until the next update is due, or soon if it is urgent."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._hurry.wait()
                await asyncio.sleep(HURRY_SECONDS)
        self._hurry.clear()

    def send(self) -> None:
        """Send the current state to all peers whose update is due."""
        addresses = set(self._peers.values()) or set(self._seeds)
        if self._transport is None or not addresses:
            return
        far = self._find_far()
        update = self._send_to(Audience.NEAR, addresses - far)
        is_due = self._number >= self._far_number + _find_far_interval(len(far))
        if far and (is_due or update.urgent_state != self._far_urgent_state):
            self._far_urgent_state = update.urgent_state
            self._far_number = self._number
            self._send_to(Audience.FAR, far)

    def _send_to(
        self, audience: Audience, addresses: set[tuple[str, int]]
    ) -> PeerUpdate:
        self._number += audience is Audience.NEAR
        update = self._make_update(
            name=self._name,
            lifetime=self.lifetime,
            port=self._address[1],
            number=self._number,
            audience=audience,
        )
        self._latest = update
        data = msgspec.msgpack.encode(update)
        for address in addresses:
            self._transport.sendto(data, address)
        if audience is Audience.FAR:
            self._count_crossed(len(data) * len(addresses))
        return update

    def tell(self, name: str, message: RoomMessage) -> None:
        """Send a message to one peer, if it is live and answers such messages."""
        received = self._received.get(name)
        if self._transport is None or received is None or not received.update.lends:
            return
        data = msgspec.msgpack.encode(message)
        self._transport.sendto(data, self._peers[name])
        if self.is_far(name):
            self._count_crossed(len(data))

    def _log_new_peers(self) -> None:
        """Log the peers heard since the last round in one line."""
        if not self._unlogged:
            return
        names = ", ".join(self._unlogged[:MAX_LOGGED_NAMES])
        more = "" if len(self._unlogged) <= MAX_LOGGED_NAMES else ", ..."
        log.info(
            "news: receiving updates of {} gateways: {}{}",
            len(self._unlogged),
            names,
            more,
        )
        self._unlogged.clear()

    def _find_far(self) -> set[tuple[str, int]]:
        """Return the addresses of the peers known to be in other failure domains."""
        return {self._peers[name] for name in self._received if self.is_far(name)}

    def add_peers(self, peers: dict[str, Peer]) -> None:
        """Add the gateways of a list read from the store, which never forgets any.

        A list that lacks this gateway may be too old to have the others either.
        """
        now = asyncio.get_running_loop().time()
        self.is_listed = self.is_listed or self._name in peers
        for peer in peers.values():
            if peer.name != self._name:
                self._add(peer.name, peer.address, now)
        if self.awaits_peers:
            self.hurry()

    @property
    def latest(self) -> tuple[PeerUpdate, ...]:
        """Return the latest update of each live peer."""
        now = asyncio.get_running_loop().time()
        return tuple(
            received.update
            for received in self._received.values()
            if self._is_live(received, now)
        )

    @property
    def awaits_peers(self) -> bool:
        """Return whether this gateway has just started and may soon hear a first peer.

        Until then it doesn't know which prompts crash endpoints.
        """
        if self._received or (self.is_listed and not self._peers):
            return False
        now = asyncio.get_running_loop().time()
        return now < self._opened_at + FIRST_CONTACT_SECONDS

    @property
    def knows_peers(self) -> bool:
        """Return whether enough is known of the other gateways to tell their roles.

        Of many gateways most must have been heard, and one that reads the store: the
        first updates of a start are sent before the store has answered.
        """
        if not self.is_listed:
            return False
        count = len(self._peers)
        latest = self.latest
        has_reader = any(update.knows_store for update in latest)
        is_heard = has_reader and len(latest) >= HEARD_SHARE * count
        return is_heard or count < MANY_PEERS

    @property
    def gateway_count(self) -> int:
        """Return how many gateways share the common limits, including this one."""
        return 1 + len(self.sharers)

    @property
    def sharers(self) -> tuple[Sharer, ...]:
        """Return the other gateways that share the common limits.

        A listed peer counts until it has been silent for `SHARE_SECONDS`: it may be
        alive on the other side of a network partition and use its share there.
        """
        now = asyncio.get_running_loop().time()
        return tuple(
            Sharer(name, self._find_domain(name))
            for name in self._peers
            if now < self._find_last_seen(name) + SHARE_SECONDS
        )

    @property
    def readiness(self) -> Readiness:
        """Return how many other gateways are ready."""
        ready = [update for update in self.latest if update.is_ready]
        near_ready = sum(update.domain == self._domain for update in ready)
        near = sum(sharer.domain == self._domain for sharer in self.sharers)
        return Readiness(
            near=1 + near, near_ready=near_ready, far_ready=len(ready) - near_ready
        )

    def is_far(self, name: str) -> bool:
        """Return whether a peer is known to be in another failure domain."""
        received = self._received.get(name)
        return received is not None and received.update.domain != self._domain

    def find_address(self, name: str) -> str | None:
        """Return a peer's IP address, or None if the peer isn't known."""
        address = self._peers.get(name)
        return address[0] if address else None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport; asyncio calls this when the socket is open."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a message, or a peer's update unless a newer one has arrived."""
        try:
            if is_message(data):
                self._receive_message(decode_message(data))
                return
            update = decode_update(data)
        except FormatError as error:
            log.warning("news: update from {} can't be read: {}", addr[0], error)
            return
        if update.name == self._name:
            return
        now = asyncio.get_running_loop().time()
        self._add(update.name, (addr[0], update.port), now)
        previous = self._received.get(update.name)
        is_known = previous is not None and previous.update.lifetime == update.lifetime
        if is_known and previous.update.number >= update.number:
            return
        if not is_known:
            if previous is None or not self._is_live(previous, now):
                self._unlogged.append(update.name)
            self._greet(self._peers[update.name])
        self._received[update.name] = ReceivedUpdate(update, now)
        self._receive_update(update)

    def _greet(self, address: tuple[str, int]) -> None:
        """Tell a peer that has just started of queries of death at once."""
        if self._latest is not None and self._latest.traits:
            self._transport.sendto(msgspec.msgpack.encode(self._latest), address)

    def error_received(self, exc: Exception) -> None:
        """Log network errors, such as for a peer that is down."""
        log.debug("news: {}", exc)

    def _is_live(self, received: ReceivedUpdate, now: float) -> bool:
        is_far = self.is_far(received.update.name)
        longest = FAR_SILENT_SECONDS if is_far else SILENT_SECONDS
        return now < received.at + longest * self._slowdown

    def _add(self, name: str, address: tuple[str, int], now: float) -> None:
        self._peers[name] = address
        self._listed_at.setdefault(name, now)

    def _find_domain(self, name: str) -> str:
        """Return a peer's failure domain, empty if it isn't known."""
        received = self._received.get(name)
        return received.update.domain if received else ""

    def _find_last_seen(self, name: str) -> float:
        received = self._received.get(name)
        return received.at if received else self._listed_at[name]


def _find_far_interval(far: int) -> int:
    """Return n where `far` peers of other domains get every n-th update."""
    return min(max(math.ceil(far / FULL_RATE_FAR_PEERS), 1), LONGEST_FAR_INTERVAL)
