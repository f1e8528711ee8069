"""Send and receive message batches between entries and agents.

Each process listens on one PULL socket and dials one PUSH socket for each peer to
which it writes.  One receiving descriptor serves all peers, and an idle peer costs
no processor time.  Messages for one receiver that are posted in the same iteration
of the event loop are sent as one batch.

Delivery is in order and at most once while a connection lasts.  A batch is lost if
its receiver is gone or too slow; a sender that needs an answer must ask again.
"""

import asyncio
import collections
from collections.abc import Callable, Iterator

import logbook
import pynng
from pynng import lib

from .codec import decode_batch, encode_batch
from .errors import MailboxError
from .messages import AnyMessage, MessageBatch

log = logbook.Logger("mailbox")

Deliver = Callable[[MessageBatch], None]

# In batches.  A receiver that falls behind by more than the send buffer loses
# messages, like one that is gone.
SEND_BUFFER_BATCHES = 256
RECEIVE_BUFFER_BATCHES = 512

# Batches read from the socket before the event loop continues with other work.
BATCHES_PER_TURN = 64

# A peer's socket is closed after this many seconds without a message.
IDLE_SECONDS = 120.0

# The messages to a peer that has been unreachable for this many seconds are dropped.
# The library would keep them until the connection is back, and a start message that
# arrives hours late would find that the agent's record of its refusal has expired.
UNREACHABLE_SECONDS = 30.0

# The largest batch: the longest body that a caller may send, with a margin.
MAX_BATCH_BYTES = 4_000_000

# By default the library starts two threads per core and wakes all of them in turn,
# even for the work of one thread, which costs a third of an entry's CPU time.  It
# doesn't accept fewer than two task threads.
TASK_THREADS = 2
OTHER_THREADS = 1


def limit_threads() -> None:
    """Limit the library's threads; this works only before its first socket."""
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_TASK_THREADS, TASK_THREADS)
    for kind in (
        lib.NNG_INIT_NUM_EXPIRE_THREADS,
        lib.NNG_INIT_NUM_POLLER_THREADS,
        lib.NNG_INIT_NUM_RESOLVER_THREADS,
    ):
        lib.nng_init_set_parameter(kind, OTHER_THREADS)


limit_threads()


class Peer:
    """The sending side of the connection to one receiver.

    `messages` wait for the end of the event loop's iteration.  `reached_at` is when
    the receiver was last seen connected, `used_at` when something was last sent.
    """

    __slots__ = ("messages", "reached_at", "socket", "used_at")

    def __init__(self, *, socket: pynng.Push0, now: float) -> None:
        self.socket = socket
        self.messages: list[AnyMessage] = []
        self.reached_at = now
        self.used_at = now

    def is_active(self, now: float) -> bool:
        """Return whether the peer is or was written to and connected recently."""
        if self.socket.pipes:
            self.reached_at = now
        is_reached = now - self.reached_at <= UNREACHABLE_SECONDS
        is_used = bool(self.messages) or now - self.used_at <= IDLE_SECONDS
        return is_reached and is_used


class Mailbox:
    """Sends messages to peers by address and delivers the batches they send."""

    __slots__ = (
        "_closed",
        "_deliver",
        "_flush_due",
        "_loop",
        "_peers",
        "_pull",
        "address",
        "counts",
        "incarnation",
    )

    def __init__(self, *, address: str, incarnation: str, deliver: Deliver) -> None:
        self.address = address
        self.incarnation = incarnation
        self.counts: collections.Counter[str] = collections.Counter()
        self._deliver = deliver
        self._peers: dict[str, Peer] = {}
        self._pull: pynng.Pull0 | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._flush_due = False
        self._closed = False

    def open(self) -> None:
        """Start to listen; `address` then holds the actual port.

        Raise `MailboxError` if the address is in use or invalid.
        """
        self._loop = asyncio.get_running_loop()
        pull = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_BATCHES, recv_max_size=MAX_BATCH_BYTES
        )
        try:
            listener = pull.listen(self.address)
        except pynng.NNGException as error:
            pull.close()
            raise MailboxError(f"can't listen on {self.address}: {error}") from error
        self._pull = pull
        self.address = f"tcp://{listener.local_address}"
        self._loop.add_reader(pull.recv_fd, self._receive)

    def close(self) -> None:
        """Send the waiting messages and close all sockets."""
        if self._closed:
            return
        self._flush()
        self._closed = True
        if self._pull is not None:
            self._loop.remove_reader(self._pull.recv_fd)
            self._pull.close()
        for peer in self._peers.values():
            peer.socket.close()
        self._peers.clear()

    def post(self, *, to: str, message: AnyMessage) -> None:
        """Send a message to the process that listens on `to`.

        It is sent at the end of the event loop's iteration, in one batch with all
        others for the same receiver.
        """
        if self._closed:
            return
        self._find_peer(to).messages.append(message)
        if not self._flush_due:
            self._flush_due = True
            self._loop.call_soon(self._flush)

    def close_idle(self) -> None:
        """Close the sockets of peers that have been idle or unreachable for long."""
        now = self._loop.time()
        idle = [name for name, peer in self._peers.items() if not peer.is_active(now)]
        for address in idle:
            peer = self._peers.pop(address)
            self.counts["lost"] += len(peer.messages)
            peer.socket.close()

    def _find_peer(self, address: str) -> Peer:
        peer = self._peers.get(address)
        if peer is None:
            socket = pynng.Push0(send_buffer_size=SEND_BUFFER_BATCHES)
            # Without a cap the library's reconnect delay keeps growing, and a peer
            # would stay cut off for long after an outage.  In milliseconds.
            socket.reconnect_time_min = 50
            socket.reconnect_time_max = 1000
            socket.dial(address, block=False)
            peer = Peer(socket=socket, now=self._loop.time())
            self._peers[address] = peer
        return peer

    def _flush(self) -> None:
        self._flush_due = False
        if self._closed:
            return
        now = self._loop.time()
        for address, peer in self._peers.items():
            if peer.messages:
                self._send(address, peer, now)

    def _send(self, address: str, peer: Peer, now: float) -> None:
        messages, peer.messages = peer.messages, []
        peer.used_at = now
        for count, data in self._encode(messages):
            if len(data) > MAX_BATCH_BYTES:
                # The receiver would end the connection, and lose what else is on it.
                self.counts["lost"] += count
                log.warning("mailbox: {} bytes to {} are too many", len(data), address)
                continue
            self._send_batch(address, peer, data, count)

    def _encode(self, messages: list[AnyMessage]) -> Iterator[tuple[int, bytes]]:
        """Yield batches, with their numbers of messages, no longer than a peer takes.

        One of a single message may be longer.
        """
        batch = MessageBatch(
            address=self.address, incarnation=self.incarnation, messages=messages
        )
        data = encode_batch(batch)
        if len(data) <= MAX_BATCH_BYTES or len(messages) == 1:
            yield len(messages), data
            return
        middle = len(messages) // 2
        yield from self._encode(messages[:middle])
        yield from self._encode(messages[middle:])

    def _send_batch(self, address: str, peer: Peer, data: bytes, count: int) -> None:
        try:
            peer.socket.send(data, block=False)
        except pynng.NNGException as error:
            # The receiver is gone or its buffer is full.  The messages are lost,
            # as on a broken connection, and the sender's timeouts detect that.
            self.counts["lost"] += count
            log.debug("mailbox: {} messages to {} lost: {}", count, address, error)
            return
        self.counts["parcels_sent"] += 1
        self.counts["messages_sent"] += count

    def _receive(self) -> None:
        for _ in range(BATCHES_PER_TURN):
            if self._closed:
                return
            try:
                data = self._pull.recv(block=False)
            except pynng.TryAgain:
                return
            self._take(data)

    def _take(self, data: bytes) -> None:
        self.counts["parcels_received"] += 1
        self.counts["bytes_received"] += len(data)
        try:
            batch = decode_batch(data)
        except MailboxError as error:
            self.counts["unreadable"] += 1
            log.warning("mailbox: {}", error)
            return
        self.counts["messages_received"] += len(batch.messages)
        try:
            self._deliver(batch)
        except Exception:
            # The batches behind it are others'.
            self.counts["failed"] += 1
            log.exception("mailbox: a batch of {} failed", batch.address)
