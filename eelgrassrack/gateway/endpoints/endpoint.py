"""Endpoints as listed by the platform."""

import msgspec


class Endpoint(msgspec.Struct, kw_only=True, frozen=True):
    """One lifetime of one endpoint.

    `born` is its start in Unix milliseconds.  A restart under the same name begins
    another lifetime, which keeps no state of the previous one.  `cold` is the number
    of seconds that it stays cold, from the time at which the entry was read.
    """

    name: str
    born: int
    service: str
    address: tuple[str, int]
    domain: str
    version: str
    slots: int
    is_draining: bool = False
    cold: float = 0.0

    @property
    def lifetime(self) -> tuple[str, int]:
        """Return the name and start, which identify this lifetime."""
        return (self.name, self.born)
