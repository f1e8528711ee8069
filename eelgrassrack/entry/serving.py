"""Creates and connects the parts of an entry that process requests."""

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
from .admission import AdmissionControl
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
from .suspects import SuspectRequests

Post = Callable[[str, AnyMessage], None]

# Retries that an entry may make right after its start.
INITIAL_RETRIES = 10.0

LEASE_ID_BYTES = 6


class Serving:
    """The parts that process requests, and the background work for them."""

    __slots__ = (
        "_billing",
        "_rng",
        "_channels",
        "_clock",
        "_directory",
        "_admission",
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
        suspects: SuspectRequests,
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
        self._admission = admission = AdmissionControl(
            directory=directory, rng=rng, clock=clock
        )
        planner = CascadePlanner()
        health = RolloutHealth()
        self.ratings = Ratings(
            client=rating, planner=planner, health=health, rng=rng, clock=clock
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
            chat=self._build_chat(planner, dispatcher, admission, sessions),
            configuration=configuration,
            directory=directory,
            health=health,
            identity=self._identity,
            invariants=invariants,
            meter=meter,
            services=self._build_services(dispatcher, admission),
        )

    def note_domains(self, snapshot: Snapshot) -> None:
        """Start the ramp of each failure domain that is back in service."""
        for domain in snapshot.domains.values():
            self._ramp.note_state(
                domain=domain.name,
                is_in=snapshot.is_domain_in(domain=domain.name),
                now=self._clock(),
                seconds=domain.ramp_seconds,
            )

    def set_end(self, time: float) -> None:
        """Have every caller answered by `time`, when this entry exits."""
        self._admission.ends_at = time
        self._channels.set_end(time)
        self.core.set_end(time)

    async def stop(self) -> None:
        """Stop the ratings and the recording of outcomes."""
        await self.ratings.stop()
        await self.idempotent_runner.stop()

    def _build_dispatcher(
        self, settings: EntrySettings, suspects: SuspectRequests
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
            budget=RetryBudget(ratio=Limits().retry_ratio, floor=INITIAL_RETRIES),
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
        planner: CascadePlanner,
        dispatcher: Dispatcher,
        admission: AdmissionControl,
        sessions: Sessions,
    ) -> ChatFlow:
        steps = StepRunner(
            dispatcher=dispatcher,
            ratings=self.ratings,
            sessions=sessions,
            clock=self._clock,
        )
        return ChatFlow(
            planner=planner,
            admission=admission,
            identity=self._identity,
            find_ledger=self._find_ledger,
            meter=self._meter,
            ratings=self.ratings,
            steps=steps,
            rng=self._rng,
            clock=self._clock,
        )

    def _build_services(
        self, dispatcher: Dispatcher, admission: AdmissionControl
    ) -> ServiceFlow:
        return ServiceFlow(
            dispatcher=dispatcher,
            admission=admission,
            identity=self._identity,
            find_ledger=self._find_ledger,
            idempotent_runner=self.idempotent_runner,
        )

    def _find_ledger(self) -> str:
        return self._billing.current
