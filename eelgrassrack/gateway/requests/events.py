"""Splits a stream of bytes into complete server-sent events."""

import msgspec

from ...counts import read_count
from ...decisions.heldbytes import Holding
from .holding import hold_more

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class Events(msgspec.Struct, frozen=True):
    """Bytes of complete events, and the id of the last of them."""

    data: bytes
    last_id: str


class EventSplitter:
    """Buffer the bytes of an event until it is complete.

    An endpoint may stop in the middle of an event.  If a partial event were forwarded
    and the stream then resumed on another endpoint, the caller would get an event
    joined from two runs.
    """

    __slots__ = ("_holding", "_pending", "last_id")

    def __init__(self, *, holding: Holding, last_id: str = "") -> None:
        self._holding = holding
        self._pending = bytearray()
        self.last_id = last_id

    @property
    def has_pending(self) -> bool:
        """Return whether an event has begun that isn't complete yet."""
        return bool(self._pending)

    def feed(self, data: bytes) -> Events | None:
        """Return the events that are complete now, or None.

        Raises `EndlessError` if an event is too long, and `MemoryFullError`.
        """
        # The end may have begun with the last byte before.  Searching all of a long
        # event again for each piece of it would hold up the event loop.
        begin = max(len(self._pending) - len(EVENT_END) + 1, 0)
        hold_more(self._holding, len(data))
        self._pending += data
        end = self._pending.rfind(EVENT_END, begin)
        if end < 0:
            return None
        whole = self._take(end + len(EVENT_END))
        self._holding.begin(len(self._pending))
        self.last_id = _find_last_id(whole) or self.last_id
        return Events(whole, self.last_id)

    def _take(self, size: int) -> bytes:
        taken = bytes(self._pending[:size])
        del self._pending[:size]
        return taken


def skip_delivered(data: bytes, *, last_id: str) -> bytes:
    """Return the events after the one with the id `last_id`.

    An endpoint that resumes a stream may send events again that the caller has.
    """
    newest = read_count(last_id)
    if newest is None:
        return data
    events = data.split(EVENT_END)[:-1]
    new = [event for event in events if not _is_delivered(event, newest)]
    return b"".join(event + EVENT_END for event in new)


def find_later(last_id: str, next_id: str) -> str:
    """Return the id up to which the caller has all events.

    `next_id` is that of an event that an endpoint has just sent, perhaps again.
    """
    newest, sent = read_count(last_id), read_count(next_id)
    is_repeated = newest is not None and sent is not None and sent < newest
    return last_id if is_repeated else next_id


def _is_delivered(event: bytes, last_id: int) -> bool:
    found = read_count(_find_last_id(event + b"\n"))
    return found is not None and found <= last_id


def _find_last_id(data: bytes) -> str:
    at = data.rfind(b"\n" + ID_FIELD)
    start = at + 1 if at >= 0 else 0
    if at < 0 and not data.startswith(ID_FIELD):
        return ""
    line = data[start : data.find(b"\n", start)]
    return line[len(ID_FIELD) :].strip().decode("latin-1")
