"""The choice of the entries that watch the store on behalf of all.

Each change of the configuration or of an endpoint ends the pending watch of every
entry, which then calls the store for the next one.  With a few changes per second and
hundreds of entries, these calls alone exceed the store's capacity, and each one costs
money.

Therefore only a few entries watch the store.  They are chosen by a hash of their names,
so that they mostly belong to several failure domains.  Their updates tell the others
about changes, and the others fetch the changes from them.

A store may turn all of these away while it serves others, and it may do so in silence.
An entry whose watch is overdue says so at once, and another one replaces it from then
on, for as long as it says so.  One more tries too until the replacements are known to
reach the store.  They don't stop because another one reaches it: if each did, all would
stop and list everything again.  Those that lose it too stop, but for the regular
watchers, as long as another one reaches it.  If nobody does, every entry watches for
itself.

Entries with links far thinner than the widest watch last: the store sends whole
objects, and a large one fills such a link for seconds, in which the entry's requests
are late.
"""

from collections.abc import Collection, Iterable, Mapping

import msgspec
import xxhash

# Up to this number of entries all of them watch: the additional calls cost less than
# receiving changes a little later.
MAX_ALL_WATCH = 8

# Number of watchers among more entries.
WATCHERS = 4

# How many further entries try at most besides those that replace others.
MAX_EXTRA = WATCHERS

# Share of the replacements that must reach the store before the further ones stop.
CONFIRMED_SHARE = 0.5

# A link is thin if it carries less than this share of the widest one.
THIN_SHARE = 0.5

UNKNOWN_LINKS: Mapping[str, float] = {}


class WatchRole(msgspec.Struct, frozen=True):
    """An entry's rank among the watchers, None if it doesn't watch, and their number.

    `is_standby` says that it only tries whether the store has returned.
    """

    rank: int | None
    watchers: int
    is_standby: bool = False


def find_watch_role(
    *,
    name: str,
    others: Iterable[str],
    is_store_reachable: bool,
    lost: Collection[str] = (),
    reaching: Collection[str] = (),
    links: Mapping[str, float] = UNKNOWN_LINKS,
) -> WatchRole:
    """Return an entry's role.

    `others` are the names of the other live entries; `is_store_reachable` says that at
    least one of them reaches the store, or did a moment ago.  `lost` names the entries,
    this one perhaps among them, that have lost it or have a watch that is overdue,
    `reaching` those that read it.  `links` are the entries' links in Mbit/s, 0 if
    unknown.
    """
    names = {name, *others}
    thin = find_thin(links)
    ranked = sorted(names, key=lambda entry: (entry in thin, _hash_name(entry)))
    if len(names) <= MAX_ALL_WATCH:
        return WatchRole(ranked.index(name), len(names))
    watchers = _list_watchers(ranked, lost, reaching)
    if name in watchers:
        return WatchRole(watchers.index(name), len(watchers))
    rank = ranked.index(name)
    if not is_store_reachable or (name in lost and rank < WATCHERS):
        return WatchRole(rank, len(names), is_standby=rank >= WATCHERS)
    return WatchRole(None, len(watchers))


def _list_watchers(
    ranked: list[str], lost: Collection[str], reaching: Collection[str]
) -> list[str]:
    """Return the regular watchers that haven't lost the store, and replacements.

    Of these, those that reach the store come first: another one that may be able again
    would take the place of one that watches, and lose the store once more.
    """
    regular = ranked[:WATCHERS]
    able = sorted(
        (entry for entry in ranked if entry not in lost),
        key=lambda entry: (entry not in regular, entry not in reaching),
    )
    replacements = set(able[:WATCHERS]).difference(regular)
    confirmed = len(replacements.intersection(reaching))
    if confirmed >= CONFIRMED_SHARE * len(replacements):
        return able[:WATCHERS]
    return able[: WATCHERS + min(len(replacements), MAX_EXTRA)]


def find_thin(links: Mapping[str, float]) -> set[str]:
    """Return the entries whose links are known to be thin."""
    known = {name: link for name, link in links.items() if link > 0}
    if not known:
        return set()
    widest = max(known.values())
    return {name for name, link in known.items() if link < widest * THIN_SHARE}


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
