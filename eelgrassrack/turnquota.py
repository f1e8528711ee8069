"""What one reader takes before the event loop goes on with other work."""


class TurnQuota:
    """Counts the pieces and bytes of a turn, up to `most_pieces` and `most_bytes`."""

    __slots__ = ("_bytes", "_most_bytes", "_most_pieces", "_pieces")

    def __init__(self, *, most_pieces: int, most_bytes: int) -> None:
        self._most_pieces = most_pieces
        self._most_bytes = most_bytes
        self._pieces = 0
        self._bytes = 0

    def use(self, size: int, *, pieces: int = 1) -> bool:
        """Count what was read; return whether the turn is over."""
        self._pieces += pieces
        self._bytes += size
        if self._pieces < self._most_pieces and self._bytes < self._most_bytes:
            return False
        self._pieces = 0
        self._bytes = 0
        return True
