"""The document in force at this entry, and how agents and peers learn it.

Revisions only ever rise.  They come from a watch on the document's head
and, while the object API is away, from peers.  An entry that was paused
doesn't trust what it knew: it serves nobody until the head or a peer has
confirmed the revision, because a version may have been withdrawn meanwhile.
What peers said before the pause may come long after it, so only the answer to
a question that was asked since confirms a revision.
"""

import asyncio
import secrets
from collections.abc import Callable

import logbook
import msgspec

from ..document.snapshot import Snapshot
from ..invariants import Invariants
from ..mailbox.messages import DocumentCopy
from ..store.head import DocumentHead, HeadState, NoDocument
from ..store.objects import Unavailable, Unchanged
from ..store.revisions import RevisionGuard

log = logbook.Logger("configuration")

WATCH_SECONDS = 30.0

# While there is no document an entry looks for one this often.
NO_DOCUMENT_SECONDS = 0.5

# A gap between two ticks that is longer than this was a pause.  It is well
# under the few seconds within which a withdrawal must be in force.
LONGEST_GAP = 2.0

QUESTION_BITS = 53

# Nobody may be there to confirm: the object API is away and no peer lives.
# Then no document can have been accepted either, as far as this entry can
# know, and it goes on with the one it has.
CONFIRM_SECONDS = 1.0

# A peer is ahead at each change, for as long as the own watch takes.  Asking
# it at once would copy the whole document each time for nothing.
WATCH_LAG = 0.5

Announce = Callable[[Snapshot], None]


class Newer(msgspec.Struct, kw_only=True, frozen=True):
    """A peer that has a newer document, and when that was seen."""

    address: str
    seen_at: float


class Configuration:
    """Keep the highest revision seen."""

    __slots__ = (
        "_announce",
        "_ask_peer",
        "_ask_peers",
        "_head",
        "_newer",
        "_question",
        "_revisions",
        "_loop",
        "_seen_at",
        "_sure",
        "_version",
        "_waiting",
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
        """Call `ask_peers` with the revision known and a question."""
        self._announce = announce
        self._ask_peers = ask_peers
        self._head = head
        self._revisions = RevisionGuard(invariants=invariants)
        self._ask_peer = ask_peer
        self._newer: Newer | None = None
        self._question = 0
        self._loop = asyncio.get_running_loop()
        self._seen_at = self._loop.time()
        self._sure = asyncio.Event()
        self._sure.set()
        self._version = 0
        self._waiting: set[asyncio.Task] = set()
        self.snapshot = Snapshot()

    @property
    def is_known(self) -> bool:
        """Tell whether any document is in force."""
        return self.snapshot.revision > 0

    @property
    def is_sure(self) -> bool:
        """Tell whether the revision is known to be in force."""
        return self._sure.is_set()

    async def follow(self) -> None:
        """Follow the document's head for ever."""
        while True:
            question = self._question
            found = await self._head.watch(
                known_version=self._version, timeout=WATCH_SECONDS
            )
            match found:
                case HeadState():
                    self._version = found.version
                    self.take(found.snapshot)
                    self._note_sure(question)
                case NoDocument():
                    await asyncio.sleep(NO_DOCUMENT_SECONDS)
                case Unavailable(retry_after=seconds):
                    self._ask_peers(self.snapshot.revision, self._question)
                    await asyncio.sleep(seconds)
                case Unchanged():
                    self._note_sure(question)

    def take(self, snapshot: Snapshot) -> bool:
        """Put a snapshot in force if it is newer; return whether it was."""
        if not self._revisions.accept(snapshot.revision):
            return False
        self.snapshot = snapshot
        self._newer = None
        self._revisions.check_in_force(snapshot.revision)
        log.info("configuration: revision {} in force", snapshot.revision)
        self._announce(snapshot)
        return True

    def take_copy(self, copy: DocumentCopy) -> None:
        """Take a peer's document if it is newer."""
        if copy.revision <= self.snapshot.revision:
            return
        try:
            snapshot = msgspec.msgpack.decode(copy.snapshot, type=Snapshot)
        except msgspec.DecodeError as error:
            log.warning("configuration: a peer's copy can't be read: {}", error)
            return
        if snapshot.revision == copy.revision:
            self.take(snapshot)
            self._note_sure(copy.answers)

    def confirm(self, revision: int, address: str, answers: int) -> None:
        """Note that the peer at an address has this revision in force."""
        if revision <= self.snapshot.revision:
            self._note_sure(answers)
        elif self._newer is None:
            self._newer = Newer(address=address, seen_at=self._loop.time())

    def build_copy(self, *, answers: int = 0) -> DocumentCopy:
        """Return the document for a peer, perhaps as an answer."""
        return DocumentCopy(
            revision=self.snapshot.revision,
            snapshot=msgspec.msgpack.encode(self.snapshot),
            answers=answers,
        )

    def tick(self) -> None:
        """Notice a pause of this process."""
        now = self._loop.time()
        gap, self._seen_at = now - self._seen_at, now
        if gap > LONGEST_GAP and self.is_known:
            log.warning("configuration: paused for {:.1f} s", gap)
            self._question = 1 + secrets.randbits(QUESTION_BITS)
            self._sure.clear()
        if self._newer is not None and now - self._newer.seen_at > WATCH_LAG:
            self._ask_peer(self._newer.address, self.snapshot.revision)
            self._newer = None

    async def wait_sure(self) -> None:
        """Wait until the revision is known to be in force, within bounds."""
        self.tick()
        while not self.is_sure:
            question = self._question
            self._ask_peers(self.snapshot.revision, question)
            try:
                async with asyncio.timeout(CONFIRM_SECONDS):
                    await self._confirm()
            except TimeoutError:
                log.warning("configuration: nobody confirms the revision")
            self._note_sure(question)

    def call_when_sure(self, call: Callable[[], None]) -> None:
        """Call once the revision is known to be in force, within bounds."""
        if self.is_sure:
            call()
            return
        task = self._loop.create_task(self.wait_sure())
        self._waiting.add(task)
        task.add_done_callback(self._waiting.discard)
        task.add_done_callback(lambda done: done.cancelled() or call())

    async def _confirm(self) -> None:
        read = asyncio.ensure_future(self._head.read())
        waited = asyncio.ensure_future(self._sure.wait())
        try:
            await asyncio.wait({read, waited}, return_when=asyncio.FIRST_COMPLETED)
            if read.done() and isinstance(read.result(), HeadState):
                self.take(read.result().snapshot)
                return
            await waited
        finally:
            read.cancel()
            waited.cancel()

    def _note_sure(self, question: int) -> None:
        """End the doubt by what was asked with a question, unless before a pause."""
        self.tick()
        if question == self._question:
            self._sure.set()
