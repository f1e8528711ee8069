"""The objects and answers of the platform's store, in the gateway's own types."""

import enum

import msgspec


class RolloutState(enum.Enum):
    """The state of a roll-out, as written into the store for operators."""

    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "rolled back"


class RolloutStatus(msgspec.Struct, kw_only=True, frozen=True):
    """The written status of a roll-out; `since` is its start in Unix seconds."""

    state: RolloutState
    version: str
    since: float = 0.0


class RolloutOrder(msgspec.Struct, kw_only=True, frozen=True):
    """An order to move a service to a version within `seconds`.

    `revision` is the store's revision of the object, `created` that at which it was
    created.
    """

    service: str
    version: str
    seconds: float
    revision: int = 0
    created: int = 0
    status: RolloutStatus | None = None


class ListResult(msgspec.Struct, kw_only=True, frozen=True):
    """All objects of one kind, by name, as of a revision of the store.

    They show all changes up to `revision`, and perhaps some later ones: a watch from
    there reports every later change.  `newest` is the revision of the last change up
    to it that these objects show.
    """

    revision: int
    newest: int
    objects: dict[str, object]


class WatchResult(msgspec.Struct, kw_only=True, frozen=True):
    """Changed objects since the revision watched from; None means removed.

    `revision` is the one to watch from next, and `newest` that of the last change,
    0 if there is none.
    """

    revision: int
    newest: int = 0
    objects: dict[str, object | None]


class HistoryGone(msgspec.Struct, frozen=True):
    """The store has dropped the changes since that revision; list again."""


class WatchOverdue(msgspec.Struct, frozen=True):
    """A watch brought nothing in time, and may miss changes; list again.

    This doesn't show whether the store answers.
    """


class StoreUnavailable(msgspec.Struct, kw_only=True, frozen=True):
    """The store didn't answer, or its answer can't be used."""

    reason: str


class Peer(msgspec.Struct, kw_only=True, frozen=True):
    """Another gateway and the address at which it receives peer updates."""

    name: str
    address: tuple[str, int]
