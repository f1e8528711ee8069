"""Hearing: how long an agent has been silent while its entry could have heard it.

An agent that is silent for long may have died, and its callers should not wait for it.
The entry may also be late itself: its link is full or cut, or its process was paused.
Then all agents seem silent at once.  An entry that believed this would cut every
answer that it relays, and report outcomes as unknown that their agents hold.

Therefore an agent's silence counts only while the entry hears others, the witnesses,
and only since its process last ran without a pause.  Without a witness all of the
silence counts, as nothing shows whether the entry could have heard.
"""

import math

# Agents and entries send a heartbeat each second.  If everybody has been silent for
# this long, or the entry's process has not run for as long, the entry itself is late.
MAX_QUIET_SECONDS = 2.0

# Senders that are remembered: the latest one, and one other as its witness.
SENDER_COUNT = 2


class Hearing:
    """What one entry hears; all times are seconds of the same clock."""

    __slots__ = ("_checked_at", "_heard", "_heard_at", "_since")

    def __init__(self) -> None:
        self._checked_at = math.inf
        self._heard: dict[str, float] = {}
        self._heard_at = -math.inf
        self._since = -math.inf

    def note_check(self, *, now: float) -> None:
        """Note that the entry's process runs; called several times a second."""
        if now - self._checked_at > MAX_QUIET_SECONDS:
            self._since = now
        self._checked_at = now

    def note_heard(self, *, sender: str, now: float) -> None:
        """Note a message from an agent or another entry."""
        if now - self._heard_at > MAX_QUIET_SECONDS:
            self._since = now
        self._heard_at = now
        self._heard.pop(sender, None)
        self._heard[sender] = now
        if len(self._heard) > SENDER_COUNT:
            del self._heard[next(iter(self._heard))]

    def measure_silence(self, *, sender: str, heard_at: float, now: float) -> float:
        """Return for how many seconds a sender was silent and could have been heard.

        `heard_at` is when it was last heard.
        """
        start = max(heard_at, self._since)
        others = (at for name, at in self._heard.items() if name != sender)
        witness_at = max(others, default=-math.inf)
        # A sender that was silent before this one had left and is no witness.
        if witness_at < heard_at - MAX_QUIET_SECONDS:
            return now - start
        return min(now, witness_at + MAX_QUIET_SECONDS) - start
