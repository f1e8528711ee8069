"""The state that all HTTP handlers of an entry share."""

import asyncio
from collections.abc import Awaitable
from typing import Protocol

from tornado.iostream import IOStream

from ..bodysize import BodyFaults
from ..decisions.rollout import Health, PlannedVersion, RolloutHealth, Verdict
from ..document.snapshot import Snapshot
from ..invariants import Invariants
from ..lingering import LingeringConnections
from ..statuses import EndpointStatus, EntryStatus, VersionStatus
from .billing import Billing
from .chat import ChatFlow
from .configuration import Configuration
from .directory import Directory, EndpointRecord
from .identity import Identity
from .meter import Meter
from .refusals import CallerError, refuse_unavailable
from .services import ServiceFlow


class Caller(Protocol):
    """An open request, as the entry sees it when it stops."""

    @property
    def stream(self) -> IOStream:
        """Return the caller's connection."""

    @property
    def is_gone(self) -> bool:
        """Whether the caller has closed its connection."""

    def set_end(self, time: float) -> None:
        """Prepare for the exit of this entry at `time`."""

    def end(self) -> None:
        """Answer at once, because this entry exits."""

    def check_deadline(self, now: float) -> None:
        """Refuse the request if its time is over before it was read."""

    def end_unread(self) -> None:
        """Refuse the request unless work for it has begun."""


class Core:
    """The parts of an entry that the handlers use, and its open requests."""

    __slots__ = (
        "_detached",
        "billing",
        "body_faults",
        "chat",
        "configuration",
        "meter",
        "directory",
        "health",
        "identity",
        "invariants",
        "is_closing",
        "is_draining",
        "lingering",
        "name",
        "callers",
        "services",
    )

    def __init__(
        self,
        *,
        name: str,
        billing: Billing,
        chat: ChatFlow,
        configuration: Configuration,
        directory: Directory,
        health: RolloutHealth,
        identity: Identity,
        invariants: Invariants,
        meter: Meter,
        services: ServiceFlow,
    ) -> None:
        self.name = name
        self.billing = billing
        self.chat = chat
        self.configuration = configuration
        self.meter = meter
        self.directory = directory
        self.health = health
        self.identity = identity
        self.invariants = invariants
        self.body_faults = BodyFaults()
        self.is_closing = False
        self.is_draining = False
        self.lingering = LingeringConnections()
        self.callers: set[Caller] = set()
        self.services = services
        self._detached: set[asyncio.Future] = set()

    @property
    def snapshot(self) -> Snapshot:
        """Return the document in force."""
        return self.configuration.snapshot

    async def wait_confirmed(self) -> None:
        """Wait until the document in force is confirmed."""
        await self.configuration.wait_confirmed()

    def find_refusal(self, *, for_balancer: bool = False) -> CallerError | None:
        """Return the refusal of all requests, or None if this entry takes them.

        A draining entry first fails its readiness check and still serves
        requests until the load balancer sends it no more.  Once it is closing
        it also refuses requests on kept-alive connections, which would
        otherwise be cut off when the process exits.
        """
        if self.is_closing:
            return refuse_unavailable(reason="draining", retry_after=1.0)
        if not self.configuration.is_known:
            return refuse_unavailable(reason="no_document", retry_after=2.0)
        if self.billing.is_full:
            # The unwritten bills must be kept and leave no room for more, so a
            # request that is served now might not be billed.
            return refuse_unavailable(reason="ledger_full", retry_after=10.0)
        if for_balancer and self.is_draining:
            return refuse_unavailable(reason="draining", retry_after=1.0)
        return None

    def run_detached(self, work: Awaitable[None]) -> asyncio.Future:
        """Run work that goes on when its caller disconnects."""
        future = asyncio.ensure_future(work)
        self._detached.add(future)
        future.add_done_callback(self._detached.discard)
        return future

    @property
    def is_idle(self) -> bool:
        """Whether there is no open request and no detached work."""
        return not self.open_requests and not self._detached

    @property
    def open_requests(self) -> int:
        """Return the number of callers whose response isn't complete."""
        self.callers -= {caller for caller in self.callers if caller.is_gone}
        return len(self.callers)

    def list_streams(self) -> set[IOStream]:
        """Return the connections of open requests."""
        return {caller.stream for caller in self.callers}

    def set_end(self, time: float) -> None:
        """Prepare all open requests for the exit of this entry at `time`."""
        for caller in self.callers:
            caller.set_end(time)

    def end_all(self) -> None:
        """Answer all open requests at once."""
        for caller in tuple(self.callers):
            caller.end()

    def end_slow(self) -> None:
        """Refuse the requests whose time is over before they were read."""
        now = asyncio.get_running_loop().time()
        for caller in tuple(self.callers):
            caller.check_deadline(now)

    def end_unread(self) -> None:
        """Refuse all open requests for which no work has begun."""
        for caller in tuple(self.callers):
            caller.end_unread()

    def describe(self) -> EntryStatus:
        """Return the status of this entry for operators."""
        now = asyncio.get_running_loop().time()
        return EntryStatus(
            name=self.name,
            revision=self.snapshot.revision,
            open_requests=self.open_requests,
            bills_waiting=self.billing.waiting,
            counts=dict(self.meter.counts),
            broken_promises={
                promise.value: count
                for promise, count in self.invariants.broken.items()
            },
            endpoints=tuple(
                _describe_endpoint(endpoint, now) for endpoint in self.directory
            ),
            versions=self._describe_versions(now),
        )

    def _describe_versions(self, now: float) -> tuple[VersionStatus, ...]:
        return tuple(
            self._describe_version(name, share, now)
            for model in self.snapshot.models.values()
            for name, share in self._find_shares(model.versions, now).items()
        )

    def _find_shares(self, names: tuple[str, ...], now: float) -> dict[str, float]:
        planned = [
            PlannedVersion(
                name=name,
                weight=self.snapshot.versions[name].weight,
                active=self.snapshot.is_active(version=name),
            )
            for name in names
        ]
        shares = self.health.find_shares(
            versions=planned, now=now, policy=self.snapshot.policy
        )
        return {name: shares.get(name, 0.0) for name in names}

    def _describe_version(self, name: str, share: float, now: float) -> VersionStatus:
        version = self.snapshot.versions[name]
        verdict: Verdict = self.health.explain(version=name)
        return VersionStatus(
            name=name,
            state=version.state.value,
            planned=version.weight,
            share=share,
            why=_explain(verdict),
        )


def _explain(verdict: Verdict) -> str:
    """Return the description of a version's health for operators."""
    if verdict.health is Health.SOUND:
        return verdict.health.value
    return f"{verdict.health.value}: {verdict.signal.value}"


def _describe_endpoint(endpoint: EndpointRecord, now: float) -> EndpointStatus:
    load = endpoint.load
    if load is None:
        return EndpointStatus(
            name=endpoint.name, domain=endpoint.domain, pool=endpoint.pool
        )
    return EndpointStatus(
        name=endpoint.name,
        domain=endpoint.domain,
        pool=endpoint.pool,
        serves=load.serves,
        window=load.window,
        running=load.running,
        queued=load.queued,
        cold=load.cold,
        leaving=endpoint.leaving or load.leaving,
        engine_up=load.engine_up,
        revision=load.revision,
        age=now - endpoint.heartbeat_at,
    )
