"""Handles the messages from agents and other entries."""

from collections.abc import Callable

from ..decisions.hearing import Hearing
from ..mailbox.messages import (
    AnyMessage,
    Cleared,
    Crash,
    Custody,
    DocumentCopy,
    Ended,
    Hello,
    Load,
    MessageBatch,
    Piece,
    Presence,
    Quarantined,
    WantDocument,
)
from .billing import Billing
from .channels import Channels
from .configuration import Configuration
from .directory import Directory
from .meter import Meter
from .peers import Peers
from .suspects import SuspectRequests

Post = Callable[[str, AnyMessage], None]


class Inbox:
    """Passes each message to the part of the entry that handles its type."""

    __slots__ = (
        "_billing",
        "_channels",
        "_clock",
        "_configuration",
        "_directory",
        "_hearing",
        "_meter",
        "_peers",
        "_post",
        "_suspects",
    )

    def __init__(
        self,
        *,
        billing: Billing,
        channels: Channels,
        clock: Callable[[], float],
        configuration: Configuration,
        directory: Directory,
        hearing: Hearing,
        meter: Meter,
        peers: Peers,
        post: Post,
        suspects: SuspectRequests,
    ) -> None:
        self._billing = billing
        self._channels = channels
        self._clock = clock
        self._configuration = configuration
        self._directory = directory
        self._hearing = hearing
        self._meter = meter
        self._peers = peers
        self._post = post
        self._suspects = suspects

    def deliver(self, batch: MessageBatch) -> None:
        """Process a batch of messages from an agent or another entry."""
        self._configuration.tick()
        now = self._clock()
        self._hearing.note_heard(sender=batch.address, now=now)
        sender = batch.incarnation
        for message in batch.messages:
            # Nearly all messages are pieces, and each pattern that doesn't match
            # costs as much as hashing the piece.
            if type(message) is Piece:
                self._channels.take_piece(message, sender, now)
            else:
                self._take(message, batch, now)

    def build_presence(self, *, answers: int = 0) -> Presence:
        """Return this entry's heartbeat."""
        return self._peers.build_presence(
            revision=self._configuration.snapshot.revision,
            ledger=self._billing.current,
            answers=answers,
        )

    def _take(self, message: AnyMessage, batch: MessageBatch, now: float) -> None:
        match message:
            case Load():
                self._take_load(message, batch, now)
            case Presence(revision=revision, answers=answers):
                self._configuration.note_peer_revision(revision, batch.address, answers)
            case Hello(question=question):
                self._configuration.call_when_confirmed(
                    lambda: self._answer_hello(question, batch)
                )
            case Crash():
                self._suspects.take_crash(message)
            case Cleared():
                self._suspects.take_cleared(message)
            case Quarantined(fingerprints=fingerprints):
                self._suspects.merge(fingerprints)
            case Custody():
                self._billing.take_custody(custody=message, address=batch.address)
            case WantDocument():
                self._configuration.call_when_confirmed(
                    lambda: self._answer_want(message, batch.address)
                )
            case DocumentCopy():
                self._configuration.take_copy(message)
            case _:
                self._take_progress(message, batch, now)

    def _take_progress(
        self, message: AnyMessage, batch: MessageBatch, now: float
    ) -> None:
        if isinstance(message, Ended) and message.bill is not None:
            self._meter.note_bill(message.bill)
            self._billing.take(bill=message.bill, address=batch.address)
        self._channels.take(message, batch.incarnation, now)

    def _take_load(self, load: Load, batch: MessageBatch, now: float) -> None:
        endpoint = self._directory.take_load(
            load, batch.address, batch.incarnation, now
        )
        self._peers.refresh_facts(
            endpoint=endpoint,
            load=load,
            snapshot=self._configuration.snapshot,
            quarantined=self._suspects.quarantined,
        )

    def _answer_hello(self, question: int, batch: MessageBatch) -> None:
        endpoint = self._directory.find_by_address(batch.address)
        if endpoint is not None:
            self._peers.send_facts(
                endpoint=endpoint,
                snapshot=self._configuration.snapshot,
                quarantined=self._suspects.quarantined,
            )
        self._post(batch.address, self.build_presence(answers=question))

    def _answer_want(self, want: WantDocument, address: str) -> None:
        if self._configuration.snapshot.revision > want.revision:
            copy = self._configuration.build_copy(answers=want.question)
            self._post(address, copy)
            return
        # A peer that was paused asks whether its revision is still in force.
        self._post(address, self.build_presence(answers=want.question))
