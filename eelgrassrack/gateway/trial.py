"""One roll-out as a gateway sees it: its order, answers and sessions."""

import msgspec

from ..decisions.versiontrial import Tally
from .storeobjects import RolloutOrder, RolloutState

# A gateway that takes over a roll-out under way waits so long for a peer that saw
# it begin; those of other failure domains tell once a second.  Times of day jump
# by seconds: gone by at once, they would end a version's trial before its time.
WITNESS_SECONDS = 2.0


class Seen(msgspec.Struct):
    """When a session was last here, and on which side of a trial.

    `set_at` is when that side was chosen here, or last told by a peer.
    """

    at: float
    is_new: bool
    set_at: float


class Trial:
    """One roll-out as this gateway sees it.

    `since` is the loop's time at which it began, as far as that is known here:
    `is_witnessed` says that it was seen to begin, here or by a peer that told so.
    Otherwise `guess` is when it began by the times of day here and where its
    status was written.
    """

    __slots__ = (
        "guess",
        "is_bad",
        "is_witnessed",
        "order",
        "pins",
        "since",
        "taken_at",
        "tallies",
        "told",
        "writing_from",
    )

    def __init__(
        self, *, order: RolloutOrder, now: float, guess: float | None = None
    ) -> None:
        self.order = order
        self.since = now
        self.taken_at = now
        self.guess = guess
        self.is_witnessed = guess is None
        self.is_bad = False
        self.tallies: dict[tuple[str, str, str], list[int]] = {}
        self.told: dict[str, tuple[Tally, ...]] = {}
        self.pins: dict[int, Seen] = {}
        self.writing_from: float | None = None

    def hear_since(self, since: float) -> None:
        """Take over when a peer that saw it begin says that it did."""
        self.since = min(self.since, since) if self.is_witnessed else since
        self.is_witnessed = True

    def settle(self, now: float) -> None:
        """Go by the guess if no peer has told in time when it began."""
        if not self.is_witnessed and now >= self.taken_at + WITNESS_SECONDS:
            self.since = min(self.since, self.guess)

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
