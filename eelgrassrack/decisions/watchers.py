"""Which entries watch the store for all.

Load pattern: each change of the configuration or of an endpoint ends the
waiting watch of every entry, which then makes a call for the next.  At a few
changes a second and hundreds of entries those calls alone are more than the
store takes, and each is paid for.

A few entries watch, chosen by a hash of their names so that they lie in
several failure domains.  Their news tell the others that something changed,
and those fetch it from them.  Where no entry is heard that reaches the store,
each watches for itself.
"""

from collections.abc import Iterable

import msgspec
import xxhash

# Up to this many entries all watch: the calls of the others cost less than
# what a change that comes a little later does.
ALL_WATCH = 8

# With more, so many watch.  Where a third of all entries is turned away by the
# store, one time in a hundred all four are among them, and then the others
# notice within a second.
WATCHERS = 4


class WatchRole(msgspec.Struct, frozen=True):
    """An entry's place among those that watch, or None, and how many do.

    `is_standby` says that it watches only since none of those hears the store.
    """

    rank: int | None
    watchers: int
    is_standby: bool = False


def find_watch_role(
    *, name: str, others: Iterable[str], is_store_reachable: bool
) -> WatchRole:
    """Return whether an entry watches, given the names of the live others."""
    names = {name, *others}
    ranked = sorted(names, key=lambda one: xxhash.xxh3_64_intdigest(one.encode()))
    rank = ranked.index(name)
    if len(names) <= ALL_WATCH:
        return WatchRole(rank, len(names))
    if not is_store_reachable:
        return WatchRole(rank, len(names), is_standby=rank >= WATCHERS)
    return WatchRole(rank if rank < WATCHERS else None, WATCHERS)
