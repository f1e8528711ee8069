"""One curl transfer: its options, its callbacks and its outcome."""

import socket
from collections.abc import Callable

import pycurl
from tornado.curl_httpclient import CurlError

from ..curl import REFUSED
from ..errors import FormatError
from ..responsehead import HeadReader
from .answers import ChatAnswer, PlainAnswer
from .errors import AnswerError
from .headers import drop_hop_by_hop
from .outcomes import (
    AnswerFailed,
    Completed,
    ConnectionBroken,
    NotConnected,
    OnHead,
    Outcome,
    Stopped,
    Usage,
)

# Bytes of an error response that are kept as the reason for the caller.
MAX_REASON_BYTES = 2000

# Curl's errors that mean a broken connection rather than an invalid answer.
BROKEN_ERRORS = frozenset(
    {
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
    }
)


class Exchange:
    """A handle that stops a running exchange."""

    __slots__ = ("sockets", "stopped")

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []
        self.stopped = False

    def stop(self) -> None:
        """End the exchange at once, also while the endpoint is silent."""
        self.stopped = True
        for opened in self.sockets:
            try:
                opened.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def close(self) -> None:
        """Release the exchange's sockets."""
        for opened in self.sockets:
            opened.close()
        self.sockets.clear()


class Transfer:
    """One curl transfer and its state."""

    __slots__ = (
        "_answer",
        "_begun",
        "_error",
        "_exchange",
        "_error_body",
        "_head",
        "_on_begun",
        "_on_head",
    )

    def __init__(
        self,
        *,
        exchange: Exchange,
        answer: ChatAnswer | PlainAnswer,
        on_begun: Callable[[], bool],
        on_head: OnHead,
    ) -> None:
        self._exchange = exchange
        self._answer = answer
        self._on_begun = on_begun
        self._on_head = on_head
        self._begun = False
        self._error: AnswerError | None = None
        self._error_body = bytearray()
        self._head = HeadReader()

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the curl options that tornado has no parameters for."""
        # Curl resends a request, whatever its method, if a reused connection
        # breaks before the answer.  An engine that accepted the request and
        # crashed would then run it twice, which only its own log would show.  A
        # separate connection for each request also ensures that a late answer
        # can't be taken for the answer to another request.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)
        curl.setopt(pycurl.PREREQFUNCTION, self._confirm_start)
        # Headers and chunks are processed directly in curl's callbacks.  Tornado's
        # queue would cost an iteration of the event loop for each token.
        curl.setopt(pycurl.HEADERFUNCTION, self._read_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._write)

    def explain(self, error: CurlError) -> Outcome:
        """Return the outcome that a curl error means."""
        if self._exchange.stopped:
            return Stopped()
        if self._error is not None:
            return AnswerFailed(reason=self._error.reason, cut=self._error.cut)
        if not self._begun:
            return NotConnected(reason=str(error))
        if error.errno in BROKEN_ERRORS:
            return ConnectionBroken(reason=str(error))
        return AnswerFailed(reason=str(error))

    def finish(self, status: int) -> Outcome:
        """Return the outcome of a transfer that ended without a curl error."""
        if self._error is not None:
            return AnswerFailed(reason=self._error.reason, cut=self._error.cut)
        if not self._head.is_complete:
            return ConnectionBroken(reason="the response's head broke off")
        if not self._answer.accepts(status):
            text = self._error_body[:MAX_REASON_BYTES].decode(errors="replace")
            return AnswerFailed(reason=text or f"status {status}", status=status)
        try:
            usage = self._answer.finish(self._head.headers)
        except AnswerError as error:
            return AnswerFailed(reason=error.reason, cut=error.cut)
        return Completed(
            status=status,
            headers=drop_hop_by_hop(self._head.headers),
            usage=None if usage is None else Usage(**usage),
        )

    def _open_socket(self, purpose: int, address: tuple) -> socket.socket:
        opened = socket.socket(address.family, address.socktype, address.protocol)
        self._exchange.sockets.append(opened)
        return opened

    def _confirm_start(self, *unused_addresses: object) -> int:
        if self._exchange.stopped or not self._on_begun():
            self._exchange.stopped = True
            return pycurl.PREREQFUNC_ABORT
        self._begun = True
        return pycurl.PREREQFUNC_OK

    def _read_header(self, line: bytes) -> int | None:
        try:
            is_of_head = self._head.read_line(line)
        except FormatError as error:
            self._error = AnswerError(str(error))
            return REFUSED
        if is_of_head and self._head.is_complete:
            self._on_head(self._head.status, self._head.headers)
        return None

    def _write(self, data: bytes) -> int:
        if self._exchange.stopped:
            return 0
        if not self._answer.accepts(self._head.status):
            self._error_body += data[: MAX_REASON_BYTES - len(self._error_body)]
            return len(data)
        try:
            self._answer.feed(data)
        except AnswerError as error:
            self._error = error
            return 0
        return len(data)
