"""The choice of a peer from which an entry fetches changes of the platform's store.

A few entries watch the store, and each change makes all others fetch from them at once.
If all twenty asked the same one on a link of 5 Mbit/s, the last would get a new
configuration only after seconds, and serve callers by the old one until then.

Each entry therefore asks a different one of the peers that know enough, preferably one
of its own failure domain, since bytes between domains cost money.  A configuration has
a version, so any peer that has the newest may be asked for it.  The state of endpoints
is reliable only from a peer that reaches the store.
"""

from collections.abc import Iterable

import msgspec
import xxhash


class Source(msgspec.Struct, kw_only=True, frozen=True):
    """A peer as of its latest update.

    `configuration` is the version of its configuration, 0 if it has none.
    `knows_store` says that it reaches the store; `revisions` are the latest store
    revisions that it knows of endpoints, roll-outs and failure domains.
    """

    name: str
    is_near: bool
    knows_store: bool
    configuration: int
    revisions: tuple[int, ...]


def rank_sources(
    sources: Iterable[Source], *, revisions: tuple[int, ...], spread: str
) -> list[str]:
    """Return the peers' names in the order in which to ask them.

    `revisions` are those that this entry knows; `spread`, its name, makes different
    entries prefer different peers.
    """
    usable = [peer for peer in sources if peer.configuration]
    is_behind = any(
        peer.knows_store and _is_newer(peer.revisions, revisions) for peer in usable
    )

    def rank(peer: Source) -> tuple[object, ...]:
        last = (not peer.is_near, _rank(spread, peer.name))
        if is_behind:
            return (not peer.knows_store, -sum(peer.revisions), *last)
        return (-peer.configuration, *last)

    return [peer.name for peer in sorted(usable, key=rank)]


def _is_newer(theirs: tuple[int, ...], mine: tuple[int, ...]) -> bool:
    return any(their > my for their, my in zip(theirs, mine, strict=False))


def _rank(spread: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{spread}\0{name}".encode())
