"""The system under test, whose daemons can be killed or cut off one by one.

The module also holds the system's document and its plan of endpoints.
"""

import asyncio
import contextlib
import hashlib
from collections.abc import Callable

from eelgrassrack.document.snapshot import Snapshot
from eelgrassrack.entry.entry import EntryDaemon
from eelgrassrack.standins.engine import Engine
from eelgrassrack.standins.objects import TableStore
from eelgrassrack.standins.service import PlainService
from eelgrassrack.standins.system import EndpointPlan, System
from eelgrassrack.store.objects import Unavailable

DOMAINS = ("east", "west", "north")
VERSIONS = ("small/1", "large/1", "large/2")
ALLOWED_VERSIONS = {"school": frozenset(VERSIONS), "club": frozenset({"small/1"})}
SERVICE = "registry"
TOKENS_PER_SECOND = 150.0
RESTART_SECONDS = 0.4
COLD_COMPLETIONS = 3
DEADLINE_SECONDS = 5.0


def _digest(name: str) -> str:
    return hashlib.sha256(make_api_key(name).encode()).hexdigest()


def make_api_key(organisation: str) -> str:
    """Return an organisation's API key."""
    return f"key-{organisation}"


DOCUMENT = f"""\
[team operations]
sections = *
[team models]
sections = version *
[team sites]
sections = domain *
[limits]
default_deadline = {DEADLINE_SECONDS:g}
rating_timeout = 0.5
[organisation school]
key_digest = {_digest("school")}
allows = small, large
services = {SERVICE}
requests_per_second = 500
burst = 1000
quality_target = 0.9
[organisation club]
key_digest = {_digest("club")}
allows = small
services = {SERVICE}
requests_per_second = 500
burst = 1000
[model small]
[version small/1]
cost = 1
quality = 0.7
[model large]
[version large/1]
weight = 60
cost = 5
quality = 0.95
[version large/2]
weight = 40
cost = 5
quality = 0.95
[cascade study]
rungs = small, large
[service {SERVICE}]
not_repeatable = POST /
[domain east]
ramp_seconds = 2
[domain west]
ramp_seconds = 2
[domain north]
ramp_seconds = 2
[pool tutors]
serves = {", ".join(VERSIONS)}
concurrency = 6
cold_concurrency = 1
[pool registry]
service = {SERVICE}
concurrency = 6
cold_concurrency = 6
"""

PLANS = [
    *(
        EndpointPlan(name=f"tutor-{each}", domain=each, pool="tutors")
        for each in DOMAINS
    ),
    *(
        EndpointPlan(name=f"registry-{each}", domain=each, pool="registry")
        for each in DOMAINS[:2]
    ),
]


class RecordingEngine(Engine):
    """An engine that records its overloads, crashes and cold starts.

    `overloaded_at` holds the loop times of requests beyond its limit in a cold start.
    `unannounced_cold_at` holds the loop times of cold starts that an agent can't
    notice, because the engine gave no warning and cut no request.
    """

    def __init__(self, **options: object) -> None:
        super().__init__(**options)
        self.overloaded_at: list[float] = []
        self.unannounced_cold_at: list[float] = []
        self.on_crash: Callable[[str], None] = lambda name: None
        self._was_idle = False

    def submit(self, **options: object) -> object:
        """Accept a request and record whether it overloads the engine."""
        before = self.overloads
        generation = super().submit(**options)
        if self.overloads > before:
            self.overloaded_at.append(asyncio.get_running_loop().time())
        return generation

    def make_cold(self, **options: object) -> None:
        """Begin a cold start."""
        super().make_cold(**options)
        self.unannounced_cold_at.append(asyncio.get_running_loop().time())

    def crash(self) -> None:
        """Call `on_crash`, and crash; remember whether a request was cut."""
        self.on_crash(self.name)
        self._was_idle = not self._batch.size
        super().crash()

    def _come_back(self) -> None:
        super()._come_back()
        if self._was_idle:
            self.unannounced_cold_at.append(asyncio.get_running_loop().time())


class DaemonStore(TableStore):
    """One daemon's client of the object API.

    If `is_partitioned` is true, this daemon alone can't reach the API.  `is_dead` is
    set when the daemon is killed, whose calls then fail as well.
    """

    def __init__(self, **options: object) -> None:
        super().__init__(**options)
        self.is_partitioned = False
        self.is_dead = False

    async def _begin(self, operation: str) -> Unavailable | None:
        if self.is_dead or self.is_partitioned:
            return Unavailable(reason="cut")
        refusal = await super()._begin(operation)
        return Unavailable(reason="cut") if self.is_dead else refusal

    async def watch(self, **options: object) -> object:
        """Wait for a change, unless this daemon can't reach the API."""
        found = await super().watch(**options)
        return (
            Unavailable(reason="cut") if self.is_partitioned or self.is_dead else found
        )


class Rig(System):
    """A system whose daemons can be killed as a process is killed."""

    def __init__(self, *, seed: int) -> None:
        self._stores: dict[str, DaemonStore] = {}
        super().__init__(
            plans=PLANS,
            entries=2,
            seed=seed,
            cheap=("small",),
            tokens_per_second=TOKENS_PER_SECOND,
            restart_seconds=RESTART_SECONDS,
            cold_completions=COLD_COMPLETIONS,
        )

    def make_store(self, caller: str) -> DaemonStore:
        """Create and return a caller's client of the object API."""
        store = DaemonStore(table=self.table, caller=caller)
        self._stores[caller] = store
        return store

    def find_store(self, caller: str) -> DaemonStore:
        """Return the existing client of a caller."""
        return self._stores[caller]

    def connect_stores(self) -> None:
        """End the partition of every daemon from the object API."""
        for store in self._stores.values():
            store.is_partitioned = False

    @property
    def engines(self) -> dict[str, RecordingEngine]:
        """Return the engines by name."""
        return self._find_standins(Engine)

    @property
    def services(self) -> dict[str, PlainService]:
        """Return the plain services by name."""
        return self._find_standins(PlainService)

    def _find_standins(self, cls: type) -> dict:
        return {
            name: endpoint.standin
            for name, endpoint in self.endpoints.items()
            if isinstance(endpoint.standin, cls)
        }

    async def kill_entry(self, name: str) -> None:
        """Stop all activity of an entry at once, as if its process were killed."""
        entry: EntryDaemon = self.entries.pop(name)
        self.instances.remove(name)
        self._stores[name].is_dead = True
        entry._mailbox.close()
        # Connections are closed first, because a handler that is cancelled while its
        # caller is connected would send an answer.
        entry._server.stop()
        await entry._server.close_all_connections()
        for task in (*entry._idempotent_runner._finishing, *entry.core._detached):
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await entry.kill()

    def _make_standin(
        self, plan: EndpointPlan, snapshot: Snapshot
    ) -> RecordingEngine | PlainService:
        pool = snapshot.pools[plan.pool]
        if pool.service:
            return PlainService(name=plan.name)
        return RecordingEngine(
            name=plan.name,
            versions=pool.serves,
            slots=pool.concurrency,
            cold_slots=pool.cold_concurrency,
            **self._engine_options,
        )
