"""The part of the document that an agent needs, as a `Facts` message.

Parent entries send it to their agents at each change of the document.
At the target size there are thousands of agents and many changes a
minute, so the message holds only what concerns the agent's own pool.
"""

from collections.abc import Iterable

from ..mailbox.messages import Facts
from .sections import DomainState, EndpointState, Pool
from .snapshot import Snapshot


def build_facts(
    *, snapshot: Snapshot, pool: str, quarantined: Iterable[str] = ()
) -> Facts:
    """Return the facts for the agents of a pool.

    Agents of a pool that isn't in the document serve nothing.
    """
    section = snapshot.pools.get(pool, Pool(name=pool))
    return Facts(
        revision=snapshot.revision,
        withdrawn=tuple(
            version
            for version in section.serves
            if not snapshot.is_active(version=version)
        ),
        domains_out=tuple(
            domain.name
            for domain in snapshot.domains.values()
            if domain.state is DomainState.OUT
        ),
        endpoints_out=tuple(
            endpoint.name
            for endpoint in snapshot.endpoints.values()
            if endpoint.state is EndpointState.DRAINING
        ),
        weights=_find_weights(snapshot, section),
        serves=section.serves,
        service=section.service,
        concurrency=section.concurrency,
        cold_concurrency=section.cold_concurrency,
        quarantined=tuple(quarantined),
        costs={
            version: snapshot.versions[version].cost
            for version in section.serves
            if version in snapshot.versions
        },
    )


def _find_weights(snapshot: Snapshot, pool: Pool) -> dict[str, float]:
    """Return the weights of the organisations that may use the pool.

    A weight of 1 is the default and left out.
    """
    return {
        organisation.name: organisation.weight
        for organisation in snapshot.organisations.values()
        if organisation.weight != 1.0
        and (
            pool.service in organisation.services
            or any(
                snapshot.allows(organisation=organisation, version=version)
                for version in pool.serves
            )
        )
    }
