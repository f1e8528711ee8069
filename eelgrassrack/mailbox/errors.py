"""Errors of the mailbox."""

from ..errors import EelgrassrackError


class MailboxError(EelgrassrackError):
    """The mailbox can't be opened, or received bytes can't be decoded."""
