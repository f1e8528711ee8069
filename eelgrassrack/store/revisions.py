"""The rule that a configuration never reverts."""

from ..invariants import Invariants, Promise


class RevisionGuard:
    """Accept only a revision above every one accepted before.

    A paused peer, a late answer or a store's lagging reader may offer an
    older document at any time; put in force, it would give work to a
    version that was withdrawn since.
    """

    __slots__ = ("_history", "_invariants", "highest")

    def __init__(self, *, invariants: Invariants) -> None:
        self._invariants = invariants
        self._history = 0
        self.highest = 0

    def accept(self, revision: int) -> bool:
        """Take a revision as the one in force if it is newer."""
        if revision <= self.highest:
            return False
        self.highest = revision
        return True

    def check_in_force(self, revision: int) -> bool:
        """Assert that a decision isn't made by an older revision than before."""
        holds = self._invariants.check(
            Promise.CONFIGURATION,
            revision >= self._history,
            f"revision {revision} in force after {self._history}",
        )
        self._history = max(self._history, revision)
        return holds
