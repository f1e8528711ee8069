"""Detect that this process was paused, before it acts on outdated facts.

An instance may be frozen for a minute.  When it resumes its queue and its facts
are unchanged, but a version may have been withdrawn meanwhile.  The pause shows as
a gap between two ticks of the event loop.  No attempt starts after it until an
entry has confirmed the current revision.

Messages from before or during the pause may arrive at any time after it: peers
resend what a frozen instance didn't receive, with growing delays.  So the agent
sends a request with a new nonce after each pause and accepts only an answer that
repeats it.
"""

import secrets
from collections.abc import Callable

import logbook

from ..mailbox.messages import Hello
from .admission import AgentState
from .entries import EntryDirectory
from .outbox import Post

log = logbook.Logger("pause")

# Ticks come four times a second, and a busy loop delays them by far less than this.
# A withdrawal has to take effect within two seconds.
MAX_GAP_SECONDS = 2.0

ASK_AGAIN_SECONDS = 1.0

QUESTION_BITS = 53


class PauseDetector:
    """Detects pauses and has the facts confirmed after each."""

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
        """Check for a gap; called before each decision that relies on the facts."""
        now = self._clock()
        gap = now - self._ticked_at
        if gap <= MAX_GAP_SECONDS:
            return
        log.warning("pause: this process was paused for {:.1f} s", gap)
        self._ticked_at = now
        self._state.confirmed = False
        self._state.question = 1 + secrets.randbits(QUESTION_BITS)
        self._entries.note_pause(now=now)
        self._ask(now)

    def tick(self) -> None:
        """Ask the parents for the current revision until it is confirmed."""
        self.detect_pause()
        now = self._clock()
        self._ticked_at = now
        if not self._state.confirmed and now - self._asked_at >= ASK_AGAIN_SECONDS:
            self._ask(now)

    def confirm(self, *, revision: int, answers: int) -> bool:
        """Handle an entry's revision; return true if it confirms the facts.

        `answers` is the nonce that the entry repeats.
        """
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
