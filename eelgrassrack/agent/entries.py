"""The entries known to an agent, and which of them are live and its parents.

The agent learns of entries from the instance list, which lags, and from their
own messages.  An entry is lost if another incarnation sends from its address, if
it is no longer on the instance list, or if it stays silent although the agent
asked it for a heartbeat.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from ..store.instances import Instance, Role

# Parents send an agent its facts and receive its heartbeats.  With three parents
# one remains if one is lost and another is paused.  At the target size an entry
# then receives 87 heartbeats per second, within the 500 messages per second that
# it can process.
PARENT_COUNT = 3

# An entry that sent a message within this time receives heartbeats, too.
ACTIVE_SECONDS = 5.0

# An entry is asked for a heartbeat after the first time without a message and is
# lost after the second.  Reassigning its bills needlessly costs a few store calls
# but is safe, because its ledger is sealed first.
ASK_AFTER_SECONDS = 3.0
SILENT_SECONDS = 10.0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class EntryRecord:
    """One entry.

    `incarnation` and `ledger` are empty until the entry has sent them.  `delisted`
    is true if the instance list had the entry and no longer does.
    """

    address: str
    last_seen_at: float
    incarnation: str = ""
    ledger: str = ""
    name: str = ""
    listed: bool = False
    delisted: bool = False
    leaving: bool = False

    def is_live(self, now: float) -> bool:
        """Return whether the entry can be expected to respond."""
        return not self.delisted and now - self.last_seen_at < SILENT_SECONDS


class EntryDirectory:
    """All known entries, by mailbox address."""

    __slots__ = ("_by_address", "_name")

    def __init__(self, *, name: str) -> None:
        """Create an empty directory; `name` is the endpoint's, used to pick parents."""
        self._name = name
        self._by_address: dict[str, EntryRecord] = {}

    def __len__(self) -> int:
        """Return how many entries are known."""
        return len(self._by_address)

    def apply_listing(self, instances: Iterable[Instance], *, now: float) -> None:
        """Apply the current instance list."""
        listed = {i.mailbox: i for i in instances if i.role is Role.ENTRY}
        for address, instance in listed.items():
            entry = self._find_or_add(address, now)
            if not entry.listed:
                entry.last_seen_at = now
            entry.name = instance.name
            entry.leaving = instance.leaving
            entry.listed, entry.delisted = True, False
        for address, entry in self._by_address.items():
            if entry.listed and address not in listed:
                entry.listed, entry.delisted = False, True

    def note_message(self, *, address: str, incarnation: str, now: float) -> None:
        """Note that an entry sent a message."""
        entry = self._find_or_add(address, now)
        if entry.incarnation != incarnation:
            entry.ledger = ""
        entry.last_seen_at = now
        entry.incarnation = incarnation
        entry.delisted = False

    def note_presence(self, *, address: str, ledger: str, leaving: bool) -> None:
        """Note the ledger and the state that a known entry reports."""
        entry = self._by_address[address]
        entry.ledger = ledger
        entry.leaving = leaving

    def note_pause(self, *, now: float) -> None:
        """Restart the silence timers of all entries after a pause of this agent.

        The agent received no messages during the pause.
        """
        for entry in self._by_address.values():
            entry.last_seen_at = max(entry.last_seen_at, now)

    def find_all(self) -> list[str]:
        """Return the addresses of all entries that aren't delisted."""
        return [e.address for e in self._by_address.values() if not e.delisted]

    def find_parents(self, *, now: float) -> list[str]:
        """Return the addresses of the parents, the most preferred first.

        Silent or leaving entries are chosen only if there are too few others.
        """
        ranked = sorted(
            (e for e in self._by_address.values() if not e.delisted),
            key=lambda e: (not e.is_live(now), e.leaving, -self._weigh(e.address)),
        )
        return [entry.address for entry in ranked[:PARENT_COUNT]]

    def find_heartbeat_receivers(
        self, *, served: Iterable[str], now: float
    ) -> list[str]:
        """Return the addresses of the entries that receive heartbeats.

        These are the parents, the entries that sent a message recently, and the
        entries at the addresses `served`, which have attempts here.  An entry
        sends nothing during a long answer; without heartbeats it would give up
        the answer as lost.
        """
        active = (
            entry.address
            for entry in self._by_address.values()
            if entry.incarnation and now - entry.last_seen_at < ACTIVE_SECONDS
        )
        return list(dict.fromkeys([*self.find_parents(now=now), *active, *served]))

    def find_successor(self, *, ledger: str, now: float) -> EntryRecord | None:
        """Return the entry that takes over the bills of a ledger, or None.

        All agents choose the same entry, so that it reads the old ledger only
        once for all of them.
        """
        live = [
            entry
            for entry in self._by_address.values()
            if entry.is_live(now) and entry.ledger not in {"", ledger}
        ]
        return min(
            live,
            key=lambda e: (e.leaving, -weigh(ledger, e.address)),
            default=None,
        )

    def is_lost(self, *, address: str, incarnation: str, now: float) -> bool:
        """Return whether an incarnation of an entry is lost."""
        entry = self._by_address.get(address)
        if entry is None or not entry.is_live(now):
            return True
        return entry.incarnation != incarnation

    def has_other_ledger(self, *, address: str, ledger: str) -> bool:
        """Return whether an entry now uses another ledger than this one."""
        entry = self._by_address.get(address)
        return entry is not None and entry.ledger not in {"", ledger}

    def is_overdue(self, *, address: str, now: float) -> bool:
        """Return whether an entry should be asked for a heartbeat."""
        entry = self._by_address.get(address)
        return entry is not None and now - entry.last_seen_at >= ASK_AFTER_SECONDS

    def forget_lost(self, *, needed: set[str], now: float) -> None:
        """Remove lost entries, except those whose addresses are still `needed`."""
        for address, entry in list(self._by_address.items()):
            if not entry.listed and not entry.is_live(now) and address not in needed:
                del self._by_address[address]

    def _weigh(self, address: str) -> int:
        return weigh(self._name, address)

    def _find_or_add(self, address: str, now: float) -> EntryRecord:
        if address not in self._by_address:
            self._by_address[address] = EntryRecord(address=address, last_seen_at=now)
        return self._by_address[address]


def weigh(key: str, address: str) -> int:
    """Return the rendezvous weight of an address for a key."""
    return xxhash.xxh3_64_intdigest(f"{key} {address}".encode())
