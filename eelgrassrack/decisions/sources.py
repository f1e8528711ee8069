"""Which peer is asked for what changed at the platform's store.

Load pattern: a few entries watch the store, and each change sends all others to
them at once.  All asking the same one, on a link of 5 Mbit/s, the last of twenty
has a new configuration after seconds, and serves callers by the old one until
then.

Each asks a different one of those that know enough, one of its own failure
domain first, since bytes between domains are paid for.  A configuration says
itself which is newer, so anyone that has it may be asked for it; what is known
of endpoints is only good from one that hears the store.
"""

from collections.abc import Iterable

import msgspec
import xxhash


class Source(msgspec.Struct, kw_only=True, frozen=True):
    """A peer, by its last news.

    `revisions` are those of the last changes that it knows of endpoints,
    roll-outs and failure domains.
    """

    name: str
    is_near: bool
    knows_store: bool
    configuration: int
    revisions: tuple[int, ...]


def rank_sources(
    sources: Iterable[Source], *, revisions: tuple[int, ...], spread: str
) -> list[str]:
    """Return the peers' names in the order in which they are asked.

    `revisions` are those known here; `spread` is this entry's name.
    """
    usable = [one for one in sources if one.configuration]
    lacks_more = any(
        one.knows_store and _is_newer(one.revisions, revisions) for one in usable
    )

    def weigh(one: Source) -> tuple[object, ...]:
        last = (not one.is_near, _rank(spread, one.name))
        if lacks_more:
            return (not one.knows_store, -sum(one.revisions), *last)
        return (-one.configuration, *last)

    return [one.name for one in sorted(usable, key=weigh)]


def _is_newer(theirs: tuple[int, ...], mine: tuple[int, ...]) -> bool:
    return any(their > my for their, my in zip(theirs, mine, strict=False))


def _rank(spread: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{spread}\0{name}".encode())
