"""The agents that this entry knows, and what they last said.

The instance list says which endpoints exist and where their agents
listen; heartbeats say how loaded they are and which incarnation runs.
Both lag.  An agent whose heartbeat is overdue is no candidate, and one
that came back under a new incarnation has lost what it was given.
"""

import enum
from collections.abc import Callable, Iterable, Iterator

import logbook

from ..document.snapshot import Snapshot
from ..mailbox.messages import Load
from ..store.instances import Instance, Role

log = logbook.Logger("directory")

# An agent beats each second; three missed beats make it no candidate.
SILENT_AFTER = 3.5

# After this long its attempts count as lost, so that callers learn it.
GONE_AFTER = 6.0


class Absence(enum.Enum):
    """Why there is no endpoint for a request."""

    NONE_KNOWN = "no_endpoint"
    DOMAINS_OUT = "domains_out"
    LEAVING = "endpoints_leaving"
    SILENT = "endpoints_silent"
    ENGINES_DOWN = "engines_down"


class EndpointRecord:
    """One endpoint: its place and its agent's last heartbeat.

    `address` is where its agent was heard last, `listed_address` where the
    instance list has it; they differ while an instance is replaced.
    `running` counts the attempts this entry has under way there, which
    no report shows yet.
    """

    __slots__ = (
        "address",
        "agent",
        "domain",
        "heard_at",
        "is_listed",
        "leaving",
        "listed_address",
        "load",
        "name",
        "pool",
        "running",
    )

    def __init__(self, *, name: str, domain: str, pool: str, address: str) -> None:
        self.name = name
        self.domain = domain
        self.pool = pool
        self.address = address
        self.listed_address = address
        self.agent = ""
        self.heard_at = float("-inf")
        self.load: Load | None = None
        self.leaving = False
        self.is_listed = True
        self.running = 0

    def is_silent(self, now: float) -> bool:
        """Tell whether heartbeats are overdue."""
        return now - self.heard_at > SILENT_AFTER


class Directory:
    """Endpoints by name, kept up to date from the list and heartbeats.

    The list may hold thousands of endpoints, of which an entry hears a
    hundred or so.  These are held apart, so that neither a request nor a
    tick has to look at all others.
    """

    __slots__ = ("_by_name", "_reporting", "_on_agent_lost")

    def __init__(self, *, on_agent_lost: Callable[[str, str], None]) -> None:
        """Call `on_agent_lost(agent, reason)` when an incarnation is gone."""
        self._by_name: dict[str, EndpointRecord] = {}
        self._reporting: dict[str, EndpointRecord] = {}
        self._on_agent_lost = on_agent_lost

    def __iter__(self) -> Iterator[EndpointRecord]:
        """Iterate over all known endpoints."""
        return iter(tuple(self._by_name.values()))

    @property
    def reporting(self) -> tuple[EndpointRecord, ...]:
        """Return the endpoints whose agents beat."""
        return tuple(self._reporting.values())

    def find(self, name: str) -> EndpointRecord | None:
        """Return an endpoint by name."""
        return self._by_name.get(name)

    def find_address(self, address: str) -> EndpointRecord | None:
        """Return the endpoint whose agent listens at an address."""
        matches = (endpoint for endpoint in self if endpoint.address == address)
        return next(matches, None)

    def take_listing(self, instances: Iterable[Instance]) -> None:
        """Follow the platform's instance list."""
        endpoints = {i.name: i for i in instances if i.role is Role.ENDPOINT}
        for name, instance in endpoints.items():
            self._take_instance(name, instance)
        for name in self._by_name.keys() - endpoints.keys():
            # The list lags and has gaps; an agent that still beats is
            # left to end its work but gets nothing new.
            self._by_name[name].is_listed = False
            if name not in self._reporting:
                del self._by_name[name]

    def take_load(
        self, load: Load, address: str, agent: str, now: float
    ) -> EndpointRecord:
        """Note an agent's heartbeat."""
        endpoint = self._by_name.get(load.endpoint)
        if endpoint is None:
            endpoint = EndpointRecord(
                name=load.endpoint,
                domain=load.domain,
                pool=load.pool,
                address=address,
            )
            self._by_name[load.endpoint] = endpoint
        if endpoint.agent and endpoint.agent != agent:
            log.info("directory: agent restarted: {}", endpoint.name)
            self._on_agent_lost(endpoint.agent, "the agent was restarted")
        self._reporting[endpoint.name] = endpoint
        endpoint.agent = agent
        endpoint.address = address
        endpoint.load = load
        endpoint.heard_at = now
        return endpoint

    def drop_silent(self, now: float) -> None:
        """Give up the work of agents that are silent for long."""
        for endpoint in self.reporting:
            if now - endpoint.heard_at <= GONE_AFTER:
                continue
            log.info("directory: agent silent: {}", endpoint.name)
            self._on_agent_lost(endpoint.agent, "the agent is silent")
            endpoint.agent = ""
            del self._reporting[endpoint.name]
            if not endpoint.is_listed:
                del self._by_name[endpoint.name]

    def find_serving(
        self, *, snapshot: Snapshot, version: str, service: str, now: float
    ) -> list[EndpointRecord] | Absence:
        """Return the endpoints that may get the request now.

        The document decides what a pool serves; an agent's own report
        may only narrow it.
        """
        pools = {
            pool.name
            for pool in snapshot.pools.values()
            if (version and version in pool.serves)
            or (service and service == pool.service)
        }
        heard = [endpoint for endpoint in self.reporting if endpoint.pool in pools]
        found = self._narrow(heard, snapshot, now)
        if not isinstance(found, Absence):
            return found
        # Only the list can tell why there is none.
        listed = [endpoint for endpoint in self if endpoint.pool in pools]
        return self._narrow(listed, snapshot, now)

    def _narrow(
        self, found: list[EndpointRecord], snapshot: Snapshot, now: float
    ) -> list[EndpointRecord] | Absence:
        if not found:
            return Absence.NONE_KNOWN
        found = [k for k in found if snapshot.is_domain_in(domain=k.domain)]
        if not found:
            return Absence.DOMAINS_OUT
        found = [k for k in found if self._is_staying(k, snapshot)]
        if not found:
            return Absence.LEAVING
        found = [k for k in found if k.agent and not k.is_silent(now)]
        if not found:
            return Absence.SILENT
        found = [k for k in found if k.load.engine_up]
        return found or Absence.ENGINES_DOWN

    def _is_staying(self, endpoint: EndpointRecord, snapshot: Snapshot) -> bool:
        if endpoint.leaving or not endpoint.is_listed:
            return False
        if endpoint.load is not None and endpoint.load.leaving:
            return False
        return snapshot.is_endpoint_in(endpoint=endpoint.name)

    def _take_instance(self, name: str, instance: Instance) -> None:
        endpoint = self._by_name.get(name)
        if endpoint is None:
            endpoint = EndpointRecord(
                name=name,
                domain=instance.domain,
                pool=instance.pool,
                address=instance.mailbox,
            )
            self._by_name[name] = endpoint
        endpoint.listed_address = instance.mailbox
        endpoint.domain = instance.domain
        endpoint.pool = instance.pool
        endpoint.leaving = instance.leaving
        endpoint.is_listed = True
