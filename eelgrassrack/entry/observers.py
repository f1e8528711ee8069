"""Channels to attempts that another entry dispatched."""

from ..mailbox.messages import Ask, Resume
from .channels import ASK_AFTER, GONE_AFTER, Channel, OutcomeUnknown


class AttemptObserver(Channel):
    """Learn the outcome of an attempt without any power over it."""

    __slots__ = ()

    def ask(self, now: float) -> None:
        """Ask what became of the attempt and for its pieces.

        The question comes first: an agent that never saw the attempt then
        vows never to start it.
        """
        self._asked_at = now
        self._post(self.address, Ask(attempt=self.attempt, agent=self.agent))
        self._post(self.address, Resume(attempt=self.attempt, offset=self.expected))

    def watch(self, now: float) -> None:
        """Ask again until the attempt has ended; never cancel it."""
        if self.outcome.done():
            return
        if now >= self.deadline:
            self.settle(OutcomeUnknown(reason="the first run has not ended"))
        elif now - self.heard_at >= GONE_AFTER:
            self.settle(OutcomeUnknown(reason="the agent is silent"))
        elif self._asked_at is None or now - self._asked_at >= ASK_AFTER:
            self.ask(now)

    def cancel(self, now: float) -> None:
        """Do nothing: the attempt is another caller's too."""
