"""The configuration document in force at this entry.

Revisions only increase.  They come from a watch on the document's head and,
while the object API is unavailable, from peers.  After a pause of its process
an entry serves no requests until the head or a peer has confirmed the
revision, because a version may have been withdrawn meanwhile.  Messages that
peers sent before the pause may arrive long after it, so only the answer to a
question that was sent after the pause confirms the revision.
"""

import asyncio
import secrets
from collections.abc import Callable

import logbook
import msgspec

from ..decoding import decode_msgpack
from ..document.snapshot import Snapshot
from ..errors import FormatError
from ..invariants import Invariants
from ..mailbox.messages import DocumentCopy
from ..store.head import DocumentHead, HeadState, NoDocument
from ..store.objects import Unavailable, Unchanged
from ..store.revisions import RevisionGuard

log = logbook.Logger("configuration")

WATCH_SECONDS = 30.0

# Pause after an exception that nobody expected.
FAILURE_SECONDS = 1.0

# Interval between reads while there is no document.
NO_DOCUMENT_SECONDS = 0.5

# A longer gap between two ticks means that the process was paused.  It is well
# below the few seconds within which a withdrawal must be in force.
MAX_TICK_GAP_SECONDS = 2.0

QUESTION_BITS = 53

# If neither the object API nor a peer answers within this time, the entry goes on
# with the document that it has: as far as it can know, no other one can have been
# accepted.
CONFIRM_SECONDS = 1.0

# After each change some peers have the new revision before this entry's own watch
# returns it.  The entry waits this long before it asks a peer for the document,
# because otherwise it would copy the whole document needlessly at every change.
WATCH_LAG_SECONDS = 0.5

Announce = Callable[[Snapshot], None]


class NewerPeer(msgspec.Struct, kw_only=True, frozen=True):
    """A peer with a newer document, and when its revision was first seen."""

    address: str
    seen_at: float


class Configuration:
    """Holds the snapshot with the highest revision seen."""

    __slots__ = (
        "_announce",
        "_ask_peer",
        "_ask_peers",
        "_head",
        "_newer_peer",
        "_question",
        "_revisions",
        "_loop",
        "_ticked_at",
        "_confirmed",
        "_version",
        "_waiting_calls",
        "snapshot",
    )

    def __init__(
        self,
        *,
        head: DocumentHead,
        invariants: Invariants,
        announce: Announce,
        ask_peer: Callable[[str, int], None],
        ask_peers: Callable[[int, int], None],
    ) -> None:
        """Create a configuration without a document.

        `announce` is called with each new snapshot, `ask_peers` with the
        current revision and a question, `ask_peer` with the address of one
        peer and the current revision.
        """
        self._announce = announce
        self._ask_peers = ask_peers
        self._head = head
        self._revisions = RevisionGuard(invariants=invariants)
        self._ask_peer = ask_peer
        self._newer_peer: NewerPeer | None = None
        self._question = 0
        self._loop = asyncio.get_running_loop()
        self._ticked_at = self._loop.time()
        self._confirmed = asyncio.Event()
        self._confirmed.set()
        self._version = 0
        self._waiting_calls: set[asyncio.Task] = set()
        self.snapshot = Snapshot()

    @property
    def is_known(self) -> bool:
        """Whether any document is in force."""
        return self.snapshot.revision > 0

    @property
    def is_confirmed(self) -> bool:
        """Whether the revision counts as confirmed since the last pause."""
        return self._confirmed.is_set()

    async def follow(self) -> None:
        """Watch the document's head until cancelled.

        An exception that nobody expected counts as an unavailable store.
        """
        while True:
            try:
                await self._follow_once()
            except Exception as error:
                log.exception("configuration: following failed: {}", error)
                await asyncio.sleep(FAILURE_SECONDS)

    async def _follow_once(self) -> None:
        question = self._question
        found = await self._head.watch(
            known_version=self._version, timeout=WATCH_SECONDS
        )
        match found:
            case HeadState():
                self._version = found.version
                self.take(found.snapshot)
                self._note_confirmed(question)
            case NoDocument():
                await asyncio.sleep(NO_DOCUMENT_SECONDS)
            case Unavailable(retry_after=seconds):
                self._ask_peers(self.snapshot.revision, self._question)
                await asyncio.sleep(seconds)
            case Unchanged():
                self._note_confirmed(question)

    def take(self, snapshot: Snapshot) -> bool:
        """Put a snapshot in force if it is newer; return whether it is."""
        if not self._revisions.accept(snapshot.revision):
            return False
        self.snapshot = snapshot
        self._newer_peer = None
        self._revisions.check_in_force(snapshot.revision)
        log.info("configuration: revision {} in force", snapshot.revision)
        self._announce(snapshot)
        return True

    def take_copy(self, copy: DocumentCopy) -> None:
        """Put the document that a peer sent in force if it is newer."""
        if copy.revision <= self.snapshot.revision:
            return
        try:
            snapshot = decode_msgpack(copy.snapshot, kind=Snapshot)
        except FormatError as error:
            log.warning("configuration: can't decode a peer's document: {}", error)
            return
        if snapshot.revision == copy.revision:
            self.take(snapshot)
            self._note_confirmed(copy.answers)

    def note_peer_revision(self, revision: int, address: str, answers: int) -> None:
        """Process the revision that the peer at `address` has in force.

        `answers` is the question that the peer answers, or 0.
        """
        if revision <= self.snapshot.revision:
            self._note_confirmed(answers)
        elif self._newer_peer is None:
            self._newer_peer = NewerPeer(address=address, seen_at=self._loop.time())

    def build_copy(self, *, answers: int = 0) -> DocumentCopy:
        """Return the document for a peer; `answers` is its question, or 0."""
        return DocumentCopy(
            revision=self.snapshot.revision,
            snapshot=msgspec.msgpack.encode(self.snapshot),
            answers=answers,
        )

    def tick(self) -> None:
        """Detect a pause of this process, and ask a peer for a newer document."""
        now = self._loop.time()
        gap, self._ticked_at = now - self._ticked_at, now
        if gap > MAX_TICK_GAP_SECONDS and self.is_known:
            log.warning("configuration: paused for {:.1f} s", gap)
            self._question = 1 + secrets.randbits(QUESTION_BITS)
            self._confirmed.clear()
        if (
            self._newer_peer is not None
            and now - self._newer_peer.seen_at > WATCH_LAG_SECONDS
        ):
            self._ask_peer(self._newer_peer.address, self.snapshot.revision)
            self._newer_peer = None

    async def wait_confirmed(self) -> None:
        """Wait until the revision is confirmed, or `CONFIRM_SECONDS` have passed."""
        self.tick()
        while not self.is_confirmed:
            question = self._question
            self._ask_peers(self.snapshot.revision, question)
            try:
                async with asyncio.timeout(CONFIRM_SECONDS):
                    await self._wait_confirmation()
            except TimeoutError:
                log.warning("configuration: nobody confirms the revision")
            self._note_confirmed(question)

    def call_when_confirmed(self, call: Callable[[], None]) -> None:
        """Call `call` after `wait_confirmed`, or now if the revision is confirmed."""
        if self.is_confirmed:
            call()
            return
        task = self._loop.create_task(self.wait_confirmed())
        self._waiting_calls.add(task)
        task.add_done_callback(self._waiting_calls.discard)
        task.add_done_callback(lambda done: done.cancelled() or call())

    async def _wait_confirmation(self) -> None:
        read = asyncio.ensure_future(self._head.read())
        waited = asyncio.ensure_future(self._confirmed.wait())
        try:
            await asyncio.wait({read, waited}, return_when=asyncio.FIRST_COMPLETED)
            if read.done() and isinstance(read.result(), HeadState):
                self.take(read.result().snapshot)
                return
            await waited
        finally:
            read.cancel()
            waited.cancel()

    def _note_confirmed(self, question: int) -> None:
        """Confirm the revision unless the question was sent before a pause."""
        self.tick()
        if question == self._question:
            self._confirmed.set()
