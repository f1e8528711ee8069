"""How an exchange with the endpoint may end.

Each way in which an endpoint may fail is an outcome of its own, so that
nothing later has to guess whether an answer was whole or a request seen.
"""

import msgspec

Headers = tuple[tuple[str, str], ...]


class Usage(msgspec.Struct, kw_only=True, frozen=True):
    """The tokens an attempt used, as the engine counted them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class Completed(msgspec.Struct, kw_only=True, frozen=True):
    """The answer came whole."""

    status: int
    headers: Headers = ()
    usage: Usage | None = None


class AnswerFailed(msgspec.Struct, kw_only=True, frozen=True):
    """The endpoint answered, but not with a whole answer to this request."""

    reason: str
    status: int = 502
    cut: bool = False


class ConnectionBroken(msgspec.Struct, kw_only=True, frozen=True):
    """The connection broke after the request may have been sent."""

    reason: str


class NotConnected(msgspec.Struct, kw_only=True, frozen=True):
    """No connection came about, so the endpoint saw nothing."""

    reason: str


class Stopped(msgspec.Struct, kw_only=True, frozen=True):
    """The agent itself ended the exchange."""


Outcome = Completed | AnswerFailed | ConnectionBroken | NotConnected | Stopped
