"""Errors of the gateway."""

from ..errors import EelgrassrackError


class GatewayError(EelgrassrackError):
    """Base of the gateway's errors."""


class ConnectError(GatewayError):
    """No connection to an endpoint could be opened, so nothing was sent to it."""


class BrokenError(GatewayError):
    """A response is incomplete or malformed."""


class CallerGoneError(GatewayError):
    """The caller closed its connection."""


class SilentError(BrokenError):
    """An endpoint sent nothing for too long and was abandoned."""
