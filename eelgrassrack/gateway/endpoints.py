"""The endpoints as the platform lists them."""

import msgspec


class Endpoint(msgspec.Struct, kw_only=True, frozen=True):
    """One lifetime of one endpoint.

    `born` is the Unix millisecond of its start: a restart under the same
    name is another lifetime, which knows nothing of before.  `cold` is how
    many seconds it stays cold from when this was read.
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
        """Return what tells this lifetime from all others."""
        return (self.name, self.born)
