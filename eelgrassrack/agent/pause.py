"""Find out that this process was paused, before it acts on what it knew.

An instance may be frozen for a minute.  When it wakes its queue and its
facts look as they did, but a version may have been withdrawn meanwhile.  It
shows as a gap between two ticks of the loop.  Nothing is started then until
an entry has said which revision is in force.

What entries said before may come at any time: peers send again what a frozen
instance didn't take, and wait ever longer between two tries.  So the agent
asks a question, another one after each pause, and heeds only its answer.
"""

import secrets
from collections.abc import Callable

import logbook

from ..mailbox.messages import Hello
from .entries import Entries
from .gate import Standing
from .outbox import Post

log = logbook.Logger("pause")

# Ticks come four times a second; a busy loop is late by far less than this,
# and a withdrawal has to be in force within two seconds.
LONGEST_GAP = 2.0

ASK_AGAIN_SECONDS = 1.0

QUESTION_BITS = 53


class PauseWatch:
    """Notice pauses and have the facts confirmed after one."""

    __slots__ = (
        "_asked_at",
        "_clock",
        "_entries",
        "_post",
        "_standing",
        "_ticked_at",
    )

    def __init__(
        self,
        *,
        standing: Standing,
        entries: Entries,
        post: Post,
        clock: Callable[[], float],
    ) -> None:
        self._standing = standing
        self._entries = entries
        self._post = post
        self._clock = clock
        self._ticked_at = clock()
        self._asked_at = float("-inf")

    def notice(self) -> None:
        """Look for a gap; called before anything is decided."""
        now = self._clock()
        gap = now - self._ticked_at
        if gap <= LONGEST_GAP:
            return
        log.warning("pause: this process stood still for {:.1f} s", gap)
        self._ticked_at = now
        self._standing.confirmed = False
        self._standing.question = 1 + secrets.randbits(QUESTION_BITS)
        self._entries.note_pause(now=now)
        self._ask(now)

    def tick(self) -> None:
        """Ask the parents for the revision in force, while it is unknown."""
        self.notice()
        now = self._clock()
        self._ticked_at = now
        if not self._standing.confirmed and now - self._asked_at >= ASK_AGAIN_SECONDS:
            self._ask(now)

    def confirm(self, *, revision: int, answers: int) -> bool:
        """Take an entry's revision; return true when it ends the doubt."""
        facts = self._standing.facts
        if self._standing.confirmed or facts is None:
            return False
        if answers != self._standing.question or revision > facts.revision:
            return False
        self._standing.confirmed = True
        log.info("pause: revision {} confirmed", facts.revision)
        return True

    def _ask(self, now: float) -> None:
        self._asked_at = now
        for address in self._entries.find_parents(now=now):
            self._post(address, Hello(question=self._standing.question))
