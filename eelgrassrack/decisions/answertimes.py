"""How much longer an answer took than its size lets expect.

An answer's size is its prompt, whose reading time the entry estimates, and the number
of its pieces.  Measured against it, a first piece, a pace or a whole answer that takes
several times as long stands out at any length.

An answer that is still under way and overdue counts as well: the worst answers of a
slow version come last, or never.
"""

import math

import msgspec

# Seconds from one piece to the next, until the first answers are known.
INITIAL_PIECE_SECONDS = 0.05

# Weight of one answer in the moving average of the seconds per piece.
PIECE_WEIGHT = 1 / 16

# Minimum number of pieces that tell an answer's pace.
MIN_PIECES = 3

# Bounds of the slowness, so that no single answer decides.
MIN_SLOWNESS = -2.0
MAX_SLOWNESS = 2.5

# An answer that hasn't ended counts from this number of pieces, or once its next piece
# is late by this factor.
MIN_UNFINISHED_PIECES = 4
LATE_FACTOR = 2.0

# An answer that was given up counts as bad if it was late by this factor.
OVERDUE_FACTOR = 3.0


class AnswerTimes(msgspec.Struct, kw_only=True):
    """The times of one attempt, in seconds of the event loop.

    `expected` is the estimated time from `sent_at` to the first piece at an endpoint
    that has nothing else to do.  `pieces` came from `first_at` to `last_at`.
    """

    sent_at: float
    expected: float
    pieces: int = 0
    first_at: float = 0.0
    last_at: float = 0.0

    def note_pieces(self, count: int, *, now: float) -> None:
        """Note pieces that have arrived."""
        if not self.pieces:
            self.first_at = now
        self.last_at = now
        self.pieces += count


class PiecePace:
    """The usual seconds from one piece of an answer to the next, by model."""

    __slots__ = ("_logarithms",)

    def __init__(self) -> None:
        self._logarithms: dict[str, float] = {}

    def find(self, model: str) -> float:
        """Return the usual seconds from one piece to the next."""
        known = self._logarithms.get(model)
        return INITIAL_PIECE_SECONDS if known is None else math.exp(known)

    def note(self, model: str, times: AnswerTimes) -> None:
        """Learn from a complete answer."""
        seconds = times.last_at - times.first_at
        if times.pieces < MIN_PIECES or seconds <= 0:
            return
        seen = math.log(seconds / (times.pieces - 1))
        usual = self._logarithms.setdefault(model, seen)
        self._logarithms[model] = usual + (seen - usual) * PIECE_WEIGHT


class Slowness(msgspec.Struct, frozen=True, kw_only=True):
    """The logarithmic slowness of an answer, its first piece and its pace.

    Each is None if it isn't known.
    """

    whole: float | None = None
    first: float | None = None
    pace: float | None = None

    @property
    def is_overdue(self) -> bool:
        """Return whether an answer that hasn't ended takes far too long."""
        return self.whole is not None and self.whole >= math.log(OVERDUE_FACTOR)


NO_SLOWNESS = Slowness()


def find_slowness(times: AnswerTimes, *, piece_seconds: float, now: float) -> Slowness:
    """Return the slowness of a complete answer."""
    ended_at = times.last_at if times.pieces else now
    expected = times.expected + max(times.pieces - 1, 0) * piece_seconds
    return Slowness(
        whole=_bound(ended_at - times.sent_at, expected),
        first=_find_first(times, now),
        pace=_find_pace(times, piece_seconds),
    )


def find_unfinished_slowness(
    times: AnswerTimes, *, piece_seconds: float, now: float
) -> Slowness:
    """Return the slowness of an answer that hasn't ended, as far as it shows."""
    due = times.expected + times.pieces * piece_seconds
    elapsed = now - times.sent_at
    first = _find_first(times, now) if times.pieces else None
    if elapsed >= due * LATE_FACTOR:
        whole = _bound(elapsed, due)
        return Slowness(
            whole=whole,
            first=whole if first is None else first,
            pace=_find_pace(times, piece_seconds, until=now),
        )
    if times.pieces < MIN_UNFINISHED_PIECES:
        return Slowness(first=first)
    complete = find_slowness(times, piece_seconds=piece_seconds, now=now)
    return Slowness(whole=complete.whole, first=first, pace=complete.pace)


def _find_pace(
    times: AnswerTimes, piece_seconds: float, *, until: float | None = None
) -> float | None:
    """Return the slowness of the pace, up to `until` or to the last piece."""
    if times.pieces < MIN_PIECES:
        return None
    ended_at = times.last_at if until is None else until
    seconds = (ended_at - times.first_at) / (times.pieces - 1)
    return _bound(seconds, piece_seconds)


def _find_first(times: AnswerTimes, now: float) -> float:
    first_at = times.first_at if times.pieces else now
    return _bound(first_at - times.sent_at, times.expected)


def _bound(seconds: float, expected: float) -> float:
    ratio = math.log(max(seconds, 1e-3) / max(expected, 1e-3))
    return min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
