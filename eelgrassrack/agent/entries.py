"""The entries that an agent knows: which are live and which are its parents.

They come from the instance list, which lags, and from the entries' own
messages.  An entry counts as lost when another incarnation speaks from its
address, when the list has dropped it, or when it is silent though it was
asked for a sign of life.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from ..store.instances import Instance, Role

# Parents feed an agent facts and get its heartbeat.  With three, one of
# them lost and one paused still leave one; at the target size an entry then
# hears 87 heartbeats a second, within the 500 messages it can afford.
PARENT_COUNT = 3

# An entry that spoke within this time gets heartbeats too.
ACTIVE_SECONDS = 5.0

# An entry that was asked and stays silent is lost after this long.  Handing
# its bills over needlessly costs a few store calls and is no fault: its
# ledger is sealed first.
ASK_AFTER_SECONDS = 3.0
SILENT_SECONDS = 10.0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class EntryRecord:
    """One entry; `incarnation` and `ledger` are empty until it told them."""

    address: str
    last_seen_at: float
    incarnation: str = ""
    ledger: str = ""
    name: str = ""
    listed: bool = False
    delisted: bool = False
    leaving: bool = False

    def is_live(self, now: float) -> bool:
        """Tell whether it is worth talking to."""
        return not self.delisted and now - self.last_seen_at < SILENT_SECONDS


class EntryDirectory:
    """All known entries by mailbox address."""

    __slots__ = ("_by_address", "_name")

    def __init__(self, *, name: str) -> None:
        """Take the name of the endpoint, by which parents are chosen."""
        self._name = name
        self._by_address: dict[str, EntryRecord] = {}

    def __len__(self) -> int:
        """Return how many entries are known."""
        return len(self._by_address)

    def apply_listing(self, instances: Iterable[Instance], *, now: float) -> None:
        """Follow the instance list."""
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
        """Note that an entry spoke."""
        entry = self._find_or_add(address, now)
        if entry.incarnation != incarnation:
            entry.ledger = ""
        entry.last_seen_at = now
        entry.incarnation = incarnation
        entry.delisted = False

    def note_presence(self, *, address: str, ledger: str, leaving: bool) -> None:
        """Note what an entry that was heard says of itself."""
        entry = self._by_address[address]
        entry.ledger = ledger
        entry.leaving = leaving

    def note_pause(self, *, now: float) -> None:
        """Start all silences anew after a pause of this agent's own.

        What the entries said in the meantime wasn't heard.
        """
        for entry in self._by_address.values():
            entry.last_seen_at = max(entry.last_seen_at, now)

    def find_all(self) -> list[str]:
        """Return the addresses of all entries that aren't dropped."""
        return [e.address for e in self._by_address.values() if not e.delisted]

    def find_parents(self, *, now: float) -> list[str]:
        """Return the addresses of the parents, the first choice first.

        Entries that are silent or leaving are parents only in want of
        better ones.
        """
        ranked = sorted(
            (e for e in self._by_address.values() if not e.delisted),
            key=lambda e: (not e.is_live(now), e.leaving, -self._weigh(e.address)),
        )
        return [entry.address for entry in ranked[:PARENT_COUNT]]

    def find_heartbeat_receivers(
        self, *, served: Iterable[str], now: float
    ) -> list[str]:
        """Return who gets heartbeats.

        These are the parents, who spoke lately, and the addresses `served`
        that have work here.  An entry says nothing while a long answer
        runs; without heartbeats it would give the answer up as lost.
        """
        spoke = (
            entry.address
            for entry in self._by_address.values()
            if entry.incarnation and now - entry.last_seen_at < ACTIVE_SECONDS
        )
        return list(dict.fromkeys([*self.find_parents(now=now), *spoke, *served]))

    def find_successor(self, *, ledger: str, now: float) -> EntryRecord | None:
        """Return the entry to take over the bills of a ledger.

        All agents choose the same one, so that it reads the old ledger
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
        """Tell whether an incarnation of an entry is gone."""
        entry = self._by_address.get(address)
        if entry is None or not entry.is_live(now):
            return True
        return entry.incarnation != incarnation

    def has_other_ledger(self, *, address: str, ledger: str) -> bool:
        """Tell whether an entry now has another ledger than this one."""
        entry = self._by_address.get(address)
        return entry is not None and entry.ledger not in {"", ledger}

    def is_overdue(self, *, address: str, now: float) -> bool:
        """Tell whether an entry should be asked for a sign of life."""
        entry = self._by_address.get(address)
        return entry is not None and now - entry.last_seen_at >= ASK_AFTER_SECONDS

    def forget_lost(self, *, needed: set[str], now: float) -> None:
        """Forget entries that are gone, unless bills name them."""
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
