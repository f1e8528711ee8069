"""Errors of the agent."""

from ..errors import EelgrassrackError


class AgentError(EelgrassrackError):
    """Base of the agent's errors."""


class AnswerError(AgentError):
    """An endpoint's answer is incomplete or isn't an answer to the request.

    `cut` is true if the answer ended before it was complete.
    """

    def __init__(self, reason: str, *, cut: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.cut = cut
