"""What the platform's store says, in the gateway's own words."""

import enum

import msgspec


class RolloutState(enum.Enum):
    """How far a roll-out has come, as written for operators."""

    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "rolled back"


class RolloutStatus(msgspec.Struct, kw_only=True, frozen=True):
    """What was written of a roll-out; `since` is Unix time in seconds."""

    state: RolloutState
    version: str
    since: float = 0.0


class RolloutOrder(msgspec.Struct, kw_only=True, frozen=True):
    """An order to move a service to a version within `seconds`."""

    service: str
    version: str
    seconds: float
    revision: int = 0
    created: int = 0
    status: RolloutStatus | None = None


class ListResult(msgspec.Struct, kw_only=True, frozen=True):
    """All objects of one kind, as of a revision of the store.

    `newest` is the revision of the last change of this kind that shows in it.
    """

    revision: int
    newest: int
    objects: dict[str, object]


class WatchResult(msgspec.Struct, kw_only=True, frozen=True):
    """Changes since the revision before; None stands for a removed object.

    `newest` is the revision of the last of them, 0 if there are none.
    """

    revision: int
    newest: int = 0
    objects: dict[str, object | None]


class HistoryGone(msgspec.Struct, frozen=True):
    """The store forgot the changes since that revision: list again."""


class StoreUnavailable(msgspec.Struct, kw_only=True, frozen=True):
    """The store gave no usable answer."""

    reason: str


class Peer(msgspec.Struct, kw_only=True, frozen=True):
    """Another entry and where it takes news."""

    name: str
    address: tuple[str, int]
