"""Fair use of engines: deprioritises organisations that send far more than most.

When one organisation sends a burst, engines have seconds of prompts to read.  Ordered
by the operators' ranks and by size alone, its prompts would mix with all others, and
every organisation's callers would wait for the burst of one.

The prompts that engines read for each organisation in the last seconds are summed over
all entries.  An organisation that takes several times the mean is deprioritised: its
prompts rank with the longest ones of the same operators' rank.  That changes nothing
while engines have no queue, and no request is refused.
"""

from collections.abc import Iterable

import msgspec

# Half-life of past usage: bursts last some seconds, and an organisation that sends less
# again should soon be treated like the others.
HALF_LIFE_SECONDS = 2.0

# Multiple of the active organisations' mean above which one is deprioritised.  The
# largest of two dozen organisations usually takes two to four times the mean.
MAX_MEAN_FACTOR = 4.0

# Minimum number of active organisations for a meaningful mean.
MIN_ACTIVE = 3

# An organisation with fewer seconds of prompts counts as inactive.
MIN_ACTIVE_SECONDS = 0.001

# Number of organisations in a report to other entries.  One that takes four times the
# mean is among the heaviest at nearly every entry.
MAX_REPORTED = 4

# Reports hold whole milliseconds, which are encoded shorter than fractions.
MILLISECONDS = 1000.0


class OrganisationUsage(msgspec.Struct, frozen=True, array_like=True):
    """Milliseconds of prompts that one entry had engines read for an organisation."""

    organisation: str
    milliseconds: int


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """One entry's usage in milliseconds: of all organisations, and of the heaviest."""

    milliseconds: int = 0
    heaviest: tuple[OrganisationUsage, ...] = ()


class Usage:
    """Seconds of prompts read per organisation at one entry, with exponential decay."""

    __slots__ = ("_faded_at", "_seconds")

    def __init__(self, *, now: float) -> None:
        self._seconds: dict[str, float] = {}
        self._faded_at = now

    def note(self, *, organisation: str, seconds: float) -> None:
        """Count a prompt."""
        self._seconds[organisation] = self._seconds.get(organisation, 0.0) + seconds

    def fade(self, now: float) -> None:
        """Decay the usage so far, and drop organisations that have become inactive."""
        factor = 0.5 ** ((now - self._faded_at) / HALF_LIFE_SECONDS)
        self._faded_at = now
        self._seconds = {
            name: seconds * factor
            for name, seconds in self._seconds.items()
            if seconds * factor >= MIN_ACTIVE_SECONDS
        }

    def report(self) -> UsageReport:
        """Return the usage to report to peers."""
        heaviest = sorted(self._seconds.items(), key=lambda item: -item[1])[
            :MAX_REPORTED
        ]
        return UsageReport(
            int(sum(self._seconds.values()) * MILLISECONDS),
            tuple(
                OrganisationUsage(name, int(seconds * MILLISECONDS))
                for name, seconds in heaviest
            ),
        )

    def find_heavy(self, reports: Iterable[UsageReport]) -> frozenset[str]:
        """Return the organisations to deprioritise, given the reports of peers."""
        active = len(self._seconds)
        if active < MIN_ACTIVE:
            return frozenset()
        total = sum(self._seconds.values())
        by_organisation = dict(self._seconds)
        for report in reports:
            total += report.milliseconds / MILLISECONDS
            for heavy in report.heaviest:
                own = by_organisation.get(heavy.organisation, 0.0)
                by_organisation[heavy.organisation] = (
                    own + heavy.milliseconds / MILLISECONDS
                )
        limit = MAX_MEAN_FACTOR * total / active
        return frozenset(
            name for name, seconds in by_organisation.items() if seconds > limit
        )
