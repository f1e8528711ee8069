"""Dispatch the messages from entries to the parts that handle them."""

from collections.abc import Callable

from ..mailbox.messages import (
    AnyMessage,
    Ask,
    Cancel,
    Facts,
    FactsKept,
    Hello,
    MessageBatch,
    Presence,
    Quarantined,
    Resume,
    Settle,
    Start,
)
from .core import Core
from .entries import EntryDirectory
from .intake import Intake
from .outbox import Post
from .pause import PauseDetector
from .quarantine import Quarantine
from .replies import Replies
from .runner import Runner


class Inbox:
    """Dispatch each message by its type."""

    __slots__ = (
        "_core",
        "_entries",
        "_intake",
        "_on_new_revision",
        "_pause",
        "_post",
        "_quarantine",
        "_replies",
        "_runner",
    )

    def __init__(
        self,
        *,
        core: Core,
        entries: EntryDirectory,
        intake: Intake,
        runner: Runner,
        replies: Replies,
        pause: PauseDetector,
        quarantine: Quarantine,
        post: Post,
        on_new_revision: Callable[[], None],
    ) -> None:
        """Create an inbox that calls `on_new_revision` after a newer revision."""
        self._core = core
        self._entries = entries
        self._intake = intake
        self._runner = runner
        self._replies = replies
        self._pause = pause
        self._quarantine = quarantine
        self._post = post
        self._on_new_revision = on_new_revision

    def deliver(self, batch: MessageBatch) -> None:
        """Handle a batch of messages from an entry."""
        self._pause.detect_pause()
        self._entries.note_message(
            address=batch.address,
            incarnation=batch.incarnation,
            now=self._core.clock(),
        )
        for message in batch.messages:
            self._dispatch(message, batch)
        self._runner.pump()

    def _dispatch(self, message: AnyMessage, batch: MessageBatch) -> None:
        sender = batch.address
        match message:
            case Start():
                incarnation = batch.incarnation
                self._intake.receive(
                    start=message, sender=sender, incarnation=incarnation
                )
            case Cancel():
                self._runner.cancel(message, sender)
            case Ask():
                self._replies.answer(message, sender)
            case Resume():
                self._replies.resume(message, sender)
            case Settle():
                self._replies.settle(message)
            case Facts():
                self._apply_facts(message)
            case FactsKept():
                self._confirm_facts(message, sender)
            case Presence():
                self._apply_presence(message, sender)
            case Quarantined(fingerprints=fingerprints):
                self._add_quarantined(fingerprints)
            case Hello():
                self._post(sender, self._core.make_load())

    def _apply_facts(self, facts: Facts) -> None:
        self._add_quarantined(facts.quarantined)
        newer = self._core.apply_facts(facts)
        self._release_deferred()
        if newer:
            self._intake.refuse_waiting()
            self._on_new_revision()

    def _confirm_facts(self, kept: FactsKept, sender: str) -> None:
        if not self._core.confirm_facts(revision=kept.revision, since=kept.since):
            self._post(sender, Hello())
            return
        self._release_deferred()

    def _release_deferred(self) -> None:
        """Check deferred attempts again, unless the facts are unconfirmed."""
        if self._core.state.confirmed:
            self._intake.release_deferred()

    def _apply_presence(self, presence: Presence, sender: str) -> None:
        self._entries.note_presence(
            address=sender, ledger=presence.ledger, leaving=presence.leaving
        )
        if self._pause.confirm(revision=presence.revision, answers=presence.answers):
            self._intake.release_deferred()
            self._intake.refuse_waiting()

    def _add_quarantined(self, fingerprints: tuple[str, ...]) -> None:
        self._quarantine.add(fingerprints, now=self._core.clock())
        self._core.state.quarantined = self._quarantine.fingerprints
