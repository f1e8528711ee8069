"""One roll-out as a gateway sees it: its order, its tallies and its sessions."""

import msgspec

from ...decisions.versiontrial import Tally
from ..store.storeobjects import RolloutOrder, RolloutState

# A gateway that joins a running roll-out waits this long for a peer that saw it begin;
# peers of other failure domains report once a second.  Only then it relies on the
# clock: clocks may jump by seconds, which would end a version's trial too early.
WITNESS_WAIT_SECONDS = 2.0


class PinnedSession(msgspec.Struct):
    """A session that stays on the old or the new version for a while.

    `at` is the loop time of its last request here or of a peer's report.  `set_at`
    is the loop time at which this gateway chose the version, minus infinity if a
    peer did.
    """

    at: float
    is_new: bool
    set_at: float


class Trial:
    """One roll-out as this gateway sees it.

    `since` is the loop time at which it began, as far as known.  `is_witnessed` says
    that this gateway, or a peer that reported it, saw it begin.  Otherwise
    `estimated_since` is its start by the clocks of this gateway and of the one that
    wrote its status.

    `tallies` holds this gateway's numbers of answers and of bad answers by version,
    route and endpoint, `peer_tallies` those of each peer.  `pins` holds sessions by
    their hash.  `write_after` is the loop time from which this gateway writes the
    status, None if nothing needs to be written.
    """

    __slots__ = (
        "estimated_since",
        "is_bad",
        "is_witnessed",
        "order",
        "pins",
        "since",
        "received_at",
        "tallies",
        "peer_tallies",
        "write_after",
    )

    def __init__(
        self, *, order: RolloutOrder, now: float, estimated_since: float | None = None
    ) -> None:
        self.order = order
        self.since = now
        self.received_at = now
        self.estimated_since = estimated_since
        self.is_witnessed = estimated_since is None
        self.is_bad = False
        self.tallies: dict[tuple[str, str, str], list[int]] = {}
        self.peer_tallies: dict[str, tuple[Tally, ...]] = {}
        self.pins: dict[int, PinnedSession] = {}
        self.write_after: float | None = None

    def receive_since(self, since: float) -> None:
        """Apply the start reported by a peer that saw the roll-out begin."""
        self.since = min(self.since, since) if self.is_witnessed else since
        self.is_witnessed = True

    def apply_estimate(self, now: float) -> None:
        """Use the estimated start if no peer has reported the true one in time."""
        if not self.is_witnessed and now >= self.received_at + WITNESS_WAIT_SECONDS:
            self.since = min(self.since, self.estimated_since)

    @property
    def key(self) -> tuple[str, str, int]:
        """Return what identifies this roll-out."""
        return (self.order.service, self.order.version, self.order.created)

    @property
    def state(self) -> RolloutState:
        """Return the state written in the store, RUNNING if none is."""
        status = self.order.status
        if status is None or status.version != self.order.version:
            return RolloutState.RUNNING
        return status.state

    @property
    def has_ended(self) -> bool:
        """Return whether the roll-out has ended."""
        return self.state is not RolloutState.RUNNING

    def count(self, *, version: str, route: str, endpoint: str, is_bad: bool) -> None:
        """Count an answer."""
        counts = self.tallies.setdefault((version, route, endpoint), [0, 0])
        counts[0] += 1
        counts[1] += is_bad

    def list_tallies(self) -> tuple[Tally, ...]:
        """Return the answers counted by this gateway."""
        return tuple(Tally(*key, *counts) for key, counts in self.tallies.items())
