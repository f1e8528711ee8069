"""Errors of the layer that stores records in the platform's object API."""

from ..errors import EelgrassrackError


class StoreError(EelgrassrackError):
    """The caller asked for something that the store layer can't do."""


class AddressError(StoreError):
    """A configured platform address isn't an HTTP URL."""
