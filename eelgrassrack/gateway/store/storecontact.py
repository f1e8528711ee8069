"""Whether the platform's store answers this gateway.

What a gateway does without the store, and what it tells its peers, must not depend on
which kind of object it asked for last.
"""

import asyncio

import logbook

log = logbook.Logger("store")

# How long a gateway whose calls failed isn't taken for one that reaches the store, once
# it has left the store to others.
FAILED_SECONDS = 10.0


class StoreContact:
    """Whether the store answers, shared by the followers of all kinds.

    `lost_at` is the loop time at which the store stopped answering, None while it
    answers.  `returned_at` is the loop time at which it last answered again.
    `is_doubted` is set from the moment at which a watch is overdue until a later call
    is answered: if the path to the store is cut, peers must take over before a list
    has failed too.

    During an outage only the follower that failed first asks again.  The store
    charges for each call, even a refused one: 30 gateways that all ask for four
    kinds make as many calls in ten seconds as during the rest of a day.
    """

    __slots__ = (
        "_doubted_at",
        "_failed_at",
        "_prober",
        "_returned",
        "lost_at",
        "returned_at",
    )

    def __init__(self) -> None:
        self._doubted_at: float | None = None
        self._failed_at = float("-inf")
        self._prober = ""
        self._returned = asyncio.Event()
        self.lost_at: float | None = None
        self.returned_at = float("-inf")

    @property
    def is_doubted(self) -> bool:
        """Return whether the store may be out of reach."""
        return self.lost_at is not None or self._doubted_at is not None

    def has_failed(self, *, now: float) -> bool:
        """Return whether a watch is overdue or a call failed, perhaps some time ago."""
        return self.is_doubted or now < self._failed_at + FAILED_SECONDS

    def note_overdue(self, *, now: float) -> None:
        """Note that a watch is overdue."""
        self._failed_at = now
        if self._doubted_at is None:
            self._doubted_at = now

    def note_unwatched(self) -> None:
        """Note that this gateway leaves the store to others."""
        self._doubted_at = None
        self.lost_at = None
        self._returned.set()

    async def wait_turn(self, kind: str) -> None:
        """Wait until the follower of a kind may ask again after a failure."""
        if self.lost_at is not None and self._prober != kind:
            await self._returned.wait()

    def note_answer(self, *, asked_at: float, now: float) -> None:
        """Note that the store answered a call made at the loop time `asked_at`.

        A watch that began before an outage may still end normally during it.  Such
        an answer doesn't count as the store's return: operators would believe that
        the outage is over, and the time for which missing endpoints are kept would
        run out early.
        """
        if self._doubted_at is not None and asked_at >= self._doubted_at:
            self._doubted_at = None
        if asked_at >= self._failed_at:
            self._failed_at = float("-inf")
        if self.lost_at is not None and asked_at < self.lost_at:
            return
        if self.lost_at is not None:
            lost = now - self.lost_at
            log.notice("store: regained, away for {:.2f} s", lost)
            self.returned_at = now
        self.lost_at = None
        self._returned.set()

    def note_lost(self, *, now: float, kind: str, reason: str) -> None:
        """Note that the store didn't answer a call for a kind."""
        self._failed_at = now
        if self.lost_at is None:
            self.lost_at = now
            self._prober = kind
            self._returned.clear()
            log.warning("store: lost: {} {}", kind, reason)
