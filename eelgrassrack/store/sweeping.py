"""Iteration over all records of a kind, a few at a time."""

import msgspec

from .objects import Names, ObjectStore, Unavailable

# Names are hexadecimal digests.  One listing covers the names that share their first
# digits.  So 4,096 listings cover all names, and with ten million records a listing
# has 2,400 names.
PREFIX_DIGITS = 3


class Swept(msgspec.Struct, kw_only=True, frozen=True):
    """The number of records that one sweep checked and removed."""

    looked_at: int
    removed: int


class Cursor:
    """Iterate over the names of a kind in batches, again and again.

    With `digits` of zero, each listing covers all names, which may have any form.
    """

    __slots__ = ("_digits", "_kind", "_next_name", "_store")

    def __init__(
        self, *, store: ObjectStore, kind: str, digits: int = PREFIX_DIGITS
    ) -> None:
        self._digits = digits
        self._store = store
        self._kind = kind
        self._next_name = ""

    async def read_names(self, *, limit: int) -> tuple[str, ...] | Unavailable:
        """Return the next names of one prefix, at most `limit`."""
        prefix = self._next_name[: self._digits] or "0" * self._digits
        names = await self._store.find_names(kind=self._kind, prefix=prefix)
        if not isinstance(names, Names):
            return names
        remaining = [name for name in names.names if name >= self._next_name]
        if len(remaining) > limit:
            self._next_name = remaining[limit]
        else:
            self._next_name = _increment_prefix(prefix)
        return tuple(remaining[:limit])


def _increment_prefix(prefix: str) -> str:
    """Return the next prefix, or an empty string after the last one."""
    following = int(prefix or "0", 16) + 1
    if following >= 16 ** len(prefix):
        return ""
    return f"{following:0{len(prefix)}x}"
