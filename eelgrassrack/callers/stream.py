"""A caller's connection that counts what it holds and reads tiny pieces in turns."""

import asyncio
import re
import socket

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from ..decisions.callermemory import HEAD_LINE_BYTES, Phase
from ..dismissal import REQUEST_TIMEOUT_ANSWER, UNAVAILABLE_ANSWER
from ..lingering import LingeringConnections
from .room import CallerRoom
from .turns import ReadTurns

# How many bytes are read from a connection at once.
READ_BYTES = 8_192

# What is read for a request in a turn in which others have read all that may be.
FIRST_READ_BYTES = 1_024

# After so many reads for one request they go on in turns.
FREE_READS = 64

HEAD_TOO_LONG_ANSWER = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
ANSWERS = {
    Phase.IDLE: REQUEST_TIMEOUT_ANSWER,
    Phase.HEAD: REQUEST_TIMEOUT_ANSWER,
    Phase.BODY: UNAVAILABLE_ANSWER,
    Phase.WAITING: UNAVAILABLE_ANSWER,
    Phase.REFUSED: b"",
    Phase.UNREAD: b"",
}


class CallerStream(IOStream):
    """A stream whose bytes count in the callers' room.

    `place` is its part of it, `body` what is kept of a request's body.
    """

    def __init__(
        self,
        connection: socket.socket,
        *,
        room: CallerRoom,
        turns: ReadTurns,
        lingering: LingeringConnections,
    ) -> None:
        super().__init__(connection, read_chunk_size=READ_BYTES)
        self._room = room
        self._turns = turns
        self._lingering = lingering
        self._reads = 0
        self._has_turn = False
        self._has_left = False
        self.body = bytearray()
        self.place = room.open(self)

    def begin_request(self) -> None:
        """Wait for the connection's next request."""
        self._reads = 0
        self.body.clear()
        self.place.begin(self._room.time())
        if self._read_buffer_size:
            self.place.phase = Phase.HEAD

    def note_head(self, data: bytes) -> None:
        """Note a whole head; raise `StreamClosedError` if the caller gave way."""
        self.check_stays()
        self.place.note_head(len(data), lines=data.count(b"\n"))
        self._room.make_room(self.place)

    def keep(self, data: bytes) -> None:
        """Keep a part of a request's body, unless the caller gives way."""
        self.place.hold(len(data))
        if self._room.make_room(self.place):
            self.body += data

    def take_body(self) -> bytes:
        """Return the whole body, which is kept elsewhere from now on."""
        body = bytes(self.body)
        self.body.clear()
        return body

    def note_whole(self) -> None:
        """Note that a request was read to its end.

        Raise `StreamClosedError` if the caller gave way.
        """
        self.check_stays()
        if self.place.phase is Phase.BODY:
            self.place.phase = Phase.WAITING

    def note_served(self) -> None:
        """Note that work for a request begins, so that it doesn't give way any more.

        Raise `StreamClosedError` if it did: its caller was told that it didn't run.
        """
        self.check_stays()
        self.place.phase = Phase.SERVED

    def note_refused(self) -> None:
        """Note that a request is refused before it was read to its end."""
        self.body.clear()
        self.place.release()
        self.place.phase = Phase.REFUSED

    def note_answer(self) -> None:
        """Note that an answer begins."""
        match self.place.phase:
            case Phase.BODY:
                self.note_refused()
            case Phase.WAITING:
                self.place.phase = Phase.SERVED

    @property
    def is_ending(self) -> bool:
        """Return whether the connection is closed, or is about to be."""
        return self._has_left or self.closed()

    def check_stays(self) -> None:
        """Raise `StreamClosedError` if the caller gave way to others."""
        if self._has_left:
            raise StreamClosedError()

    def leave(self, phase: Phase, *, is_reading: bool) -> None:
        """Tell the caller that its request didn't run, and close the connection.

        With `is_reading` the connection is being read just now, and is closed in the
        next turn of the event loop.
        """
        self._has_left = True
        if is_reading:
            asyncio.get_running_loop().call_soon(self._end, ANSWERS[phase])
        else:
            self._end(ANSWERS[phase])

    def _end(self, answer: bytes) -> None:
        self._lingering.close_crowded(self, answer)
        # A closed stream may be part of a reference cycle for long.
        self._read_buffer = bytearray()
        self._read_buffer_size = 0
        self.body.clear()

    def put_back(self, data: bytes) -> None:
        """Return bytes that were read beyond the end of a message."""
        if data:
            self._read_buffer[:0] = data
            self._read_buffer_size += len(data)
            self.place.note_buffered(self._read_buffer_size, taken=0)

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Write bytes of an answer; those that the caller doesn't read count."""
        written = super().write(data)
        if self.writing():
            self._note_unsent(has_sent=False)
        return written

    def _handle_write(self) -> None:
        before = self._total_write_done_index
        super()._handle_write()
        if not self.closed():
            self._note_unsent(has_sent=self._total_write_done_index > before)

    def _note_unsent(self, *, has_sent: bool) -> None:
        self.place.note_unsent(
            len(self._write_buffer), has_sent=has_sent, now=self._room.time()
        )

    def _signal_closed(self) -> None:
        self._room.close(self.place)
        super()._signal_closed()

    def _try_inline_read(self) -> None:
        if self._may_read or self._read_buffer_size:
            super()._try_inline_read()
            return
        self._check_closed()
        self._add_io_state(self.io_loop.READ)

    @property
    def _may_read(self) -> bool:
        """Return whether to read now: in a full turn only the first of a request."""
        return self._room.may_read or self._has_turn or not self._reads

    def _read_to_buffer(self) -> int | None:
        if not self._may_read:
            return 0
        is_full = not (self._room.may_read or self._has_turn)
        self.read_chunk_size = FIRST_READ_BYTES if is_full else READ_BYTES
        size = super()._read_to_buffer()
        if size:
            self._reads += 1
            self.place.note_read(
                size, buffered=self._read_buffer_size, now=self._room.time()
            )
            self._room.note_read(size + self._find_lines_cost(size))
            self._room.make_room(self.place)
        return size

    def _find_lines_cost(self, size: int) -> int:
        """Return what the lines of the last bytes will cost if they are of a head."""
        if self.place.phase is not Phase.HEAD:
            return 0
        begin = max(len(self._read_buffer) - size, 0)
        return self._read_buffer.count(b"\n", begin) * HEAD_LINE_BYTES

    def _check_max_bytes(self, delimiter: bytes | re.Pattern, size: int) -> None:
        try:
            super()._check_max_bytes(delimiter, size)
        except UnsatisfiableReadError:
            # The close of the stream checks once more.
            if not self._has_left:
                self._has_left = True
                self._end(HEAD_TOO_LONG_ANSWER)
            raise

    def _consume(self, loc: int) -> bytes:
        data = super()._consume(loc)
        self.place.note_buffered(self._read_buffer_size, taken=loc)
        return data

    def _handle_events(self, fd: int, events: int) -> None:
        """Handle events of the socket; a caller of many pieces waits for its turn."""
        may_read = self._reads < FREE_READS and self._may_read
        if may_read or not events & self.io_loop.READ:
            super()._handle_events(fd, events)
            return
        # Until then the loop isn't told of more to read.
        self._state = self.io_loop.ERROR
        self.io_loop.update_handler(fd, self._state)
        self._turns.enter(lambda: self._go_on(fd, events))

    def _go_on(self, fd: int, events: int) -> None:
        if self.closed():
            return
        self._has_turn = True
        super()._handle_events(fd, events)
        self._has_turn = False
