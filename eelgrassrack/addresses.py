"""Addresses from outside this process, checked where they are decoded.

Connecting to anything else raises errors of many types, or looks a name up, which
blocks the event loop.  An address that was checked here can be connected to.
"""

import re
import socket

from .errors import FormatError

PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535

# The first byte of addresses that name no one host: this network below it, several
# hosts or none from it on.
FIRST_HOST_BYTE = 1
FIRST_GROUP_BYTE = 224

MAILBOX_SCHEME = "tcp://"

MAX_SHOWN_CHARACTERS = 80


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of `IP:PORT` (IPv4); raise `FormatError`."""
    host, _, port = text.rpartition(":")
    if not PORT.fullmatch(port) or not is_usable((host, int(port))):
        raise FormatError(f"not an address: {text[:MAX_SHOWN_CHARACTERS]!r}")
    return host, int(port)


def check_mailbox(address: str) -> None:
    """Raise `FormatError` if this isn't the address `tcp://IP:PORT` of a mailbox."""
    if not address.startswith(MAILBOX_SCHEME):
        raise FormatError(f"not a mailbox: {address[:MAX_SHOWN_CHARACTERS]!r}")
    parse_address(address[len(MAILBOX_SCHEME) :])


def is_usable(address: tuple[str, int]) -> bool:
    """Return whether this is the IPv4 address of a host, and a port."""
    host, port = address
    try:
        packed = socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return FIRST_HOST_BYTE <= packed[0] < FIRST_GROUP_BYTE and 0 < port <= MAX_PORT
