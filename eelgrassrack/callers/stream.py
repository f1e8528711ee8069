"""A caller's connection that counts what it holds and reads tiny pieces in turns."""

import asyncio
import math
import re
import socket

import logbook
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from ..decisions.callermemory import HEAD_LINE_BYTES, Phase
from ..dismissal import REQUEST_TIMEOUT_ANSWER, UNAVAILABLE_ANSWER
from ..lingering import LingeringConnections
from .body import RequestBody
from .reachability import is_unreachable
from .room import CallerRoom
from .turns import ReadTurns

log = logbook.Logger("callers")

# How many bytes are read from a connection at once.
READ_BYTES = 8_192

# What is read for a request in a turn in which others have read all that may be.
FIRST_READ_BYTES = 1_024

# After so many reads for one request they go on in turns.
FREE_READS = 64

# How long a request is served on after its caller has closed at least its sending side,
# unless an answer was begun.
END_SECONDS = 0.25

# A timer that fires later than this shows a loop that was held up.  What arrived
# meanwhile is read in the next turns.
LATE_SECONDS = 0.05
TURN_SECONDS = 0.02

# How often it is looked whether a caller that is served after its end has left.
RESET_CHECK_SECONDS = 0.1

# How long a caller may read nothing of its answer.
UNREAD_SECONDS = 30.0

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
        self._ended_at = math.inf
        self._is_answered = False
        self._runs_to_end = False
        self._grace = END_SECONDS
        self._end_timer: asyncio.TimerHandle | None = None
        self.body = RequestBody()
        self.place = room.open(self)

    def begin_request(self) -> None:
        """Wait for the connection's next request."""
        self._reads = 0
        self._is_answered = False
        self._runs_to_end = False
        self._grace = END_SECONDS
        self._cancel_end_timer()
        if self._has_ended:
            # The caller had the answer before, if there was one.
            self._ended_at = self._room.time()
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

    def expect_long_work(self) -> None:
        """Note that an answer can't begin soon.

        Until it does, the caller's end is taken for a close: a half close wouldn't be
        answered in time, and a prompt is dear to read in vain.
        """
        self._grace = 0.0

    def note_served(self, *, runs_to_end: bool = False) -> None:
        """Note that work for a request begins, so that it doesn't give way any more.

        With `runs_to_end` the work goes on if the caller may have left, until that is
        certain, but isn't begun anew.  Raise `StreamClosedError` if the request gave
        way or its caller has left: it must not run.
        """
        is_overdue = self._room.time() > self._ended_at + END_SECONDS
        has_left = is_overdue and not self._is_answered
        if has_left or (not self.closed() and self._is_reset()):
            self.close()
        self.check_stays()
        self._runs_to_end = runs_to_end
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
        self._grace = END_SECONDS
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

    def close_if_stuck(self) -> None:
        """Close the connection if the caller is gone, or reads no answer."""
        self._find_end()
        self._settle_end()
        if self.closed():
            return
        unread_since = self.place.since if self.writing() else math.inf
        is_stuck = self._room.time() > unread_since + UNREAD_SECONDS
        if is_stuck or is_unreachable(self.socket):
            log.info(
                "callers: an answer was broken off: {}",
                "it wasn't read" if is_stuck else "its caller can't be reached",
            )
            self.close()

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

    def linger_if_unread(self) -> None:
        """Keep the connection from being reset by a close that follows.

        A caller may send its next request before it has the answer that ends the
        connection, and a reset could take the answer from it.
        """
        if not self.closed() and (self._read_buffer_size or self._has_unread()):
            self._lingering.linger_after_close(self)

    def _has_unread(self) -> bool:
        """Return whether bytes of the caller wait in the kernel."""
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

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
            self._ended_at = min(self._ended_at, self._room.time())
            return None
        return size

    @property
    def _has_ended(self) -> bool:
        """Return whether nothing more comes from the caller."""
        return self._ended_at < math.inf

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
        if self._room.was_held_up and not self._may_wait_on:
            self._end_unanswered()
        elif self._end_timer is None:
            self._check_end_in(self._grace)

    def _check_end_in(self, seconds: float, *, is_last: bool = False) -> None:
        """Judge the caller's end later; `is_last` if a late timer isn't forgiven."""
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        self._end_timer = loop.call_at(due, self._check_end, due, is_last)

    def _check_end(self, due: float, is_last: bool) -> None:
        """End the connection if the caller has left, or gets no answer in time.

        The caller may have closed the connection completely, and nothing tells until
        bytes are sent to it.  What is sent after that resets the connection, of which
        no event tells as the connection isn't read any more.
        """
        if self._is_reset():
            self.close()
        elif self._may_wait_on:
            self._check_end_in(RESET_CHECK_SECONDS)
        elif asyncio.get_running_loop().time() > due + LATE_SECONDS and not is_last:
            # The answer may have come while the event loop was held up.
            self._check_end_in(TURN_SECONDS, is_last=True)
        else:
            self._end_unanswered()

    @property
    def _may_wait_on(self) -> bool:
        """Return whether a caller that may have left is served on."""
        return self.writing() or self._is_answered or self._runs_to_end

    def _end_unanswered(self) -> None:
        """End the connection; tell the caller if its request wasn't begun."""
        if self.place.may_give_way:
            self.leave(self.place.phase, is_reading=False)
        else:
            self.close()

    def _find_end(self) -> None:
        """Look whether the caller's end stands behind what was read."""
        if self._has_ended or self.closed():
            return
        try:
            peeked = self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(exc_info=error)
            return
        if not peeked:
            self._ended_at = self._room.time()

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
