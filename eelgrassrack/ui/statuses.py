"""Concurrent requests for the status of several entries."""

import asyncio
from collections.abc import Iterable

import msgspec

from ..statuses import EntryStatus
from .errors import UnavailableError
from .tools import Tools


class StatusFailure(msgspec.Struct, kw_only=True, frozen=True):
    """An entry that didn't answer with a readable status, and the reason."""

    url: str
    reason: str


async def fetch_statuses(
    *, tools: Tools, urls: Iterable[str]
) -> tuple[EntryStatus | StatusFailure, ...]:
    """Request the status of all entries at once; the results keep their order."""
    statuses = await asyncio.gather(*(_fetch_status(tools, url) for url in urls))
    return tuple(statuses)


async def _fetch_status(tools: Tools, url: str) -> EntryStatus | StatusFailure:
    try:
        body = await tools.fetch(f"{url.rstrip('/')}/status")
        return msgspec.json.decode(body, type=EntryStatus)
    except UnavailableError as error:
        return StatusFailure(url=url, reason=str(error))
    except msgspec.DecodeError as error:
        return StatusFailure(url=url, reason=f"unreadable status: {error}")
