"""Leaving: endpoints that said in an answer that they are about to exit.

The platform's list of endpoints says late that one leaves, or not at all while the
store is out of reach, and an entry that lapsed may come back as ready.  A request that
is sent to such an endpoint may be cut when it exits.

What an endpoint said of itself therefore holds for its whole lifetime, whatever the
list says.  A restart begins another lifetime.
"""

Lifetime = tuple[str, int]

# Lifetimes that are remembered, of which the oldest are forgotten first: those of more
# than a day of restarts and replacements at thousands of endpoints.
MAX_LIFETIMES = 8_192


class LeavingEndpoints:
    """The lifetimes of endpoints that said that they leave."""

    __slots__ = ("_lifetimes",)

    def __init__(self) -> None:
        self._lifetimes: dict[Lifetime, None] = {}

    def note(self, lifetime: Lifetime) -> None:
        """Note that an endpoint leaves."""
        # Noting it again makes it the newest: it still answers.
        self._lifetimes.pop(lifetime, None)
        self._lifetimes[lifetime] = None
        if len(self._lifetimes) > MAX_LIFETIMES:
            del self._lifetimes[next(iter(self._lifetimes))]

    def __contains__(self, lifetime: Lifetime) -> bool:
        """Return whether an endpoint leaves."""
        return lifetime in self._lifetimes
