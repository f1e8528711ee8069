"""Runs an entry as a process."""

import asyncio

from ..invariants import Invariants
from ..process import run_daemon
from ..settings import EntrySettings
from ..store.client import HttpObjectStore
from ..store.platform import HttpInstanceList, RatingClient
from .entry import EntryDaemon


def run(settings: EntrySettings) -> int:
    """Run an entry until a stop signal; return the exit status."""
    return asyncio.run(serve(settings=settings))


async def serve(*, settings: EntrySettings) -> int:
    """Run an entry on this event loop until a stop signal."""
    store = HttpObjectStore(url=settings.objects_url, caller=settings.name)
    instances = HttpInstanceList(url=settings.instances_url)
    rating = RatingClient(url=settings.rating_url) if settings.rating_url else None
    entry = EntryDaemon(
        settings=settings,
        store=store,
        instances=instances,
        rating=rating,
        invariants=Invariants(strict=None if settings.check_invariants else False),
    )
    try:
        return await run_daemon(entry)
    finally:
        for client in filter(None, (store, instances, rating)):
            client.close()
