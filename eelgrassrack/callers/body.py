"""The body of the request that a connection reads: it is whole, or there is none.

What happens to a connection meanwhile, as its close or a lack of memory, can make a
part of the body be lost.  An endpoint that runs the rest can't notice that: the request
to it has a length of its own.  So one object owns the body, knows whether all of it is
there, and hands out nothing else.
"""

from ..bodysize import IncompleteBodyError


class RequestBody:
    """What is kept of a body while it is read.

    Its size isn't known before its end, nor after a part was dropped.
    """

    __slots__ = ("_data", "_is_kept", "_size")

    def __init__(self) -> None:
        self._data = bytearray()
        self._is_kept = True
        self._size: int | None = None

    def __len__(self) -> int:
        """Return how many bytes are kept."""
        return len(self._data)

    def begin(self) -> None:
        """Begin with the body of the connection's next request."""
        self._data.clear()
        self._is_kept = True
        self._size = None

    def add(self, data: bytes) -> None:
        """Keep the next part, unless others were dropped."""
        if self._is_kept:
            self._data += data

    def drop(self) -> None:
        """Keep nothing of the body: from now on it can't be taken."""
        self._data.clear()
        self._size = None
        self._is_kept = False

    def end(self, size: int) -> None:
        """Note the body's end after `size` decoded bytes."""
        self._size = size if self._is_kept else None

    def take(self) -> bytes:
        """Return the whole body, which is kept elsewhere from now on.

        Raise `IncompleteBodyError` if a part is missing or was taken already.
        """
        if len(self._data) != self._size:
            raise IncompleteBodyError(
                f"{len(self._data)} bytes of a body are kept, {self._size} were read"
            )
        data = bytes(self._data)
        self.drop()
        return data
