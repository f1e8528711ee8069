"""The system under test: a document, endpoints and faults of each daemon."""

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
ALLOWED = {"school": frozenset(VERSIONS), "club": frozenset({"small/1"})}
SERVICE = "registry"
TOKENS_A_SECOND = 150.0
RESTART_SECONDS = 0.4
COLD_COMPLETIONS = 3
DEADLINE_SECONDS = 5.0


def _digest(name: str) -> str:
    return hashlib.sha256(make_key(name).encode()).hexdigest()


def make_key(organisation: str) -> str:
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


class WatchedEngine(Engine):
    """An engine that notes when it was given too much in a cold start.

    `turned_cold_at` holds when it turned cold with nothing to show for it: it
    gave no warning, and no request was cut.
    """

    def __init__(self, **options: object) -> None:
        super().__init__(**options)
        self.overloaded_at: list[float] = []
        self.turned_cold_at: list[float] = []
        self.on_crash: Callable[[str], None] = lambda name: None
        self._was_idle = False

    def submit(self, **given: object) -> object:
        """Take a request and note whether it was one too many."""
        before = self.overloads
        generation = super().submit(**given)
        if self.overloads > before:
            self.overloaded_at.append(asyncio.get_running_loop().time())
        return generation

    def make_cold(self, **given: object) -> None:
        """Fall back into a cold start."""
        super().make_cold(**given)
        self.turned_cold_at.append(asyncio.get_running_loop().time())

    def crash(self) -> None:
        """Crash, tell it, and note whether that cut a request."""
        self.on_crash(self.name)
        self._was_idle = not self._batch.size
        super().crash()

    def _come_back(self) -> None:
        super()._come_back()
        if self._was_idle:
            self.turned_cold_at.append(asyncio.get_running_loop().time())


class DaemonStore(TableStore):
    """The object API as one daemon sees it until it is killed.

    `is_cut` keeps this daemon alone from it.
    """

    def __init__(self, **given: object) -> None:
        super().__init__(**given)
        self.is_cut = False
        self.is_dead = False

    async def _begin(self, operation: str) -> Unavailable | None:
        if self.is_dead or self.is_cut:
            return Unavailable(reason="cut")
        refusal = await super()._begin(operation)
        return Unavailable(reason="cut") if self.is_dead else refusal

    async def watch(self, **given: object) -> object:
        """Wait for a change; a daemon that was cut off learns nothing."""
        found = await super().watch(**given)
        return Unavailable(reason="cut") if self.is_cut or self.is_dead else found


class Rig(System):
    """A system whose daemons die as killed processes do."""

    def __init__(self, *, seed: int) -> None:
        self._stores: dict[str, DaemonStore] = {}
        super().__init__(
            plans=PLANS,
            entries=2,
            seed=seed,
            cheap=("small",),
            tokens_per_second=TOKENS_A_SECOND,
            restart_seconds=RESTART_SECONDS,
            cold_completions=COLD_COMPLETIONS,
        )

    def make_store(self, caller: str) -> DaemonStore:
        """Return the object API as one caller's client."""
        store = DaemonStore(table=self.table, caller=caller)
        self._stores[caller] = store
        return store

    def find_store(self, caller: str) -> DaemonStore:
        """Return the object API as one caller sees it."""
        return self._stores[caller]

    def connect_stores(self) -> None:
        """Let every daemon reach the object API again."""
        for store in self._stores.values():
            store.is_cut = False

    @property
    def engines(self) -> dict[str, WatchedEngine]:
        """Return the engines by name."""
        return self._find(Engine)

    @property
    def services(self) -> dict[str, PlainService]:
        """Return the plain services by name."""
        return self._find(PlainService)

    def _find(self, cls: type) -> dict:
        return {
            name: endpoint.standin
            for name, endpoint in self.endpoints.items()
            if isinstance(endpoint.standin, cls)
        }

    async def kill_entry(self, name: str) -> None:
        """End an entry so that nothing of it goes on, as a dead process."""
        entry: EntryDaemon = self.entries.pop(name)
        self.instances.remove(name)
        self._stores[name].is_dead = True
        entry._mailbox.close()
        # Connections go first: a handler whose work is cancelled while its
        # caller is still there would answer.
        entry._server.stop()
        await entry._server.close_all_connections()
        for task in (*entry._idempotent_runner._finishing, *entry.core._detached):
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await entry.kill()

    def _make_standin(
        self, plan: EndpointPlan, snapshot: Snapshot
    ) -> WatchedEngine | PlainService:
        pool = snapshot.pools[plan.pool]
        if pool.service:
            return PlainService(name=plan.name)
        return WatchedEngine(
            name=plan.name,
            versions=pool.serves,
            slots=pool.concurrency,
            cold_slots=pool.cold_concurrency,
            **self._engine_options,
        )
