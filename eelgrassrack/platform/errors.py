"""Errors of the platform's formats."""

from ..errors import EelgrassrackError


class FormatError(EelgrassrackError):
    """Bytes of the platform can't be read."""
