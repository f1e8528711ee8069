"""Heartbeats, which carry the agent's load report to entries."""

import itertools

from ..mailbox.messages import AnyMessage
from ..metrics import AGENT_REVISION, QUEUED, RUNNING, WINDOW, Metrics
from .core import Core
from .entries import EntryDirectory
from .outbox import Post

# After three missed heartbeats an entry considers the agent lost.
HEARTBEAT_SECONDS = 1.0


class Heartbeat:
    """Send the load report every second and after important changes."""

    __slots__ = ("_core", "_entries", "_metrics", "_post", "_sent_at")

    def __init__(
        self, *, core: Core, entries: EntryDirectory, post: Post, metrics: Metrics
    ) -> None:
        self._core = core
        self._entries = entries
        self._post = post
        self._metrics = metrics
        self._sent_at = float("-inf")

    def tick(self) -> None:
        """Send the report if it is due."""
        if self._core.clock() - self._sent_at >= HEARTBEAT_SECONDS:
            self.send()

    def send(self) -> None:
        """Send the report now."""
        now = self._core.clock()
        self._sent_at = now
        load = self._core.make_load()
        live = self._core.attempts.live.values()
        served = itertools.chain.from_iterable(attempt.readers for attempt in live)
        for address in self._entries.find_heartbeat_receivers(served=served, now=now):
            self._post(address, load)
        self._metrics.gauge(WINDOW, load.window)
        self._metrics.gauge(RUNNING, load.running)
        self._metrics.gauge(QUEUED, load.queued)
        self._metrics.gauge(AGENT_REVISION, load.revision)

    def announce(self, message: AnyMessage) -> None:
        """Send a message to all known entries."""
        for address in self._entries.find_all():
            self._post(address, message)
