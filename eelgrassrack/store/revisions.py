"""A guard that keeps an older configuration from replacing a newer one."""

from ..invariants import Invariants, Promise


class RevisionGuard:
    """Accept only revisions above all that were accepted before.

    A paused peer, a late answer or a lagging reader of the store may offer an older
    document at any time.  Putting that in force would send work to a version that has
    been withdrawn since.
    """

    __slots__ = ("_history", "_invariants", "highest")

    def __init__(self, *, invariants: Invariants) -> None:
        self._invariants = invariants
        self._history = 0
        self.highest = 0

    def accept(self, revision: int) -> bool:
        """Accept a revision if it is newer; return whether it was accepted."""
        if revision <= self.highest:
            return False
        self.highest = revision
        return True

    def check_in_force(self, revision: int) -> bool:
        """Check that no decision uses an older revision than one before it."""
        holds = self._invariants.check(
            Promise.CONFIGURATION,
            revision >= self._history,
            f"revision {revision} in force after {self._history}",
        )
        self._history = max(self._history, revision)
        return holds
