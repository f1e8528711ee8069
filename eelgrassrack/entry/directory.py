"""The endpoints that this entry knows, with the last report of each agent.

The instance list holds the endpoints and the addresses of their agents;
heartbeats hold each agent's load and incarnation.  Both may be out of date.
An endpoint whose heartbeat is overdue gets no requests, and an agent with a
new incarnation has lost the attempts of the old one.
"""

import enum
from collections.abc import Callable, Iterable, Iterator

import logbook

from ..decisions.hearing import Hearing
from ..document.snapshot import Snapshot
from ..mailbox.messages import Load
from ..store.instances import Instance, Role

log = logbook.Logger("directory")

# An agent sends a heartbeat each second.  After three missed ones its endpoint gets
# no requests.
SILENT_AFTER_SECONDS = 3.5

# After this long without a heartbeat, in which the entry could have heard it, the agent
# counts as gone, and callers are told that the outcome of their attempts is unknown.
GONE_AFTER_SECONDS = 6.0


class NoEndpointReason(enum.Enum):
    """Why no endpoint can take a request."""

    NONE_KNOWN = "no_endpoint"
    DOMAINS_OUT = "domains_out"
    LEAVING = "endpoints_leaving"
    SILENT = "endpoints_silent"
    ENGINES_DOWN = "engines_down"


class EndpointRecord:
    """An endpoint's location and the last heartbeat of its agent.

    `address` is the agent's address in its last heartbeat, `listed_address`
    the one in the instance list; they differ while an instance is replaced.
    `running` counts this entry's attempts in flight there, which no
    load report includes yet.
    """

    __slots__ = (
        "address",
        "agent",
        "domain",
        "heartbeat_at",
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
        self.heartbeat_at = float("-inf")
        self.load: Load | None = None
        self.leaving = False
        self.is_listed = True
        self.running = 0

    def is_silent(self, now: float) -> bool:
        """Return whether the next heartbeat is overdue at `now`."""
        return now - self.heartbeat_at > SILENT_AFTER_SECONDS

    def is_resting(self, now: float) -> bool:
        """Return whether the endpoint wants no requests at `now`."""
        return self.load.resting > now - self.heartbeat_at


class Directory:
    """Endpoints by name, updated from the instance list and heartbeats.

    The list may hold thousands of endpoints, but only a hundred or so report
    to an entry.  They are stored separately, so that neither a request nor a
    tick has to visit all others.
    """

    __slots__ = ("_by_name", "_hearing", "_reporting", "_on_agent_lost")

    def __init__(
        self,
        *,
        on_agent_lost: Callable[[str, str], None],
        hearing: Hearing | None = None,
    ) -> None:
        """Call `on_agent_lost(agent, reason)` when an incarnation is gone."""
        self._hearing = hearing or Hearing()
        self._by_name: dict[str, EndpointRecord] = {}
        self._reporting: dict[str, EndpointRecord] = {}
        self._on_agent_lost = on_agent_lost

    def __iter__(self) -> Iterator[EndpointRecord]:
        """Iterate over all known endpoints."""
        return iter(tuple(self._by_name.values()))

    @property
    def reporting(self) -> tuple[EndpointRecord, ...]:
        """Return the endpoints whose agents send heartbeats."""
        return tuple(self._reporting.values())

    def find(self, name: str) -> EndpointRecord | None:
        """Return an endpoint by name, or None."""
        return self._by_name.get(name)

    def find_by_address(self, address: str) -> EndpointRecord | None:
        """Return the endpoint whose agent listens at an address, or None."""
        matches = (endpoint for endpoint in self if endpoint.address == address)
        return next(matches, None)

    def take_listing(self, instances: Iterable[Instance]) -> None:
        """Update the endpoints from the platform's instance list."""
        endpoints = {i.name: i for i in instances if i.role is Role.ENDPOINT}
        for name, instance in endpoints.items():
            self._take_instance(name, instance)
        for name in self._by_name.keys() - endpoints.keys():
            # The list is sometimes late or incomplete.  An agent that still sends
            # heartbeats may finish its work but gets no new requests.
            self._by_name[name].is_listed = False
            if name not in self._reporting:
                del self._by_name[name]

    def take_load(
        self, load: Load, address: str, agent: str, now: float
    ) -> EndpointRecord:
        """Update an endpoint from its agent's heartbeat, and return it."""
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
        endpoint.heartbeat_at = now
        return endpoint

    def drop_silent(self, now: float) -> None:
        """Report agents without a recent heartbeat as lost."""
        for endpoint in self.reporting:
            silence = self._hearing.measure_silence(
                sender=endpoint.address, heard_at=endpoint.heartbeat_at, now=now
            )
            if silence <= GONE_AFTER_SECONDS:
                continue
            log.info("directory: agent silent: {}", endpoint.name)
            self._on_agent_lost(endpoint.agent, "the agent is silent")
            endpoint.agent = ""
            del self._reporting[endpoint.name]
            if not endpoint.is_listed:
                del self._by_name[endpoint.name]

    def find_serving(
        self, *, snapshot: Snapshot, version: str, service: str, now: float
    ) -> list[EndpointRecord] | NoEndpointReason:
        """Return the endpoints that can take a request now, or why none can.

        The document determines what a pool serves; an agent's report can
        only exclude its endpoint.
        """
        pools = {
            pool.name
            for pool in snapshot.pools.values()
            if (version and version in pool.serves)
            or (service and service == pool.service)
        }
        reporting = [endpoint for endpoint in self.reporting if endpoint.pool in pools]
        found = self._filter_available(reporting, snapshot, now)
        if not isinstance(found, NoEndpointReason):
            return found
        # The reason must take the listed endpoints that don't report into account.
        listed = [endpoint for endpoint in self if endpoint.pool in pools]
        return self._filter_available(listed, snapshot, now)

    def _filter_available(
        self, found: list[EndpointRecord], snapshot: Snapshot, now: float
    ) -> list[EndpointRecord] | NoEndpointReason:
        if not found:
            return NoEndpointReason.NONE_KNOWN
        found = [k for k in found if snapshot.is_domain_in(domain=k.domain)]
        if not found:
            return NoEndpointReason.DOMAINS_OUT
        found = [k for k in found if self._is_staying(k, snapshot)]
        if not found:
            return NoEndpointReason.LEAVING
        found = [k for k in found if k.agent and not k.is_silent(now)]
        if not found:
            return NoEndpointReason.SILENT
        found = [k for k in found if k.load.engine_up]
        if not found:
            return NoEndpointReason.ENGINES_DOWN
        # If all rest, their agents decide which requests can wait.
        return [k for k in found if not k.is_resting(now)] or found

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
