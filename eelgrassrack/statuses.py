"""The body of an entry's answer to `GET /status`, for operators' commands."""

import msgspec


class EndpointStatus(msgspec.Struct, kw_only=True, frozen=True):
    """An endpoint as one entry sees it.

    `age` is the age of its last report in seconds.  `revision` is the revision of the
    document in force at its agent, or None if the entry doesn't know it.
    """

    name: str
    domain: str
    pool: str
    serves: tuple[str, ...] = ()
    window: int = 0
    running: int = 0
    queued: int = 0
    cold: bool = False
    leaving: bool = False
    engine_up: bool = True
    age: float = 0.0
    revision: int | None = None


class VersionStatus(msgspec.Struct, kw_only=True, frozen=True):
    """A version's planned weight, its current share of the work, and the reason."""

    name: str
    state: str
    planned: float
    share: float
    why: str = ""


class EntryStatus(msgspec.Struct, kw_only=True, frozen=True):
    """The status of one entry.

    `counts` holds the number of refused requests by reason, and the number of callers
    that disconnected.  `broken_promises` must stay empty.
    """

    name: str
    revision: int
    open_requests: int = 0
    bills_waiting: int = 0
    counts: dict[str, int] = {}
    broken_promises: dict[str, int] = {}
    endpoints: tuple[EndpointStatus, ...] = ()
    versions: tuple[VersionStatus, ...] = ()
