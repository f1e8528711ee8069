"""Whose prompts give way to those of others while engines have a queue.

Load pattern: one organisation sends many times what it usually does, and
engines have seconds to read.  Read by the operators' ranks and by size alone,
its prompts stand among all others', and every organisation's callers wait for a
burst of one.

What each organisation had engines read within the last seconds is added up
over all entries.  One that takes several times the mean gives way: its prompts
rank with the longest of their rank.  With no queue at the engines this changes
nothing, and nobody is refused by it.
"""

from collections.abc import Iterable

import msgspec

# Seconds after which what was read counts half: bursts last some seconds, and
# an organisation that sends less again is soon equal.
HALF_LIFE = 2.0

# An organisation gives way from so many times the mean of the active ones on:
# the largest of two dozen usually takes two to four times it.
MOST_SHARE = 4.0

# With fewer active organisations the mean says little.
LEAST_ACTIVE = 3

# Seconds of reading below which an organisation counts as not active.
LEAST_SECONDS = 0.001

# Entries tell each other of so many organisations; one that takes four times
# the mean is among the heaviest at nearly all of them.
MOST_TOLD = 4

# News hold whole milliseconds, which are shorter than fractions.
MILLISECONDS = 1000.0


class Heavy(msgspec.Struct, frozen=True, array_like=True):
    """An organisation's reading at one entry, in milliseconds."""

    organisation: str
    milliseconds: int


class Told(msgspec.Struct, frozen=True, array_like=True):
    """What one entry had read for all, and for the heaviest, in milliseconds."""

    milliseconds: int = 0
    heaviest: tuple[Heavy, ...] = ()


class Usage:
    """Seconds of reading by organisation at one entry, older ones for less."""

    __slots__ = ("_faded_at", "_seconds")

    def __init__(self, *, now: float) -> None:
        self._seconds: dict[str, float] = {}
        self._faded_at = now

    def note(self, *, organisation: str, seconds: float) -> None:
        """Count a prompt."""
        self._seconds[organisation] = self._seconds.get(organisation, 0.0) + seconds

    def fade(self, now: float) -> None:
        """Let what was read before count for less, and forget what is little."""
        part = 0.5 ** ((now - self._faded_at) / HALF_LIFE)
        self._faded_at = now
        self._seconds = {
            name: seconds * part
            for name, seconds in self._seconds.items()
            if seconds * part >= LEAST_SECONDS
        }

    def report(self) -> Told:
        """Return what peers are told."""
        heaviest = sorted(self._seconds.items(), key=lambda one: -one[1])[:MOST_TOLD]
        return Told(
            int(sum(self._seconds.values()) * MILLISECONDS),
            tuple(
                Heavy(name, int(seconds * MILLISECONDS)) for name, seconds in heaviest
            ),
        )

    def find_heavy(self, told: Iterable[Told]) -> frozenset[str]:
        """Return the organisations that give way, by what peers tell as well."""
        active = len(self._seconds)
        if active < LEAST_ACTIVE:
            return frozenset()
        whole = sum(self._seconds.values())
        sums = dict(self._seconds)
        for one in told:
            whole += one.milliseconds / MILLISECONDS
            for heavy in one.heaviest:
                known = sums.get(heavy.organisation, 0.0)
                sums[heavy.organisation] = known + heavy.milliseconds / MILLISECONDS
        most = MOST_SHARE * whole / active
        return frozenset(name for name, seconds in sums.items() if seconds > most)
