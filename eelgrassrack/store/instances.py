"""The platform's list of instances, as typed values."""

import asyncio
import enum
from collections.abc import Callable
from typing import Protocol

import logbook
import msgspec

from .objects import Unavailable

log = logbook.Logger("instances")

# How long one watch waits for a change before the next one starts.
WATCH_SECONDS = 30.0

# Pause after an exception that nobody expected.
FAILURE_SECONDS = 1.0


class Role(enum.Enum):
    """What runs on an instance."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class Instance(msgspec.Struct, kw_only=True, frozen=True):
    """One instance.

    `mailbox` is the address (`tcp://IP:PORT`) where its entry or agent receives
    messages.  `pool` is empty for an entry.
    """

    name: str
    role: Role
    domain: str
    mailbox: str
    pool: str = ""
    leaving: bool = False


class Listing(msgspec.Struct, kw_only=True, frozen=True):
    """The instances that the platform knew at `version`."""

    version: int
    instances: tuple[Instance, ...]


class InstanceList(Protocol):
    """The call of the platform's instance list that this project uses."""

    async def watch(self, *, version: int, timeout: float) -> Listing | Unavailable:
        """Return the list once it is newer than `version`, or at the timeout.

        `timeout` is in seconds.
        """


async def follow_instances(
    *, instances: InstanceList, take: Callable[[tuple[Instance, ...]], None]
) -> None:
    """Pass each new list of instances to `take`, forever.

    While the instance list is unavailable, the last list stays in use.  After an
    exception that nobody expected, the whole list is read again.
    """
    version = 0
    while True:
        try:
            version = await _follow_once(instances, version, take)
        except Exception as error:
            log.exception("instances: following the list failed: {}", error)
            version = 0
            await asyncio.sleep(FAILURE_SECONDS)


async def _follow_once(
    instances: InstanceList, version: int, take: Callable[[tuple[Instance, ...]], None]
) -> int:
    """Watch once; return the version to watch from next."""
    result = await instances.watch(version=version, timeout=WATCH_SECONDS)
    match result:
        case Listing(version=version, instances=listed):
            take(listed)
        case Unavailable(retry_after=seconds):
            await asyncio.sleep(seconds)
    return version
