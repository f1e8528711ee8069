"""Follow the objects of one kind in the platform's store.

A follower lists all objects once and then watches for changes with long polls.  It
lists again whenever a watch may have missed a change.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Collection, Iterator
from typing import Protocol

import logbook
import msgspec

from .storecontact import StoreContact
from .storeobjects import (
    HistoryGone,
    ListResult,
    StoreUnavailable,
    WatchOverdue,
    WatchResult,
)

log = logbook.Logger("store")

# Timeout of a list call.  It usually takes milliseconds; a slow store takes 50 times
# as long.
LIST_TIMEOUT_SECONDS = 1.2

# How long after its wait the answer to a watch may take to begin before the follower
# abandons it and lists.  The store answers within milliseconds then, a slow one within
# a fifth of a second; a watch that takes longer misses changes.
OVERDUE_SECONDS = 0.3

# Pause after a change before the next call.  Changes come in bursts, as when a
# service's endpoints are replaced, and the pause lets a burst cost one call.  A
# change may take two seconds to be in force.
BATCH_SECONDS = 0.4

# How often a gateway that doesn't watch checks whether it should, and one that has just
# started whether it may begin.
INACTIVE_POLL_SECONDS = 0.25
STARTING_POLL_SECONDS = 0.05

# A watch that waits at least so long reports a change as soon as it is made.  One that
# is answered sooner may report a change made before it began.
WAITING_SECONDS = 0.1

# Exponential backoff after failures.  Jitter keeps gateways that lost the store
# together from calling it again together.
FIRST_BACKOFF_SECONDS = 0.1
LONGEST_BACKOFF_SECONDS = 1.0

# Longest backoff of a standby watcher, which asks only because no regular watcher
# reaches the store.  Regular watchers notice within a second that the store is back;
# with 30 gateways all asking each second, an outage costs more calls than a day.
STANDBY_BACKOFF_SECONDS = 4.0


ReplaceAll = Callable[[dict[str, object]], None]
ApplyChanges = Callable[[dict[str, object | None]], None]


class Store(Protocol):
    """The calls to the store that a follower makes."""

    async def list(
        self, *, kind: str, timeout: float, allow_stale: bool = False
    ) -> ListResult | StoreUnavailable:
        """Return all objects of a kind."""

    async def watch(
        self, *, kind: str, revision: int, wait: float, slack: float, stall: float
    ) -> WatchResult | HistoryGone | WatchOverdue | StoreUnavailable:
        """Return what changed after a revision, waiting up to `wait` seconds.

        An answer that doesn't begin within `slack` seconds more, or stops for
        `stall` seconds, is overdue.
        """

    def is_receiving(self, kind: str) -> bool:
        """Return whether part of an answer with objects of a kind has arrived."""


class WatchCancelled(msgspec.Struct, frozen=True):
    """The follower cancelled a watch to list instead."""


def _always() -> bool:
    """Return True; the default of `may_watch`."""
    return True


class Follower:
    """Keep the objects of one kind up to date.

    `replace_all` gets all objects, `apply_changes` the changed ones, with None for
    a removed object.  `find_wait` returns for how many seconds a watch waits,
    `is_active` whether this gateway watches at all, and `is_standby` whether it
    watches only because no regular watcher reaches the store.  `may_watch` returns
    whether watches may begin; lists may at any time.
    `list_known` returns the names of the objects known here, from the store or peers.
    `revision` is the store's revision to watch from, None if a list is due.
    `event_revision` is the store's revision at the last change seen, and `has_listed`
    is set once a list was read since this gateway began to watch.
    `changed_after` is the loop time before which the changes that are being applied
    weren't made, None if it isn't known.
    `on_gap` is called when this follower may have missed changes.  Set `wake` to check
    immediately whether this gateway watches.
    """

    __slots__ = (
        "_contact",
        "_find_wait",
        "_has_changed",
        "_has_gap",
        "_heard_revision",
        "_is_active",
        "_is_standby",
        "_list_known",
        "_list_revision",
        "_lists_if_cut",
        "_may_watch",
        "_store",
        "_apply_changes",
        "_complete_at",
        "_replace_all",
        "_listed_for",
        "_watching",
        "changed_after",
        "event_revision",
        "has_listed",
        "kind",
        "on_gap",
        "revision",
        "wake",
    )

    def __init__(
        self,
        *,
        store: Store,
        kind: str,
        contact: StoreContact,
        replace_all: ReplaceAll,
        apply_changes: ApplyChanges,
        find_wait: Callable[[], float],
        is_active: Callable[[], bool],
        is_standby: Callable[[], bool],
        may_watch: Callable[[], bool] = _always,
        list_known: Callable[[], Collection[str]] = tuple,
    ) -> None:
        self._list_known = list_known
        self._is_active = is_active
        self._is_standby = is_standby
        self._may_watch = may_watch
        self._find_wait = find_wait
        self._listed_for = 0
        self._list_revision = 0
        self._heard_revision = 0
        self._has_gap = True
        self._has_changed = False
        self._lists_if_cut = False
        self._complete_at: float | None = None
        self.changed_after: float | None = None
        self.event_revision = 0
        self.has_listed = False
        self.on_gap: Callable[[], None] = _ignore
        self.wake = asyncio.Event()
        self._store = store
        self.kind = kind
        self._contact = contact
        self._replace_all = replace_all
        self._apply_changes = apply_changes
        self._watching: asyncio.Task | None = None
        self.revision: int | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            if self.revision is not None and not self._may_watch():
                await asyncio.sleep(STARTING_POLL_SECONDS)
                continue
            if not self._is_active():
                # Changes arrive through peers meanwhile.
                self.revision = None
                self._has_gap = True
                self._complete_at = None
                self.has_listed = False
                self._contact.note_unwatched()
                await self._wait_woken()
                continue
            answered = await self._try_to_advance()
            if answered:
                if self._has_changed:
                    await asyncio.sleep(BATCH_SECONDS)
                backoff = FIRST_BACKOFF_SECONDS
                continue
            await asyncio.sleep(backoff * (0.5 + random.random()))
            await self._contact.wait_turn(self.kind)
            longest = (
                STANDBY_BACKOFF_SECONDS
                if self._is_standby()
                else LONGEST_BACKOFF_SECONDS
            )
            backoff = min(backoff * 2, longest)

    async def _wait_woken(self) -> None:
        """Wait until woken, or until the next check is due."""
        self.wake.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(INACTIVE_POLL_SECONDS):
                await self.wake.wait()

    def relist(self) -> None:
        """Cancel the current watch, which may miss changes, and list.

        A new watch isn't enough: a store that has just dropped its history doesn't
        report changes to new watches either for a moment, while a list is complete.
        A watch whose answer is arriving isn't among those that miss changes, unless
        the answer breaks off.
        """
        if self._store.is_receiving(self.kind):
            self._lists_if_cut = True
            return
        self._has_gap = True
        self._cancel_watch()

    def _cancel_watch(self) -> None:
        self.revision = None
        if self._watching is not None:
            self._watching.cancel()

    async def _try_to_advance(self) -> bool:
        """Advance, and list after an exception that nobody expected.

        The same watch would bring the same change again.
        """
        try:
            return await self._advance()
        except Exception as error:
            log.exception("store: following {} failed, listing: {}", self.kind, error)
            self.revision = None
            self._has_gap = True
            return False

    async def _advance(self) -> bool:
        """List or watch once; return whether the next call needs no backoff."""
        self._has_changed = False
        self._lists_if_cut = False
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        result = await (self._list() if self.revision is None else self._watch())
        now = loop.time()
        match result:
            case ListResult():
                with self._note_applied():
                    self._note_complete(asked_at)
                    self.has_listed = True
                    self.revision = result.revision
                    self._apply_list(result)
            case WatchResult():
                has_waited = now >= asked_at + WAITING_SECONDS
                with self._note_applied():
                    self._note_complete(now, is_prompt=has_waited)
                    self._apply_watched(result)
            case HistoryGone():
                log.notice("store: history of {} is gone, listing", self.kind)
                self._note_gap()
            case WatchOverdue():
                log.notice("store: watch of {} is overdue, listing", self.kind)
                self._contact.note_overdue(now=now)
                self._note_gap()
                return True
            case WatchCancelled():
                return True
            case StoreUnavailable(reason=reason):
                self._contact.note_lost(now=now, kind=self.kind, reason=reason)
                if self._lists_if_cut:
                    self.revision = None
                    self._has_gap = True
                return False
        self._contact.note_answer(asked_at=asked_at, now=now)
        return True

    @contextlib.contextmanager
    def _note_applied(self) -> Iterator[None]:
        """Note changes as known only if they can be applied.

        Otherwise peers would be told that they are known here, and never fetch them.
        """
        noted = (
            self.event_revision,
            self._list_revision,
            self._complete_at,
            self.has_listed,
        )
        try:
            yield
        except Exception:
            (
                self.event_revision,
                self._list_revision,
                self._complete_at,
                self.has_listed,
            ) = noted
            raise

    def _apply_watched(self, result: WatchResult) -> None:
        # After `relist` the revision is None and stays so: this result may lack
        # changes.
        self.revision = self.revision and result.revision
        self._has_changed = bool(result.objects)
        if result.objects:
            self.event_revision = max(self.event_revision, result.newest)
            self._apply_changes(result.objects)

    def _note_complete(self, at: float, *, is_prompt: bool = False) -> None:
        """Note that no change before the loop time `at` is unknown here any more.

        Those that are new here were made after the view before was complete, or just
        now if the store told of them promptly.
        """
        self.changed_after = at if is_prompt else self._complete_at
        self._complete_at = at

    def _note_gap(self) -> None:
        self.revision = None
        self._has_gap = True
        self.on_gap()

    def _apply_list(self, result: ListResult) -> None:
        """Apply a list, and find up to which change this gateway's view is complete.

        A list doesn't show what was removed.  Gateways that fetch from this one would
        keep a removed object unless they are told of a later change than they know.
        """
        known = set(self._list_known())
        self.event_revision = max(self.event_revision, result.newest, 1)
        self._list_revision = result.revision
        self._replace_all(result.objects)
        if known.difference(self._list_known()):
            self.claim_list()
        self._compare_heard()

    @property
    def complete_revision(self) -> int:
        """Return the revision up to which this gateway has read all changes itself."""
        return max(self.event_revision, self._list_revision)

    def claim_list(self) -> None:
        """Count the last list as a change, so that peers fetch all that it shows."""
        self.event_revision = max(self.event_revision, self._list_revision)
        self._has_gap = False

    def _compare_heard(self) -> None:
        """Claim a change that a peer has seen and the last list doesn't show.

        It was of an object that was removed later, perhaps unseen by any gateway, so
        the list itself counts as a change.  This is done once for each gap: otherwise
        two gateways that list for each other's claims would go on for ever.
        """
        if not self.event_revision < self._heard_revision <= self._list_revision:
            return
        if self._has_gap:
            self.claim_list()
        else:
            self.event_revision = self._heard_revision

    async def _list(self) -> ListResult | StoreUnavailable:
        return await self._store.list(kind=self.kind, timeout=LIST_TIMEOUT_SECONDS)

    def list_newer(self, revision: int) -> None:
        """List if a peer has seen a change up to a later revision.

        Each revision causes one list only: if that brings nothing new, further
        updates with the same revision would only cause more calls.  While an answer
        is arriving it probably brings the change, and so does a watch that is about
        to begin.
        """
        self._heard_revision = max(self._heard_revision, revision)
        self._compare_heard()
        if self._watching is None or self._store.is_receiving(self.kind):
            return
        if self.revision is None or revision <= max(self.revision, self._listed_for):
            return
        self._listed_for = revision
        self._cancel_watch()

    async def _watch(
        self,
    ) -> WatchResult | HistoryGone | WatchOverdue | StoreUnavailable | WatchCancelled:
        self._watching = asyncio.ensure_future(
            self._store.watch(
                kind=self.kind,
                revision=self.revision,
                wait=self._find_wait(),
                slack=OVERDUE_SECONDS,
                stall=LIST_TIMEOUT_SECONDS,
            )
        )
        try:
            await asyncio.wait({self._watching})
            if self._watching.cancelled():
                return WatchCancelled()
            return self._watching.result()
        except asyncio.CancelledError:
            self._watching.cancel()
            raise
        finally:
            self._watching = None


def _ignore() -> None:
    """Ignore a gap; the default of `on_gap`."""
