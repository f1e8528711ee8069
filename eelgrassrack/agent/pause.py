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
from .admission import AgentState
from .entries import EntryDirectory
from .outbox import Post

log = logbook.Logger("pause")

# Ticks come four times a second; a busy loop is late by far less than this,
# and a withdrawal has to be in force within two seconds.
MAX_GAP_SECONDS = 2.0

ASK_AGAIN_SECONDS = 1.0

QUESTION_BITS = 53


class PauseDetector:
    """Notice pauses and have the facts confirmed after one."""

    __slots__ = (
        "_asked_at",
        "_clock",
        "_entries",
        "_post",
        "_state",
        "_ticked_at",
    )

    def __init__(
        self,
        *,
        state: AgentState,
        entries: EntryDirectory,
        post: Post,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._entries = entries
        self._post = post
        self._clock = clock
        self._ticked_at = clock()
        self._asked_at = float("-inf")

    def detect_pause(self) -> None:
        """Look for a gap; called before anything is decided."""
        now = self._clock()
        gap = now - self._ticked_at
        if gap <= MAX_GAP_SECONDS:
            return
        log.warning("pause: this process stood still for {:.1f} s", gap)
        self._ticked_at = now
        self._state.confirmed = False
        self._state.question = 1 + secrets.randbits(QUESTION_BITS)
        self._entries.note_pause(now=now)
        self._ask(now)

    def tick(self) -> None:
        """Ask the parents for the revision in force, while it is unknown."""
        self.detect_pause()
        now = self._clock()
        self._ticked_at = now
        if not self._state.confirmed and now - self._asked_at >= ASK_AGAIN_SECONDS:
            self._ask(now)

    def confirm(self, *, revision: int, answers: int) -> bool:
        """Take an entry's revision; return true when it ends the doubt."""
        facts = self._state.facts
        if self._state.confirmed or facts is None:
            return False
        if answers != self._state.question or revision > facts.revision:
            return False
        self._state.confirmed = True
        log.info("pause: revision {} confirmed", facts.revision)
        return True

    def _ask(self, now: float) -> None:
        self._asked_at = now
        for address in self._entries.find_parents(now=now):
            self._post(address, Hello(question=self._state.question))
