"""Errors of the entry."""

from ..errors import EelgrassrackError


class EntryError(EelgrassrackError):
    """The entry daemon can't run."""
