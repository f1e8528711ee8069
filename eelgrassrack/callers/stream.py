"""A caller's connection that counts what it holds and reads tiny pieces in turns."""

import asyncio
import contextlib
import re
import socket

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from ..decisions.callermemory import HEAD_LINE_BYTES, Phase
from ..dismissal import REQUEST_TIMEOUT_ANSWER, UNAVAILABLE_ANSWER
from ..lingering import LingeringConnections
from .body import RequestBody
from .room import CallerRoom
from .turns import ReadTurns

# How many bytes are read from a connection at once.
READ_BYTES = 8_192

# What is read for a request in a turn in which others have read all that may be.
FIRST_READ_BYTES = 1_024

# After so many reads for one request they go on in turns.
FREE_READS = 64

# How long a request is served on after its caller has closed at least its sending side,
# unless an answer was begun.
END_SECONDS = 0.25

# A timer that fires later than this shows that the event loop was held up, and so often
# the wait begins again.
LATE_SECONDS = 0.05
MAX_WAITS = 4

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

    The end of what a caller sends doesn't close the connection while a request is in
    flight: the caller may have closed only its sending side.
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
        self._has_ended = False
        self._is_answered = False
        self._end_timer: asyncio.TimerHandle | None = None
        self.body = RequestBody()
        self.place = room.open(self)

    def begin_request(self) -> None:
        """Wait for the connection's next request."""
        self._reads = 0
        self._is_answered = False
        self._cancel_end_timer()
        self.body.begin()
        self.place.begin(self._room.time())
        if self._read_buffer_size:
            self.place.phase = Phase.HEAD

    def note_head(self, data: bytes) -> None:
        """Note a whole head; raise `StreamClosedError` if the caller gave way."""
        self.check_stays()
        self.place.note_head(len(data), lines=data.count(b"\n"))
        self._room.make_room(self.place)

    def keep(self, data: bytes) -> None:
        """Keep a part of a request's body.

        If the caller gives way or has left, nothing of the body is kept: the check that
        follows each part ends the request.
        """
        self.place.hold(len(data))
        if self._room.make_room(self.place):
            self.body.add(data)
        else:
            self.body.drop()

    def take_body(self) -> bytes:
        """Return the whole body, which is kept elsewhere from now on.

        Raise `IncompleteBodyError` if a part of it is missing.
        """
        return self.body.take()

    def note_whole(self, size: int = 0) -> None:
        """Note that a request was read to its end, with a body of `size` bytes.

        Raise `StreamClosedError` if the caller gave way or has left.
        """
        if self._room.was_held_up:
            self._find_end()
            self._settle_end()
        self.check_stays()
        self.body.end(size)
        if self.place.phase is Phase.BODY:
            self.place.phase = Phase.WAITING

    def note_served(self) -> None:
        """Note that work for a request begins, so that it doesn't give way any more.

        Raise `StreamClosedError` if it did, or if its caller has left: it must not run.
        """
        if not self.closed() and self._is_reset():
            self.close()
        self.check_stays()
        self.place.phase = Phase.SERVED

    def _is_reset(self) -> bool:
        """Return whether the caller has reset a connection that isn't being read."""
        return bool(self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def note_refused(self) -> None:
        """Note that a request is refused before it was read to its end."""
        self.body.drop()
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
        """Raise `StreamClosedError` if the caller gave way to others or has left."""
        if self.is_ending:
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
        self.body.drop()

    def put_back(self, data: bytes) -> None:
        """Return bytes that were read beyond the end of a message."""
        if data:
            self._read_buffer[:0] = data
            self._read_buffer_size += len(data)
            self.place.note_buffered(self._read_buffer_size, taken=0)

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Write bytes of an answer; those that the caller doesn't read count."""
        written = super().write(data)
        self._is_answered = self._has_ended
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

    def _cancel_end_timer(self) -> None:
        if self._end_timer is not None:
            self._end_timer.cancel()
            self._end_timer = None

    def _signal_closed(self) -> None:
        self._cancel_end_timer()
        self._room.close(self.place)
        super()._signal_closed()

    def _try_inline_read(self) -> None:
        if self._may_read or self._read_buffer_size or self._has_ended:
            super()._try_inline_read()
            self._settle_end()
            return
        self._check_closed()
        self._add_io_state(self.io_loop.READ)

    @property
    def _may_read(self) -> bool:
        """Return whether to read now: in a full turn only the first of a request."""
        return self._room.may_read or self._has_turn or not self._reads

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket; the caller's end doesn't close the connection.

        Whole requests may stand in the buffer before the end, and a caller that has
        closed only its sending side waits for their answers.
        """
        size = super().read_from_fd(buf)
        if size == 0:
            self._has_ended = True
            return None
        return size

    def _settle_end(self) -> None:
        """Decide what the caller's end means, if it was read.

        Without a request in flight, or within one, it ends the connection.
        """
        if not self._has_ended or self.closed():
            return
        if self.reading():
            self.close()
            return
        if self._state is not None and self._state & self.io_loop.READ:
            # The end would be reported again and again.
            self._state &= ~self.io_loop.READ
            self.io_loop.update_handler(self.fileno(), self._state)
        if self._room.was_held_up:
            self._end_unanswered()
        elif self._end_timer is None:
            self._await_answer(MAX_WAITS)

    def _await_answer(self, waits: int) -> None:
        """Give the request in flight a while to be answered."""
        loop = asyncio.get_running_loop()
        due = loop.time() + END_SECONDS
        self._end_timer = loop.call_at(due, self._stop_waiting, due, waits)

    def _stop_waiting(self, due: float, waits: int) -> None:
        is_late = asyncio.get_running_loop().time() > due + LATE_SECONDS
        if is_late and waits > 1:
            # The answer may have come while the event loop was held up.
            self._await_answer(waits - 1)
        else:
            self._end_unanswered()

    def _end_unanswered(self) -> None:
        """End the connection unless an answer was begun.

        The caller may have closed the connection completely, and nothing tells until
        bytes are sent to it.  What is sent after that resets the connection.
        """
        if self.closed() or self.writing() or self._is_answered:
            return
        if self.place.may_give_way:
            self.leave(self.place.phase, is_reading=False)
        else:
            self.close()

    def _find_end(self) -> None:
        """Look whether the caller's end stands behind what was read."""
        if self._has_ended or self._read_buffer_size or self.closed():
            return
        with contextlib.suppress(OSError):
            peeked = self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            self._has_ended = not peeked

    def _add_io_state(self, state: int) -> None:
        if self._has_ended:
            state &= ~self.io_loop.READ
        super()._add_io_state(state)

    def _read_to_buffer(self) -> int | None:
        if not self._may_read or self._has_ended:
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
            self._handle_now(fd, events)
            return
        # Until then the loop isn't told of more to read.
        self._state = self.io_loop.ERROR
        self.io_loop.update_handler(fd, self._state)
        self._turns.enter(lambda: self._go_on(fd, events))

    def _go_on(self, fd: int, events: int) -> None:
        if self.closed():
            return
        self._has_turn = True
        self._handle_now(fd, events)
        self._has_turn = False

    def _handle_now(self, fd: int, events: int) -> None:
        super()._handle_events(fd, events)
        self._settle_end()
