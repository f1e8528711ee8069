"""Errors in the platform's data formats."""

from ..errors import EelgrassrackError


class FormatError(EelgrassrackError):
    """Data from the platform can't be decoded."""
