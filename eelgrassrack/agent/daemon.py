"""The agent as a separate process."""

import asyncio

from ..invariants import Invariants
from ..process import run_daemon
from ..settings import AgentSettings
from ..store.client import HttpObjectStore
from ..store.platform import HttpInstanceList
from .agent import Agent


def run(settings: AgentSettings) -> int:
    """Run an agent until a stop signal; return the exit status."""
    return asyncio.run(serve(settings=settings))


async def serve(*, settings: AgentSettings) -> int:
    """Run an agent on the current event loop until a signal stops it."""
    instances = HttpInstanceList(url=settings.instances_url)
    store = None
    if settings.objects_url:
        store = HttpObjectStore(url=settings.objects_url, caller=settings.name)
    agent = Agent(
        settings=settings,
        instances=instances,
        invariants=Invariants(strict=None if settings.check_invariants else False),
        store=store,
    )
    try:
        return await run_daemon(agent)
    finally:
        instances.close()
        if store is not None:
            store.close()
