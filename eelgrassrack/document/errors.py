"""Errors of the document layer."""

from ..errors import EelgrassrackError


class DocumentError(EelgrassrackError):
    """A bug in the program: the document layer was called incorrectly."""
