"""Messages by which gateways lend each other shares of endpoints' limits.

They are datagrams to one peer, on the port of the peers' updates.  Updates are arrays
and these are maps, by which they are told apart.
"""

from typing import Self

import msgspec

from ...decoding import decode_msgpack

# Parts of a whole limit.
WHOLE = 10_000

# The high bits of a short map's first byte in msgpack, and those that hold its size.
SHORT_MAP = 0x80
SIZE_BITS = 0x0F


class RoomShare(msgspec.Struct, frozen=True, array_like=True):
    """A share of an endpoint's limit, by a hash of the endpoint's lifetime.

    `parts` are those of a limit of `WHOLE`.
    """

    lifetime: int
    parts: int

    @classmethod
    def make(cls, lifetime: int, share: float) -> Self:
        """Return a share that is given as a part of 1, rounded down."""
        return cls(lifetime, int(share * WHOLE))

    @property
    def share(self) -> float:
        """Return the share as a part of 1."""
        return self.parts / WHOLE


class RoomRequest(msgspec.Struct, frozen=True, kw_only=True, tag="room-request"):
    """What the gateway `name` would like to borrow for some seconds.

    `number` counts its requests.
    """

    name: str
    number: int
    seconds: float
    shares: tuple[RoomShare, ...]


class RoomGrant(msgspec.Struct, frozen=True, kw_only=True, tag="room-grant"):
    """What the gateway `name` lends, as answer to the request `number`."""

    name: str
    number: int
    shares: tuple[RoomShare, ...]


RoomMessage = RoomRequest | RoomGrant


def is_message(data: bytes) -> bool:
    """Return whether a datagram holds a message, and not an update."""
    return bool(data) and data[0] & ~SIZE_BITS == SHORT_MAP


def decode_message(data: bytes) -> RoomMessage:
    """Return the message of a datagram; raise `FormatError`."""
    return decode_msgpack(data, kind=RoomMessage)
