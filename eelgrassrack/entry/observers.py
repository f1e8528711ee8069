"""Observers of attempts that another entry dispatched.

A resend with a known idempotency key may reach an entry that didn't dispatch the
first run; its outcome is then requested from the agent.
"""

from ..decisions.hearing import Hearing
from ..mailbox.messages import Ask, Resume
from .channels import ASK_AFTER_SECONDS, Channel, OutcomeUnknown


class AttemptObserver(Channel):
    """Gets the outcome of an attempt from its agent but never cancels it."""

    __slots__ = ()

    def ask(self, now: float) -> None:
        """Ask for the state of the attempt, then for its pieces.

        The order matters: an agent that never received the attempt answers the
        first message with a tombstone, and then never starts it.
        """
        self._asked_at = now
        self._post(self.address, Ask(attempt=self.attempt, agent=self.agent))
        self._post(self.address, Resume(attempt=self.attempt, offset=self.expected))

    def check_timeouts(self, now: float, hearing: Hearing) -> None:
        """Ask again, and give up at the deadline or if the agent is silent."""
        if self.outcome.done():
            return
        if now >= self.deadline:
            self.settle(OutcomeUnknown(reason="the first run has not ended"))
        elif self._is_agent_gone(now, hearing):
            self.settle(OutcomeUnknown(reason="the agent is silent"))
        elif self._asked_at is None or now - self._asked_at >= ASK_AFTER_SECONDS:
            self.ask(now)

    def cancel(self, now: float) -> None:
        """Do nothing, because the attempt belongs to another caller as well."""
