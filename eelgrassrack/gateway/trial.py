"""One roll-out as a gateway sees it: its order, answers and sessions."""

import msgspec

from ..decisions.versiontrial import Tally
from .beliefs import RolloutOrder, RolloutState


class Seen(msgspec.Struct):
    """When a session was last here, and on which side of a trial.

    `set_at` is when that side was chosen here, or last told by a peer.
    """

    at: float
    is_new: bool
    set_at: float


class Trial:
    """One roll-out as this gateway sees it."""

    __slots__ = ("is_bad", "order", "pins", "since", "tallies", "told", "writing_from")

    def __init__(self, *, order: RolloutOrder, since: float) -> None:
        self.order = order
        self.since = since
        self.is_bad = False
        self.tallies: dict[tuple[str, str, str], list[int]] = {}
        self.told: dict[str, tuple[Tally, ...]] = {}
        self.pins: dict[int, Seen] = {}
        self.writing_from: float | None = None

    @property
    def key(self) -> tuple[str, str, int]:
        """Return what tells this roll-out from others."""
        return (self.order.service, self.order.version, self.order.created)

    @property
    def state(self) -> RolloutState:
        """Return the state that is written, or RUNNING if none is."""
        status = self.order.status
        if status is None or status.version != self.order.version:
            return RolloutState.RUNNING
        return status.state

    @property
    def is_over(self) -> bool:
        """Tell whether it has ended."""
        return self.state is not RolloutState.RUNNING

    def count(self, *, version: str, route: str, endpoint: str, is_bad: bool) -> None:
        """Count an answer."""
        counts = self.tallies.setdefault((version, route, endpoint), [0, 0])
        counts[0] += 1
        counts[1] += is_bad

    def list_tallies(self) -> tuple[Tally, ...]:
        """Return what was counted here."""
        return tuple(Tally(*key, *counts) for key, counts in self.tallies.items())
