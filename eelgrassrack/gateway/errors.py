"""Errors of the gateway."""

from ..errors import EelgrassrackError, UserError


class GatewayError(EelgrassrackError):
    """Base of the gateway's errors."""


class StartError(UserError):
    """The gateway can't start; the text says which setting to change."""


class ConnectError(GatewayError):
    """No connection to an endpoint could be opened, so nothing was sent to it.

    `is_refused` is set if the endpoint's instance answered that nothing listens
    there.  Otherwise nothing was heard in time, which may be the path's fault.
    """

    def __init__(self, message: str, *, is_refused: bool = False) -> None:
        super().__init__(message)
        self.is_refused = is_refused


class NoDescriptorError(GatewayError):
    """This process has no descriptor left for a connection to an endpoint.

    Nothing was sent, and the endpoint isn't at fault.
    """


class BrokenError(GatewayError):
    """A response is incomplete or malformed."""


class EndlessError(BrokenError):
    """An endpoint sent more than a response may have, and was closed."""


class MemoryFullError(BrokenError):
    """This process holds too much of other responses to take in the rest of this one.

    The endpoint isn't at fault.
    """


class CallerGoneError(GatewayError):
    """The caller closed its connection."""


class SilentError(BrokenError):
    """An endpoint sent nothing for too long and was abandoned."""
