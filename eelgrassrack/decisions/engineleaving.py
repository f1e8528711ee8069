"""Whether the present lifetime of an engine is leaving, as its agent was told.

If an agent forgot that its engine leaves, callers' requests would be cut off there.
"""


class EngineLeaving:
    """The belief that one engine is leaving; it ends with the engine's lifetime.

    `lifetime` is always the engine's incarnation, empty if it isn't known.
    """

    __slots__ = ("_lifetime", "_noted_at", "is_leaving")

    def __init__(self) -> None:
        self.is_leaving = False
        self._lifetime = ""
        self._noted_at = float("-inf")

    def note(self, *, lifetime: str, now: float) -> None:
        """Note that an answer said so while `lifetime` was the last one known."""
        self.is_leaving = True
        self._lifetime = lifetime
        self._noted_at = now

    def observe(self, *, lifetime: str, restarted: bool, asked_at: float) -> None:
        """End the belief if an answer shows that the lifetime has ended.

        `restarted` is whether it shows a restart by itself.  An answer that was asked
        for before the belief shows nothing: the engine may have restarted in between.
        """
        if asked_at <= self._noted_at:
            return
        known = self._lifetime
        if restarted or (known and lifetime and lifetime != known):
            self.is_leaving = False
        self._lifetime = known or lifetime
