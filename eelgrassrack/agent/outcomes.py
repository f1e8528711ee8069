"""The possible outcomes of an exchange with the endpoint.

Each way in which an endpoint can fail is a separate outcome, so that no later
step has to guess whether the answer was complete or the request was received.
"""

from collections.abc import Callable

import msgspec

Headers = tuple[tuple[str, str], ...]

# Called with the status and headers of each answer, before its body is read.
OnHead = Callable[[int, Headers], None]


class Usage(msgspec.Struct, kw_only=True, frozen=True):
    """The tokens that an attempt used, as reported by the engine."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class Completed(msgspec.Struct, kw_only=True, frozen=True):
    """The endpoint sent the complete answer."""

    status: int
    headers: Headers = ()
    usage: Usage | None = None


class AnswerFailed(msgspec.Struct, kw_only=True, frozen=True):
    """The endpoint answered, but not with a complete answer to this request.

    `cut` is true if the answer ended before it was complete.
    """

    reason: str
    status: int = 502
    cut: bool = False


class ConnectionBroken(msgspec.Struct, kw_only=True, frozen=True):
    """The connection broke after the request may have been sent."""

    reason: str


class NotConnected(msgspec.Struct, kw_only=True, frozen=True):
    """The connection failed, so the endpoint received nothing."""

    reason: str


class Stopped(msgspec.Struct, kw_only=True, frozen=True):
    """The agent itself ended the exchange."""


Outcome = Completed | AnswerFailed | ConnectionBroken | NotConnected | Stopped
