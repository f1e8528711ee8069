"""What is known of single lifetimes of endpoints, whatever the platform's list says.

The list says late that an endpoint leaves, or not at all while the store is out of
reach, an entry that lapsed may come back as ready, and one of an earlier lifetime may
be written late.  What holds for a lifetime therefore holds until it is forgotten, and
a restart begins another one.
"""

Lifetime = tuple[str, int]

# Lifetimes that are remembered, of which the oldest are forgotten first: those of more
# than a day of restarts and replacements at thousands of endpoints.
MAX_LIFETIMES = 8_192


class Lifetimes:
    """A set of lifetimes that forgets those that were noted longest ago."""

    __slots__ = ("_lifetimes",)

    def __init__(self) -> None:
        self._lifetimes: dict[Lifetime, None] = {}

    def note(self, lifetime: Lifetime) -> None:
        """Add a lifetime, or make one the newest that is noted already."""
        self._lifetimes.pop(lifetime, None)
        self._lifetimes[lifetime] = None
        if len(self._lifetimes) > MAX_LIFETIMES:
            del self._lifetimes[next(iter(self._lifetimes))]

    def __contains__(self, lifetime: Lifetime) -> bool:
        """Return whether a lifetime was noted."""
        return lifetime in self._lifetimes
