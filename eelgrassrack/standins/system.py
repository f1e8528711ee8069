"""A small complete system in one process, with all daemons on one event loop.

It runs the real entries and agents with the stand-ins, connected by loopback sockets.
The demo, the failure tests and the fuzzing use it.
"""

import asyncio
import random
import time

import msgspec

from ..agent.agent import Agent
from ..document.snapshot import Snapshot
from ..entry.entry import EntryDaemon
from ..invariants import Invariants
from ..settings import AgentSettings, EntrySettings
from ..store.head import DocumentHead
from ..store.instances import Instance, Role
from ..store.platform import RatingClient
from .engine import Engine
from .instancelist import InstanceTable
from .objects import ObjectTable, TableStore
from .rating import RatingService
from .service import PlainService

LOOPBACK_PORT = "127.0.0.1:0"
ANY_MAILBOX = f"tcp://{LOOPBACK_PORT}"
POLL_SECONDS = 0.01

# Short, because tests stop and start the system often.
QUICK_GRACE_SECONDS = 10.0
QUICK_LAG_SECONDS = 0.2


class EndpointPlan(msgspec.Struct, kw_only=True, frozen=True):
    """The name, failure domain and pool of an endpoint to start."""

    name: str
    domain: str
    pool: str


class Endpoint:
    """A running endpoint: its stand-in and its agent.

    `agent` is None while no agent runs.
    """

    __slots__ = ("agent", "plan", "standin")

    def __init__(self, *, plan: EndpointPlan, standin: Engine | PlainService) -> None:
        self.plan = plan
        self.standin = standin
        self.agent: Agent | None = None


class System:
    """Entries, endpoints and the platform's stand-ins."""

    def __init__(
        self,
        *,
        plans: list[EndpointPlan],
        entries: int = 2,
        entry_domain: str = "",
        seed: int = 1,
        cheap: tuple[str, ...] = (),
        **engine_options: object,
    ) -> None:
        self.table = ObjectTable(clock=time.monotonic)
        self.instances = InstanceTable()
        self.rating = RatingService(cheap=cheap)
        self.invariants = Invariants(strict=False)
        self.entries: dict[str, EntryDaemon] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self._rng = random.Random(seed)
        self._engine_options = engine_options
        self._entry_count = entries
        self._entry_domain = entry_domain or plans[0].domain
        self._plans = plans
        self.operator = DocumentHead(store=self.make_store("operator"))

    def make_store(self, caller: str) -> TableStore:
        """Return a client of the object API for one caller."""
        return TableStore(table=self.table, caller=caller)

    async def start(self, *, document: str) -> None:
        """Put a document in force and start everything."""
        await self.rating.start()
        await self.operator.initialise(text=document, who="setup", now=time.time())
        head = await self.operator.read()
        for plan in self._plans:
            await self.add_endpoint(plan, head.snapshot)
        for number in range(self._entry_count):
            await self.add_entry(f"entry-{number}")
        await self.wait_ready(revision=head.revision)

    async def stop(self) -> None:
        """Stop everything immediately."""
        for name in tuple(self.entries):
            await self.kill_entry(name)
        for endpoint in self.endpoints.values():
            if endpoint.agent is not None:
                await endpoint.agent.kill()
            await endpoint.standin.stop()
        await self.rating.stop()

    async def add_entry(self, name: str) -> EntryDaemon:
        """Start an entry and add it to the instance list."""
        entry = EntryDaemon(
            settings=EntrySettings(
                name=name,
                domain=self._entry_domain,
                listen=LOOPBACK_PORT,
                mailbox=ANY_MAILBOX,
                objects_url="",
                instances_url="",
                grace_seconds=QUICK_GRACE_SECONDS,
                lag_seconds=QUICK_LAG_SECONDS,
            ),
            store=self.make_store(name),
            instances=self.instances,
            rating=RatingClient(url=self.rating.url),
            invariants=self.invariants,
            rng=random.Random(self._rng.random()),
        )
        await entry.start()
        self.entries[name] = entry
        self.instances.join(
            Instance(
                name=name,
                role=Role.ENTRY,
                domain=self._entry_domain,
                mailbox=entry.address,
            )
        )
        return entry

    async def kill_entry(self, name: str) -> None:
        """Kill an entry without a graceful stop, as a crash does."""
        entry = self.entries.pop(name)
        self.instances.remove(name)
        await entry.kill()

    async def stop_entry(self, name: str) -> None:
        """Stop an entry gracefully, marked as leaving on the instance list."""
        entry = self.entries.pop(name)
        self.instances.leave(name)
        await entry.stop()
        self.instances.remove(name)

    async def add_endpoint(self, plan: EndpointPlan, snapshot: Snapshot) -> Endpoint:
        """Start the stand-in and the agent of an endpoint."""
        standin = self._make_standin(plan, snapshot)
        await standin.start()
        endpoint = Endpoint(plan=plan, standin=standin)
        self.endpoints[plan.name] = endpoint
        await self.start_agent(plan.name)
        return endpoint

    async def start_agent(self, name: str) -> None:
        """Start the agent of an endpoint and add the endpoint to the instance list."""
        endpoint = self.endpoints[name]
        plan = endpoint.plan
        agent = Agent(
            settings=AgentSettings(
                name=plan.name,
                domain=plan.domain,
                pool=plan.pool,
                mailbox=ANY_MAILBOX,
                endpoint_url=endpoint.standin.url,
                instances_url="",
                grace_seconds=QUICK_GRACE_SECONDS,
                lag_seconds=QUICK_LAG_SECONDS,
            ),
            instances=self.instances,
            invariants=self.invariants,
            store=self.make_store(plan.name),
        )
        await agent.start()
        endpoint.agent = agent
        self.instances.join(
            Instance(
                name=plan.name,
                role=Role.ENDPOINT,
                domain=plan.domain,
                mailbox=agent.address,
                pool=plan.pool,
            )
        )

    async def kill_agent(self, name: str) -> None:
        """Kill an agent without a graceful stop, as a crash does."""
        endpoint = self.endpoints[name]
        agent, endpoint.agent = endpoint.agent, None
        await agent.kill()

    async def stop_agent(self, name: str) -> None:
        """Stop an agent gracefully, marked as leaving on the instance list."""
        endpoint = self.endpoints[name]
        self.instances.leave(name)
        agent, endpoint.agent = endpoint.agent, None
        await agent.stop()
        self.instances.remove(name)

    async def wait_ready(self, *, revision: int, seconds: float = 20.0) -> None:
        """Wait until all entries and agents have the revision in force."""
        async with asyncio.timeout(seconds):
            while not self.is_ready(revision=revision):
                await asyncio.sleep(POLL_SECONDS)

    def is_ready(self, *, revision: int) -> bool:
        """Return whether all entries have the revision and know that all agents do."""
        running = {
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.agent is not None
        }
        return all(
            entry.core.snapshot.revision >= revision
            and running <= _find_up_to_date(entry, revision)
            for entry in self.entries.values()
        )

    def _make_standin(
        self, plan: EndpointPlan, snapshot: Snapshot
    ) -> Engine | PlainService:
        pool = snapshot.pools[plan.pool]
        if pool.service:
            return PlainService(name=plan.name)
        options = {
            "slots": pool.concurrency,
            "cold_slots": pool.cold_concurrency,
            "checks_orders": pool.checks_orders,
            **self._engine_options,
        }
        return Engine(name=plan.name, versions=pool.serves, **options)


def _find_up_to_date(entry: EntryDaemon, revision: int) -> set[str]:
    """Return the names of the endpoints whose agents have the revision in force."""
    return {
        endpoint.name
        for endpoint in entry.directory
        if endpoint.load is not None and endpoint.load.revision >= revision
    }
