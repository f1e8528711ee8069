"""Runs a system for a measurement.

Entries, agents and engines run in processes of their own, the platform's stand-ins
in this one.
"""

import asyncio
import itertools
import time

from eelgrassrack.standins.instancelist import InstanceListApi, InstanceTable
from eelgrassrack.standins.objectapi import ObjectApi
from eelgrassrack.standins.objects import ObjectTable, TableStore
from eelgrassrack.store.head import DocumentHead
from eelgrassrack.store.instances import Instance, Role

from .clients import Target
from .documents import MODEL, POOL, VERSION, make_key
from .processes import Child, start_child

CHAT = "/v1/chat/completions"
# How long a new entry gets to find the agents.
SETTLE_SECONDS = 3.0
# More tokens than a stream delivers during a measurement.
ANSWER_TOKENS = 8000


class Stage:
    """The processes of one measurement, ended when the async context ends."""

    def __init__(self, *, document: str) -> None:
        self._children: list[Child] = []
        self._document = document
        self.table = ObjectTable(clock=time.monotonic)
        self.instances = InstanceTable()
        self._objects = ObjectApi(table=self.table)
        self._listing = InstanceListApi(table=self.instances)

    async def __aenter__(self) -> "Stage":
        """Start the platform's stand-ins and apply the document."""
        await self._objects.start()
        await self._listing.start()
        self.operator = DocumentHead(store=TableStore(table=self.table, caller="op"))
        await self.operator.initialise(
            text=self._document, who="bench", now=time.time()
        )
        return self

    async def __aexit__(self, *unused: object) -> None:
        """End all processes of the stage and the stand-ins."""
        for child in reversed(self._children):
            await child.end()
        await self._objects.stop()
        await self._listing.stop()

    async def start(self, role: str, **options: object) -> Child:
        """Start a process that is ended with the stage."""
        child = await start_child(role, **options)
        self._children.append(child)
        return child

    async def end(self, child: Child) -> None:
        """End one process early."""
        self._children.remove(child)
        await child.end()

    async def start_engines(
        self, *, processes: int, each: int, speed: float = 30.0
    ) -> list[list[str]]:
        """Start engines; return their URLs by process."""
        starts = (
            self.start("engines", count=each, slots=1000, speed=speed, version=VERSION)
            for _ in range(processes)
        )
        return [child.ready["urls"] for child in await asyncio.gather(*starts)]

    async def start_agents(self, urls: list[str], *, pool: str = POOL) -> Child:
        """Start a process that runs an agent for each endpoint."""
        child = await self.start(
            "agents", urls=urls, pool=pool, instances_url=self._listing.url
        )
        for name, mailbox in child.ready["mailboxes"].items():
            self.instances.join(
                Instance(
                    name=name,
                    role=Role.ENDPOINT,
                    domain="d0",
                    mailbox=mailbox,
                    pool=pool,
                )
            )
        return child

    async def start_entry(self) -> Child:
        """Start an entry and give the agents time to find it."""
        child = await self.start(
            "entry", objects_url=self._objects.url, instances_url=self._listing.url
        )
        self.instances.join(
            Instance(
                name="entry-0",
                role=Role.ENTRY,
                domain="d0",
                mailbox=child.ready["mailbox"],
            )
        )
        await asyncio.sleep(SETTLE_SECONDS)
        return child


def make_chat(url: str, *, model: str, tokens: int, stream: bool) -> Target:
    """Return a chat request for a model at an entry, or for a version at an engine."""
    body = (
        f'{{"model":"{model}","stream":{str(stream).lower()},"max_tokens":{tokens},'
        '"messages":[{"role":"user","content":"How is a brake pad measured?"}]}'
    )
    return Target(url=url, path=CHAT, key=make_key(0), body=body)


def make_streams(urls: list[str], *, model: str = MODEL) -> list[Target]:
    """Return chat requests whose streams last longer than a measurement."""
    return [
        make_chat(url, model=model, tokens=ANSWER_TOKENS, stream=True) for url in urls
    ]


def flatten(lists: list[list[str]]) -> list[str]:
    """Return one list that takes from each inner list in turn."""
    return [url for row in itertools.zip_longest(*lists) for url in row if url]
