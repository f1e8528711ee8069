"""How long an engine wants no requests, as its agent was told.

An engine that turns a request away may ask for rest.  If its agent sent on, the engine
would spend its time on turning requests away and wouldn't recover.
"""


class EngineRest:
    """The rest of one engine.

    It ends only by time: neither a new document nor a pause of the agent ends it.
    """

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until = float("-inf")

    def note(self, *, seconds: float, now: float) -> None:
        """Note that the engine wants no requests for some seconds from `now` on."""
        self._until = max(self._until, now + seconds)

    def measure(self, *, now: float) -> float:
        """Return the seconds until the rest ends, zero if the engine doesn't rest."""
        return max(self._until - now, 0.0)
