"""The parts of an entry that serve callers, wired together."""

import random
import secrets
import time
from collections.abc import Callable

from ..decisions.cascade import CascadePlanner
from ..decisions.domains import DomainRamp
from ..decisions.placement import Placement
from ..decisions.retries import RetryBudget
from ..decisions.rollout import RolloutHealth
from ..document.sections import Domain, Limits
from ..document.snapshot import Snapshot
from ..invariants import Invariants
from ..mailbox.messages import AnyMessage
from ..settings import EntrySettings
from ..store.claims import Claims
from ..store.compaction import LedgerCompactor
from ..store.leases import Leases
from ..store.objects import ObjectStore
from ..store.pins import Pins
from ..store.platform import RatingClient
from ..store.sweeper import Sweeper
from .admission import Door
from .billing import Billing
from .channels import Channels
from .chat import ChatFlow
from .configuration import Configuration
from .core import Core
from .directory import Directory
from .dispatcher import Dispatcher
from .idempotency import IdempotentRunner
from .identity import Identity
from .meter import Meter
from .picker import Picker
from .ratings import Ratings
from .services import ServiceFlow
from .sessions import Sessions
from .steps import StepRunner
from .suspects import Suspects

Post = Callable[[str, AnyMessage], None]

# Retries that an entry that has just started may make.
RETRY_FLOOR = 10.0

LEASE_ID_BYTES = 6


class Serving:
    """Flows of requests, and what they share."""

    __slots__ = (
        "_billing",
        "_rng",
        "_channels",
        "_clock",
        "_directory",
        "_door",
        "_identity",
        "_invariants",
        "_meter",
        "_post",
        "_ramp",
        "core",
        "idempotent_runner",
        "ratings",
        "sweeper",
    )

    def __init__(
        self,
        *,
        billing: Billing,
        rng: random.Random,
        channels: Channels,
        clock: Callable[[], float],
        configuration: Configuration,
        directory: Directory,
        invariants: Invariants,
        meter: Meter,
        post: Post,
        rating: RatingClient | None,
        settings: EntrySettings,
        incarnation: str,
        store: ObjectStore,
        suspects: Suspects,
    ) -> None:
        self._billing = billing
        self._rng = rng
        self._channels = channels
        self._clock = clock
        self._directory = directory
        self._identity = Identity(incarnation=incarnation)
        self._invariants = invariants
        self._meter = meter
        self._post = post
        self._ramp = DomainRamp(seconds=Domain(name="").ramp_seconds)
        claims = Claims(store=store, clock=time.time, invariants=invariants)
        pins = Pins(store=store, invariants=invariants)
        dispatcher = self._build_dispatcher(settings, suspects)
        self._door = door = Door(directory=directory, rng=rng, clock=clock)
        chooser = CascadePlanner()
        health = RolloutHealth()
        self.ratings = Ratings(
            client=rating, chooser=chooser, health=health, rng=rng, clock=clock
        )
        self.idempotent_runner = IdempotentRunner(
            channels=channels,
            claims=claims,
            directory=directory,
            dispatcher=dispatcher,
            entry=incarnation,
            post=post,
        )
        self.sweeper = self._build_sweeper(store, claims, pins, incarnation)
        sessions = Sessions(pins=pins, health=health, invariants=invariants, rng=rng)
        self.core = Core(
            name=settings.name,
            billing=billing,
            chat=self._build_chat(chooser, dispatcher, door, sessions),
            configuration=configuration,
            directory=directory,
            health=health,
            identity=self._identity,
            invariants=invariants,
            meter=meter,
            services=self._build_services(dispatcher, door),
        )

    def note_domains(self, snapshot: Snapshot) -> None:
        """Begin the ramp of each failure domain that is back in."""
        for domain in snapshot.domains.values():
            self._ramp.note_state(
                domain=domain.name,
                is_in=snapshot.is_domain_in(domain=domain.name),
                now=self._clock(),
                seconds=domain.ramp_seconds,
            )

    def end_by(self, time: float) -> None:
        """Have every caller answered by the end of this entry."""
        self._door.ends_at = time
        self._channels.end_by(time)
        self.core.end_by(time)

    async def stop(self) -> None:
        """End what goes on behind the requests."""
        await self.ratings.stop()
        await self.idempotent_runner.stop()

    def _build_dispatcher(
        self, settings: EntrySettings, suspects: Suspects
    ) -> Dispatcher:
        picker = Picker(
            directory=self._directory,
            placement=Placement(domain=settings.domain),
            ramp=self._ramp,
            rng=self._rng,
            clock=self._clock,
        )
        return Dispatcher(
            channels=self._channels,
            find_snapshot=lambda: self.core.snapshot,
            identity=self._identity,
            picker=picker,
            budget=RetryBudget(ratio=Limits().retry_ratio, floor=RETRY_FLOOR),
            invariants=self._invariants,
            meter=self._meter,
            post=self._post,
            suspects=suspects,
        )

    def _build_sweeper(
        self, store: ObjectStore, claims: Claims, pins: Pins, holder: str
    ) -> Sweeper:
        leases = Leases(
            store=store,
            clock=self._clock,
            make_id=lambda: secrets.token_hex(LEASE_ID_BYTES),
        )
        return Sweeper(
            kinds=(claims, pins, LedgerCompactor(store=store)),
            leases=leases,
            holder=holder,
            clock=self._clock,
        )

    def _build_chat(
        self,
        chooser: CascadePlanner,
        dispatcher: Dispatcher,
        door: Door,
        sessions: Sessions,
    ) -> ChatFlow:
        steps = StepRunner(
            dispatcher=dispatcher,
            ratings=self.ratings,
            sessions=sessions,
            clock=self._clock,
        )
        return ChatFlow(
            chooser=chooser,
            door=door,
            identity=self._identity,
            ledger=self._find_ledger,
            meter=self._meter,
            ratings=self.ratings,
            steps=steps,
            rng=self._rng,
            clock=self._clock,
        )

    def _build_services(self, dispatcher: Dispatcher, door: Door) -> ServiceFlow:
        return ServiceFlow(
            dispatcher=dispatcher,
            door=door,
            identity=self._identity,
            ledger=self._find_ledger,
            once=self.idempotent_runner,
        )

    def _find_ledger(self) -> str:
        return self._billing.current
