"""Whole events of a stream, cut from the bytes as they arrive."""

import msgspec

END = b"\n\n"
ID_FIELD = b"id:"


class Events(msgspec.Struct, frozen=True):
    """Bytes of whole events, and the id of the last of them."""

    data: bytes
    last: str


class EventSplitter:
    """Hold back an event until it is whole.

    An endpoint may stop in the middle of an event.  Half an event that was
    passed on can't be taken back, and a stream that goes on at another
    endpoint would then join pieces of two runs.
    """

    __slots__ = ("_rest", "last")

    def __init__(self, *, last: str = "") -> None:
        self._rest = b""
        self.last = last

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that isn't whole yet."""
        return self._rest

    def feed(self, data: bytes) -> Events | None:
        """Return the events that are whole now, or None."""
        buffered = self._rest + data
        end = buffered.rfind(END)
        if end < 0:
            self._rest = buffered
            return None
        whole = buffered[: end + len(END)]
        self._rest = buffered[end + len(END) :]
        self.last = _find_last_id(whole) or self.last
        return Events(whole, self.last)


def skip_known(data: bytes, *, last: str) -> bytes:
    """Return the events after the one with the id `last`.

    An endpoint that goes on may send an event again that the caller has.
    """
    if not last.isdecimal():
        return data
    events = data.split(END)[:-1]
    fresh = [one for one in events if not _is_known(one, int(last))]
    return b"".join(one + END for one in fresh)


def _is_known(event: bytes, last: int) -> bool:
    found = _find_last_id(event + b"\n")
    return found.isdecimal() and int(found) <= last


def _find_last_id(data: bytes) -> str:
    at = data.rfind(b"\n" + ID_FIELD)
    start = at + 1 if at >= 0 else 0
    if at < 0 and not data.startswith(ID_FIELD):
        return ""
    line = data[start : data.find(b"\n", start)]
    return line[len(ID_FIELD) :].strip().decode("latin-1")
