"""Errors of the gateway."""

from ..errors import EelgrassrackError


class GatewayError(EelgrassrackError):
    """Base of the gateway's errors."""


class ConnectError(GatewayError):
    """An endpoint couldn't be reached: nothing was sent to it."""


class BrokenError(GatewayError):
    """An answer ended before its end, or its bytes are no answer."""


class CallerGoneError(GatewayError):
    """The caller closed its connection."""
