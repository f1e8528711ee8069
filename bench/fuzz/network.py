"""Network faults and frozen daemons in a system that runs in one process.

An installed `Network` can drop or delay message batches, and delayed batches may
arrive out of order.  It can also freeze a daemon, which then neither sends nor
receives nor ticks until it is thawed.
"""

import asyncio
import contextlib
import random
from collections.abc import Iterator
from unittest import mock

from eelgrassrack.agent.agent import Agent
from eelgrassrack.agent.runner import Runner
from eelgrassrack.entry.entry import EntryDaemon
from eelgrassrack.mailbox.socket import Mailbox

MAX_DELAY_SECONDS = 0.8


class Network:
    """The faults of the network that are active now.

    `drop_probability` and `delay_probability` are from 0 to 1 and apply to the pairs
    of addresses in `links`, or to all pairs if `links` is empty.
    """

    def __init__(self, *, seed: int) -> None:
        self.drop_probability = 0.0
        self.delay_probability = 0.0
        self.links: set[frozenset[str]] = set()
        self.dropped_batches = 0
        self.delayed_batches = 0
        self._rng = random.Random(seed)
        self._frozen: dict[int, EntryDaemon | Agent] = {}
        self._original_send = Mailbox._send
        self._original_flush = Mailbox._flush

    def heal(self) -> None:
        """Stop dropping and delaying batches, and thaw all daemons."""
        self.drop_probability = self.delay_probability = 0.0
        self.links.clear()
        for daemon in tuple(self._frozen.values()):
            self.thaw(daemon)

    def freeze(self, daemon: EntryDaemon | Agent) -> None:
        """Stop a daemon from sending, receiving and ticking."""
        mailbox = daemon._mailbox
        if id(mailbox) in self._frozen or mailbox._closed:
            return
        self._frozen[id(mailbox)] = daemon
        mailbox._loop.remove_reader(mailbox._pull.recv_fd)

    def thaw(self, daemon: EntryDaemon | Agent) -> None:
        """Resume a frozen daemon and send its waiting messages."""
        mailbox = daemon._mailbox
        if self._frozen.pop(id(mailbox), None) is None or mailbox._closed:
            return
        mailbox._loop.add_reader(mailbox._pull.recv_fd, mailbox._receive)
        mailbox._loop.call_soon(mailbox._flush)

    def is_frozen(self, daemon: EntryDaemon | Agent) -> bool:
        """Return whether a daemon is frozen."""
        return id(daemon._mailbox) in self._frozen

    @contextlib.contextmanager
    def install(self) -> Iterator[None]:
        """Patch the mailboxes, runners and daemons to apply the faults."""
        network = self
        original_pump = Runner.pump
        original_ticks = {cls: cls._tick for cls in (EntryDaemon, Agent)}

        def flush(mailbox: Mailbox) -> None:
            if id(mailbox) not in network._frozen:
                network._original_flush(mailbox)

        def send(mailbox: Mailbox, address: str, peer: object, now: float) -> None:
            network.transmit(mailbox, address, peer, now)

        def make_tick(cls: type) -> object:
            def tick(daemon: EntryDaemon | Agent) -> None:
                if not network.is_frozen(daemon):
                    original_ticks[cls](daemon)

            return tick

        def pump(runner: Runner) -> None:
            frozen = network._frozen.values()
            if not any(getattr(each, "_runner", None) is runner for each in frozen):
                original_pump(runner)

        with contextlib.ExitStack() as stack:
            patch = mock.patch.object
            stack.enter_context(patch(Mailbox, "_flush", flush))
            stack.enter_context(patch(Mailbox, "_send", send))
            stack.enter_context(patch(Runner, "pump", pump))
            for cls in original_ticks:
                stack.enter_context(patch(cls, "_tick", make_tick(cls)))
            yield

    def transmit(
        self, mailbox: Mailbox, address: str, peer: object, now: float
    ) -> None:
        """Send the waiting messages of a peer now or later, or drop them."""
        link = frozenset((mailbox.address, address))
        if self.links and link not in self.links:
            self._original_send(mailbox, address, peer, now)
            return
        if self._rng.random() < self.drop_probability:
            peer.messages = []
            self.dropped_batches += 1
            return
        if self._rng.random() >= self.delay_probability:
            self._original_send(mailbox, address, peer, now)
            return
        messages, peer.messages = peer.messages, []
        self.delayed_batches += 1
        asyncio.get_running_loop().call_later(
            self._rng.uniform(0.0, MAX_DELAY_SECONDS),
            self._send_late,
            mailbox,
            address,
            messages,
        )

    def _send_late(self, mailbox: Mailbox, address: str, messages: list) -> None:
        if mailbox._closed:
            return
        peer = mailbox._find_peer(address)
        waiting, peer.messages = peer.messages, messages
        self._original_send(mailbox, address, peer, mailbox._loop.time())
        peer.messages = waiting
