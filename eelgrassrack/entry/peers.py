"""Messages to other entries, and heartbeats and facts to agents.

Each entry sends to a few others, chosen by rendezvous hashing, so that a
message spreads to all of them in a few hops and an entry's traffic doesn't
grow with their number.  An agent sends load reports to the entries whose
heartbeats it receives, which is one each second.
"""

from collections.abc import Callable, Iterable

import logbook
import msgspec

from ..decisions.placement import choose_subset
from ..document.facts import build_facts
from ..document.snapshot import Snapshot
from ..mailbox.messages import (
    Facts,
    FactsKept,
    Load,
    Presence,
    Quarantined,
    WantDocument,
)
from ..store.instances import Instance, Role
from .directory import Directory, EndpointRecord

log = logbook.Logger("peers")

Post = Callable[[str, object], None]

# With eight neighbours a message reaches 380 entries in three hops.
NEIGHBOUR_COUNT = 8

# Endpoints that one entry sends heartbeats to.  With half of them in its own domain,
# several of 380 entries cover each of 11,000 endpoints, and an entry receives at
# most this many load reports a second.
MAX_ENDPOINTS = 48


class PoolFacts(msgspec.Struct, kw_only=True, frozen=True):
    """The facts for a pool's agents, unchanged since revision `since`."""

    facts: Facts
    since: int


class Peers:
    """Sends heartbeats, facts and quarantined requests."""

    __slots__ = (
        "_directory",
        "_domain",
        "_entries",
        "_facts",
        "_neighbours",
        "_post",
        "_subset",
        "leaving",
        "name",
    )

    def __init__(
        self, *, name: str, domain: str, directory: Directory, post: Post
    ) -> None:
        self.name = name
        self.leaving = False
        self._directory = directory
        self._domain = domain
        self._entries: dict[str, str] = {}
        self._facts: dict[str, PoolFacts] = {}
        self._neighbours: tuple[str, ...] = ()
        self._post = post
        self._subset: frozenset[str] = frozenset()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the neighbours' mailbox addresses."""
        return tuple(
            self._entries[name] for name in self._neighbours if name in self._entries
        )

    def take_listing(self, instances: Iterable[Instance]) -> None:
        """Choose the neighbours and the subset of endpoints."""
        instances = tuple(instances)
        self._entries = {
            i.name: i.mailbox
            for i in instances
            if i.role is Role.ENTRY and i.name != self.name
        }
        self._neighbours = choose_subset(
            key=self.name,
            names_by_domain={"": sorted(self._entries)},
            domain="",
            size=NEIGHBOUR_COUNT,
        )
        by_pool: dict[str, dict[str, list[str]]] = {}
        for instance in instances:
            if instance.role is Role.ENDPOINT:
                domains = by_pool.setdefault(instance.pool, {})
                domains.setdefault(instance.domain, []).append(instance.name)
        chosen = (
            choose_subset(
                key=self.name,
                names_by_domain=domains,
                domain=self._domain,
                size=max(MAX_ENDPOINTS // max(len(by_pool), 1), 2),
            )
            for domains in by_pool.values()
        )
        self._subset = frozenset(name for names in chosen for name in names)

    def build_presence(
        self, *, revision: int, ledger: str, answers: int = 0
    ) -> Presence:
        """Return this entry's heartbeat."""
        return Presence(
            entry=self.name,
            domain=self._domain,
            revision=revision,
            ledger=ledger,
            leaving=self.leaving,
            answers=answers,
        )

    def send_heartbeats(self, presence: Presence) -> None:
        """Send a heartbeat to the neighbours and to the agents of the subset."""
        for address in self.addresses:
            self._post(address, presence)
        for endpoint in self._directory:
            if endpoint.name in self._subset or endpoint.running:
                # An agent that restarted at another address sends nothing to this
                # entry before it has received a heartbeat.
                for address in {endpoint.address, endpoint.listed_address}:
                    self._post(address, presence)

    def refresh_facts(
        self,
        *,
        endpoint: EndpointRecord,
        load: Load,
        snapshot: Snapshot,
        quarantined: tuple,
    ) -> None:
        """Send an agent the facts if its load report shows an older revision."""
        if load.revision >= snapshot.revision:
            return
        cached = self._find_facts(endpoint.pool, snapshot, quarantined)
        if load.revision >= cached.since:
            kept = FactsKept(revision=snapshot.revision, since=cached.since)
            self._post(endpoint.address, kept)
            return
        self._post(endpoint.address, cached.facts)

    def send_facts(
        self,
        *,
        endpoint: EndpointRecord,
        snapshot: Snapshot,
        quarantined: tuple[str, ...],
    ) -> None:
        """Send an agent the facts of the document in force, if there is one."""
        if not snapshot.revision:
            return
        cached = self._find_facts(endpoint.pool, snapshot, quarantined)
        self._post(endpoint.address, cached.facts)

    def announce(self, *, snapshot: Snapshot, quarantined: tuple) -> None:
        """Send the facts of a new revision to all reporting agents."""
        for endpoint in self._directory.reporting:
            self.refresh_facts(
                endpoint=endpoint,
                load=endpoint.load,
                snapshot=snapshot,
                quarantined=quarantined,
            )

    def _find_facts(
        self, pool: str, snapshot: Snapshot, quarantined: tuple[str, ...]
    ) -> "PoolFacts":
        """Return a pool's facts and the revision since which they hold.

        They are computed once per pool and revision.  Unchanged facts keep
        their first revision, so that agents which have them are only told that
        they still hold.
        """
        cached = self._facts.get(pool)
        if cached is not None and cached.facts.revision == snapshot.revision:
            return cached
        facts = build_facts(snapshot=snapshot, pool=pool, quarantined=quarantined)
        since = facts.revision
        if cached is not None and _are_equal(cached.facts, facts):
            since = cached.since
        self._facts[pool] = PoolFacts(facts=facts, since=since)
        return self._facts[pool]

    def spread(self, *, fingerprints: tuple[str, ...]) -> None:
        """Send quarantined requests to neighbours and agents."""
        message = Quarantined(fingerprints=fingerprints)
        for address in self.addresses:
            self._post(address, message)
        for endpoint in self._directory:
            if endpoint.agent:
                self._post(endpoint.address, message)

    def ask_one(self, address: str, revision: int) -> None:
        """Ask one entry for a document newer than this revision."""
        self._post(address, WantDocument(revision=revision))

    def ask_document(self, revision: int, question: int) -> None:
        """Ask the neighbours for a document newer than this revision."""
        for address in self.addresses:
            self._post(address, WantDocument(revision=revision, question=question))


def _are_equal(before: Facts, after: Facts) -> bool:
    """Return whether the facts of two revisions are equal.

    Quarantined requests are sent separately and not compared.
    """
    same = msgspec.structs.replace(
        before, revision=after.revision, quarantined=after.quarantined
    )
    return same == after
