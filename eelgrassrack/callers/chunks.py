"""Decoder for bodies in chunks (RFC 9112, section 7.1).

It handles all chunks of a read at once: a body in chunks of a byte has as many as it
has bytes, and one read from the connection for each part of each chunk would take so
much time that nobody else is served.
"""

import re

from tornado.httputil import HTTPInputError

END = b"\r\n"

# Chunk extensions aren't supported.
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,62})\r\n")
PART_OF_SIZE_LINE = re.compile(rb"[0-9A-Fa-f]{0,62}|[0-9A-Fa-f]{1,62}\r")


class ChunkDecoder:
    """Decodes one body of at most `most` bytes.

    `is_done` is set at its end; `rest` then holds the bytes that follow it.  `chunks`
    counts the chunks so far, `remaining` what the current one lacks.
    """

    __slots__ = ("_is_last", "_most", "chunks", "is_done", "remaining", "rest")

    def __init__(self, *, most: int) -> None:
        self._most = most
        self._is_last = False
        self.chunks = 0
        self.is_done = False
        # The end of the line after the chunk's data is part of what it lacks.
        self.remaining = 0
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the part of the body in `data`; raise `HTTPInputError`."""
        data = self.rest + data if self.rest else data
        pieces: list[bytes] = []
        position = 0
        while not self.is_done:
            begin = position
            position = (
                self._take_data(data, position, pieces)
                if self.remaining
                else self._take_size(data, position)
            )
            if position == begin:
                break
        self.rest = data[position:]
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _take_size(self, data: bytes, position: int) -> int:
        """Read a chunk's size; return where its data begins, if it is complete."""
        found = SIZE_LINE.match(data, position)
        if found is None:
            if PART_OF_SIZE_LINE.fullmatch(data, position) is None:
                raise HTTPInputError("invalid chunk size")
            return position
        size = int(found[1], 16)
        self._most -= size
        if self._most < 0:
            raise HTTPInputError("chunked body too large")
        self.chunks += 1
        self.remaining = size + len(END)
        self._is_last = size == 0
        return found.end()

    def _take_data(self, data: bytes, position: int, pieces: list[bytes]) -> int:
        """Take what there is of a chunk; return where the rest begins."""
        size = self.remaining - len(END)
        if size > 0:
            piece = data[position : position + size]
            if not piece:
                return position
            pieces.append(piece)
            self.remaining -= len(piece)
            position += len(piece)
            if len(piece) < size:
                return position
        return self._take_end(data, position)

    def _take_end(self, data: bytes, position: int) -> int:
        """Take the end of a chunk's line, if it is there."""
        end = data[position : position + len(END)]
        if not END.startswith(end):
            raise HTTPInputError("improperly terminated chunk")
        if end != END:
            return position
        self.remaining = 0
        self.is_done = self._is_last
        return position + len(END)
