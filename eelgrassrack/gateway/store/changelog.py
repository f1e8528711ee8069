"""The changes of one kind of object that a gateway has read from the store.

Peers that know an earlier revision fetch only what changed since.  If each change made
hundreds of gateways fetch the whole list of hundreds of endpoints from the few that
watch the store, the links of those few would be full.
"""

import collections
from collections.abc import Iterable

# Number of changes kept; a peer that lacks more fetches the whole list.
MAX_CHANGES = 2_000


class ChangeLog:
    """The names of changed objects, by the store's revision of their change.

    It is complete from the revision of the last list on: a list doesn't show what came
    and went before it, which peers may have learned from others.  Clear it when the
    objects change in any other way than by reading the store.
    """

    __slots__ = ("_changes", "_complete_since")

    def __init__(self) -> None:
        self._changes: collections.deque[tuple[int, str]] = collections.deque()
        self._complete_since: int | None = None

    def clear(self) -> None:
        """Forget all changes; the log is complete from the next one on."""
        self._changes.clear()
        self._complete_since = None

    def restart(self, revision: int) -> None:
        """Forget all changes; the log is complete from a list's revision on."""
        self._changes.clear()
        self._complete_since = revision

    def note(self, names: Iterable[str], *, revision: int) -> None:
        """Note that objects changed, at this revision at the latest."""
        if self._complete_since is None:
            self._complete_since = revision
            return
        self._changes.extend((revision, name) for name in names)
        while len(self._changes) > MAX_CHANGES:
            self._complete_since, _ = self._changes.popleft()

    def list_since(self, revision: int) -> set[str] | None:
        """Return what changed after a revision, None if that isn't known."""
        if self._complete_since is None or revision < self._complete_since:
            return None
        return {name for at, name in self._changes if at > revision}
