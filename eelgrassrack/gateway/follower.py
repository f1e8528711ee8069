"""Follow the objects of one kind in the platform's store."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

import logbook
import msgspec

from .storeobjects import HistoryGone, ListResult, StoreUnavailable, WatchResult

log = logbook.Logger("store")

# A list takes milliseconds; a slow store takes 50 times as long.
LIST_SECONDS = 1.2

# A watch that is due is answered within milliseconds, from a slow store within
# a fifth of a second.  One that is overdue is deaf; its call to the store is
# then left to end by itself.
OVERDUE_SECONDS = 0.3
WATCH_SLACK_SECONDS = 1.0

# Changes come in clumps, as when a service's endpoints are replaced.  After
# one the next call waits this long, so that a clump costs one call; a change
# may take two seconds to be in force.
GATHER_SECONDS = 0.4

# How often an entry that doesn't watch looks whether it should.
PASSIVE_SECONDS = 0.25

# Pauses after failures, with jitter, so that entries that lost the store
# together don't come back together.
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 1.0

# An entry that asks only because no watching entry reaches the store asks less
# often: the others find out within a second that it is back, and with 30
# entries that all ask each second an outage costs more calls than a day.
STANDBY_PAUSE = 4.0


TakeList = Callable[[dict[str, object]], None]
TakeChanges = Callable[[dict[str, object | None]], None]


class Store(Protocol):
    """The calls that a follower makes."""

    async def list(
        self, *, kind: str, timeout: float, allow_stale: bool = False
    ) -> ListResult | StoreUnavailable:
        """Return all objects of a kind."""

    async def watch(
        self, *, kind: str, revision: int, wait: float, timeout: float
    ) -> WatchResult | HistoryGone | StoreUnavailable:
        """Return what changed after a revision."""


class Unheard(msgspec.Struct, frozen=True):
    """A watch that was given up; it says nothing of whether the store answers."""


class Contact:
    """Whether the store answers, over all kinds.

    `returned_at` is the loop's time at which it last answered again after
    it had not; `lost_at` is None while it answers.

    While it doesn't, only the kind that failed first asks again: each call is
    paid for, also a refused one, and thirty entries that all ask for four kinds
    make as many of them in ten seconds as on the rest of a day.
    """

    __slots__ = ("_prober", "_regained", "lost_at", "returned_at")

    def __init__(self) -> None:
        self._prober = ""
        self._regained = asyncio.Event()
        self.lost_at: float | None = None
        self.returned_at = float("-inf")

    async def wait_turn(self, kind: str) -> None:
        """Wait until a kind may ask again after a failure."""
        if self.lost_at is not None and self._prober != kind:
            await self._regained.wait()

    def note_answer(self, *, asked_at: float, now: float) -> None:
        """Take over that a call was answered which was made at `asked_at`.

        A watch that was waiting when the store was lost may still end in order.
        Taken for the store's return, it would tell operators that all is well,
        and let the time run out for which missing entries are kept.
        """
        if self.lost_at is not None and asked_at < self.lost_at:
            return
        if self.lost_at is not None:
            lost = now - self.lost_at
            log.notice("store: regained, away for {:.2f} s", lost)
            self.returned_at = now
        self.lost_at = None
        self._regained.set()

    def note_lost(self, *, now: float, kind: str, reason: str) -> None:
        """Take over that a call wasn't answered."""
        if self.lost_at is None:
            self.lost_at = now
            self._prober = kind
            self._regained.clear()
            log.warning("store: lost: {} {}", kind, reason)


class Follower:
    """Keep a view of one kind up to date.

    `take_list` gets all objects, `take_changes` those that changed, with None
    for a removed one.  `find_wait` tells for how many seconds a watch waits,
    `is_active` whether this entry watches at all, `is_standby` whether it does
    so only because those whose turn it is don't reach the store.
    `event_revision` is the store's revision at the last change that was seen.
    """

    __slots__ = (
        "_contact",
        "_find_wait",
        "_has_changed",
        "_is_active",
        "_is_standby",
        "_store",
        "_take_changes",
        "_take_list",
        "_told",
        "_watching",
        "event_revision",
        "kind",
        "on_gap",
        "revision",
    )

    def __init__(
        self,
        *,
        store: Store,
        kind: str,
        contact: Contact,
        take_list: TakeList,
        take_changes: TakeChanges,
        find_wait: Callable[[], float],
        is_active: Callable[[], bool],
        is_standby: Callable[[], bool],
    ) -> None:
        self._is_active = is_active
        self._is_standby = is_standby
        self._find_wait = find_wait
        self._told = 0
        self._has_changed = False
        self.event_revision = 0
        self.on_gap: Callable[[], None] = _ignore
        self._store = store
        self.kind = kind
        self._contact = contact
        self._take_list = take_list
        self._take_changes = take_changes
        self._watching: asyncio.Task | None = None
        self.revision: int | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        pause = FIRST_PAUSE
        while True:
            if not self._is_active():
                # What comes meanwhile comes by way of peers.
                self.revision = None
                await asyncio.sleep(PASSIVE_SECONDS)
                continue
            answered = await self._advance()
            if answered:
                if self._has_changed:
                    await asyncio.sleep(GATHER_SECONDS)
                pause = FIRST_PAUSE
                continue
            await asyncio.sleep(pause * (0.5 + random.random()))
            await self._contact.wait_turn(self.kind)
            longest = STANDBY_PAUSE if self._is_standby() else LONGEST_PAUSE
            pause = min(pause * 2, longest)

    def distrust(self) -> None:
        """List anew: the watch under way may be deaf.

        Watching anew isn't enough, since a store that just forgot its history
        leaves new watches deaf for a moment too; a list tells what is there.
        """
        self.revision = None
        if self._watching is not None:
            self._watching.cancel()

    async def _advance(self) -> bool:
        """List or watch once; return whether the next call may follow at once."""
        self._has_changed = False
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        result = await (self._list() if self.revision is None else self._watch())
        now = loop.time()
        match result:
            case ListResult():
                self.revision = result.revision
                self.event_revision = max(self.event_revision, result.newest, 1)
                self._take_list(result.objects)
            case WatchResult():
                # Distrusted meanwhile: what comes now may leave out changes.
                self.revision = self.revision and result.revision
                self._has_changed = bool(result.objects)
                if result.objects:
                    self.event_revision = max(self.event_revision, result.newest)
                    self._take_changes(result.objects)
            case HistoryGone():
                log.notice("store: history of {} is gone, listing", self.kind)
                self.revision = None
                self.on_gap()
            case Unheard():
                return True
            case StoreUnavailable(reason=reason):
                self._contact.note_lost(now=now, kind=self.kind, reason=reason)
                return False
        self._contact.note_answer(asked_at=asked_at, now=now)
        return True

    async def _list(self) -> ListResult | StoreUnavailable:
        return await self._store.list(kind=self.kind, timeout=LIST_SECONDS)

    def catch_up(self, revision: int) -> None:
        """List anew if a peer has seen changes up to a later revision.

        Once for each revision: if there is nothing new of this kind then, the
        next news of the same would only make another call.
        """
        if self.revision is None or revision <= max(self.revision, self._told):
            return
        self._told = revision
        self.distrust()

    async def _watch(self) -> WatchResult | HistoryGone | StoreUnavailable | Unheard:
        wait = self._find_wait()
        revision = self.revision
        self._watching = asyncio.ensure_future(
            self._store.watch(
                kind=self.kind,
                revision=revision,
                wait=wait,
                timeout=wait + WATCH_SLACK_SECONDS,
            )
        )
        try:
            done, _ = await asyncio.wait(
                {self._watching}, timeout=wait + OVERDUE_SECONDS
            )
            if not done:
                self._watching.cancel()
                log.notice("store: watch of {} is overdue, listing", self.kind)
                self.revision = None
                self.on_gap()
                return Unheard()
            if self._watching.cancelled():
                return Unheard()
            return self._watching.result()
        except asyncio.CancelledError:
            self._watching.cancel()
            raise
        finally:
            self._watching = None


def _ignore() -> None:
    """Do nothing."""
