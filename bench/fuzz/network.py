"""Faults between the processes of a system that runs in one process.

While installed, parcels can be dropped or delayed (and so cross each
other), and a daemon can be frozen: it sends nothing, takes nothing in and
its ticks stand still, until it is thawed.
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

LONGEST_DELAY = 0.8


class Network:
    """The state of the network; `links` holds pairs of addresses.

    An empty `links` means all of them.  The chances are from 0 to 1.
    """

    def __init__(self, *, seed: int) -> None:
        self.drops = 0.0
        self.delays = 0.0
        self.links: set[frozenset[str]] = set()
        self.lost = 0
        self.delayed = 0
        self._chance = random.Random(seed)
        self._frozen: dict[int, EntryDaemon | Agent] = {}
        self._send = Mailbox._send
        self._flush = Mailbox._flush

    def heal(self) -> None:
        """Deliver everything at once from now on."""
        self.drops = self.delays = 0.0
        self.links.clear()
        for daemon in tuple(self._frozen.values()):
            self.thaw(daemon)

    def freeze(self, daemon: EntryDaemon | Agent) -> None:
        """Let a daemon stand still."""
        mailbox = daemon._mailbox
        if id(mailbox) in self._frozen or mailbox._closed:
            return
        self._frozen[id(mailbox)] = daemon
        mailbox._loop.remove_reader(mailbox._pull.recv_fd)

    def thaw(self, daemon: EntryDaemon | Agent) -> None:
        """Let a daemon go on."""
        mailbox = daemon._mailbox
        if self._frozen.pop(id(mailbox), None) is None or mailbox._closed:
            return
        mailbox._loop.add_reader(mailbox._pull.recv_fd, mailbox._receive)
        mailbox._loop.call_soon(mailbox._flush)

    def is_frozen(self, daemon: EntryDaemon | Agent) -> bool:
        """Tell whether a daemon stands still."""
        return id(daemon._mailbox) in self._frozen

    @contextlib.contextmanager
    def install(self) -> Iterator[None]:
        """Stand between all mailboxes."""
        network = self
        choose = Runner.pump
        ticks = {cls: cls._tick for cls in (EntryDaemon, Agent)}

        def flush(mailbox: Mailbox) -> None:
            if id(mailbox) not in network._frozen:
                network._flush(mailbox)

        def send(mailbox: Mailbox, address: str, peer: object, now: float) -> None:
            network.pass_on(mailbox, address, peer, now)

        def make_tick(cls: type) -> object:
            def tick(daemon: EntryDaemon | Agent) -> None:
                if not network.is_frozen(daemon):
                    ticks[cls](daemon)

            return tick

        def pump(runner: Runner) -> None:
            frozen = network._frozen.values()
            if not any(getattr(each, "_runner", None) is runner for each in frozen):
                choose(runner)

        with contextlib.ExitStack() as stack:
            patch = mock.patch.object
            stack.enter_context(patch(Mailbox, "_flush", flush))
            stack.enter_context(patch(Mailbox, "_send", send))
            stack.enter_context(patch(Runner, "pump", pump))
            for cls in ticks:
                stack.enter_context(patch(cls, "_tick", make_tick(cls)))
            yield

    def pass_on(self, mailbox: Mailbox, address: str, peer: object, now: float) -> None:
        """Send a parcel, drop it or send it later."""
        link = frozenset((mailbox.address, address))
        if self.links and link not in self.links:
            self._send(mailbox, address, peer, now)
            return
        if self._chance.random() < self.drops:
            peer.messages = []
            self.lost += 1
            return
        if self._chance.random() >= self.delays:
            self._send(mailbox, address, peer, now)
            return
        messages, peer.messages = peer.messages, []
        self.delayed += 1
        asyncio.get_running_loop().call_later(
            self._chance.uniform(0.0, LONGEST_DELAY),
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
        self._send(mailbox, address, peer, mailbox._loop.time())
        peer.messages = waiting
