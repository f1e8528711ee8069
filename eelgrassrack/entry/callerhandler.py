"""Base class of the HTTP handlers for callers.

It authenticates the caller, limits the sizes of headers and body, counts the
request and stops its work when the caller disconnects.
"""

import asyncio
import math
from collections.abc import Awaitable

import logbook
import msgspec
from tornado import web
from tornado.iostream import IOStream, StreamClosedError

from ..bodysize import IncompleteBodyError, check_size
from ..counts import read_count
from ..document.sections import Organisation
from .answers import Labels, write_error
from .arrivals import RequestOptions, authenticate_caller, read_options
from .core import Core
from .headers import Run
from .refusals import STOPPING, CallerError, refuse_unavailable, report_unknown
from .responder import HttpResponder

log = logbook.Logger("callers")

# Limit on the sum of the lengths of all header names and values.
MAX_HEADER_BYTES = 16_384

# How long a caller may go on to send a body that is refused.
REFUSED_SECONDS = 10.0

TOO_LARGE = 413
HEADER_TOO_LARGE = 431


class CallerContext(msgspec.Struct, kw_only=True, frozen=True):
    """The caller's organisation and the options of its request."""

    organisation: Organisation
    options: RequestOptions


@web.stream_request_body
class CallerHandler(web.RequestHandler):
    """Base class of the handlers for callers.

    `kind` is the kind of request if the caller sends no kind header.  `size` is how
    many bytes of its body were read, `body` the whole of it once it was read.
    """

    kind = "chat"

    def initialize(self, *, core: Core) -> None:
        """Prepare for a request; Tornado passes `core` from the routes."""
        self.core = core
        self.size = 0
        self.body = b""
        self.responder = HttpResponder(handler=self)
        self.task: asyncio.Task | None = None
        self.refused = False
        self.is_prepared = False
        self.is_counted = False
        self.deadline = math.inf
        core.callers.add(self)
        core.meter.note_arrival()

    def prepare(self) -> None:
        """Refuse a request that is too large before its body is read."""
        self.is_prepared = True
        if self.core.is_draining:
            # With keep-alive the client would send its next request to an
            # entry that is about to exit.
            self.set_header("Connection", "close")
        fields = self.request.headers.get_all()
        if sum(len(n) + len(v) for n, v in fields) > MAX_HEADER_BYTES:
            self._refuse(
                CallerError(
                    status=HEADER_TOO_LARGE,
                    code="headers_too_long",
                    text=f"The headers are longer than {MAX_HEADER_BYTES} bytes.",
                )
            )
            return
        length = self.request.headers.get("Content-Length", "0")
        size = read_count(length)
        if size is not None and size > self._max_body_bytes:
            self._refuse_size()
        elif length != "0" or "Transfer-Encoding" in self.request.headers:
            self._check_head()

    def _check_head(self) -> None:
        """Set the time limit of a body, or refuse it if the head alone decides that."""
        limits = self.core.snapshot.limits
        options = read_options(sent=self.request.headers, limits=limits, kind=self.kind)
        if isinstance(options, RequestOptions):
            self.deadline = asyncio.get_running_loop().time() + options.remaining
        if not self.core.configuration.is_confirmed:
            return
        caller = self._identify_caller()
        if isinstance(caller, CallerError):
            self._refuse(caller)

    def check_deadline(self, now: float) -> None:
        """Refuse a request whose time is over before it was read to its end."""
        if now <= self.deadline or self.task is not None or not self.is_prepared:
            return
        if self.refused:
            self.stream.close()
        elif not self.responder.has_ended:
            self._refuse(refuse_unavailable(reason="body_too_slow"))

    def data_received(self, chunk: bytes) -> None:
        """Buffer a part of the body, or refuse a body that is too large."""
        if self.refused:
            return
        self.size += len(chunk)
        if self.size > self._max_body_bytes:
            self._refuse_size()
            return
        self.stream.keep(chunk)

    def on_connection_close(self) -> None:
        """Cancel the work for a caller that has disconnected.

        Work that was started by `Core.run_detached` goes on.
        """
        self.responder.has_ended = True
        self.core.callers.discard(self)
        if self.stream.is_ending:
            self.body = b""
        if self.task is not None:
            self.core.meter.note_gone()
            self.task.cancel()

    def finish(self, chunk: str | bytes | dict | None = None) -> asyncio.Future[None]:
        """End the response; the request counts as open until it is sent."""
        written = super().finish(chunk)
        written.add_done_callback(lambda _: self.core.callers.discard(self))
        return written

    @property
    def stream(self) -> IOStream:
        """Return the caller's connection."""
        return self.request.connection.stream

    @property
    def is_gone(self) -> bool:
        """Whether the caller has closed its connection."""
        return self.responder.is_closed

    @property
    def _has_ended(self) -> bool:
        """Whether the request was refused, or its caller has left."""
        return self.refused or self.is_gone

    def set_end(self, time: float) -> None:
        """Buffer the answer if it may not be complete when this entry exits.

        `time` is when the entry exits, in the time of the event loop.
        """
        if self.deadline > time:
            self.responder.buffer_until_complete()

    def end(self) -> None:
        """Answer at once, because this entry exits.

        Tornado can't answer yet if it hasn't called `prepare`.
        """
        if self.responder.has_ended or not self.is_prepared:
            return
        if self.task is None:
            self._refuse(refuse_unavailable(reason="draining"))
            return
        self.task.cancel()
        self._send_error(report_unknown(reason=STOPPING))

    def end_unread(self) -> None:
        """Refuse the request unless work for it has begun."""
        if self.task is None:
            self.end()

    def on_finish(self) -> None:
        """Count the request once its response has been sent."""
        self._count_end()

    def _count_end(self) -> None:
        if self.is_counted:
            return
        self.is_counted = True
        responder = self.responder
        if responder.error is not None:
            self.core.meter.note_error(responder.error)
            return
        if responder.first_at is None:
            return
        now = asyncio.get_running_loop().time()
        self.core.meter.note_answer(
            seconds=now - responder.began_at,
            first=responder.first_at - responder.began_at,
        )

    @property
    def _max_body_bytes(self) -> int:
        return self.core.snapshot.limits.body_bytes

    def _refuse_size(self) -> None:
        self._refuse(
            CallerError(
                status=TOO_LARGE,
                code="body_too_large",
                text=f"The body is larger than {self._max_body_bytes} bytes.",
            )
        )

    def _refuse(self, error: CallerError) -> None:
        self.refused = True
        self.deadline = asyncio.get_running_loop().time() + REFUSED_SECONDS
        self.set_header("Connection", "close")
        # Tornado closes a connection on which only part of a request was read.  If
        # the rest of the request then arrives, the kernel resets the connection and
        # the caller loses the response.
        self.core.lingering.linger_after_close(self.stream)
        self._send_error(error)

    def _send_error(self, error: CallerError) -> None:
        labels = Labels(
            request=self.core.identity.make_request(),
            revision=self.core.snapshot.revision,
        )
        write_error(responder=self.responder, labels=labels, error=error)

    async def _receive(self) -> CallerContext | None:
        """Take the whole body and return whose request it is.

        The result is None if the caller has left, or if its request was refused.
        """
        if self._has_ended:
            return None
        # A connection that is closed is free for its next request, so that the body
        # would be lost during a wait.
        refusal = self._take_body()
        if refusal is None:
            await self.core.wait_confirmed()
            if self._has_ended:
                return None
            caller = self._identify_caller()
            if isinstance(caller, CallerContext):
                return caller
            refusal = caller
        self._send_error(refusal)
        return None

    def _take_body(self) -> CallerError | None:
        """Take the whole body; return the refusal of a request that lacks a part."""
        try:
            self.body = self.stream.take_body()
            check_size(self.body, size=self.size)
        except IncompleteBodyError as error:
            now = asyncio.get_running_loop().time()
            self.core.body_faults.note(error, request=self.request.path, now=now)
            return refuse_unavailable(reason="body_incomplete")
        return None

    def _identify_caller(self) -> CallerContext | CallerError:
        """Authenticate the caller and parse its options, if the entry is open."""
        refusal = self.core.find_refusal()
        if refusal is not None:
            return refusal
        snapshot = self.core.snapshot
        organisation = authenticate_caller(
            snapshot=snapshot,
            authorization=self.request.headers.get("Authorization"),
        )
        if isinstance(organisation, CallerError):
            return organisation
        options = read_options(
            sent=self.request.headers, limits=snapshot.limits, kind=self.kind
        )
        if isinstance(options, CallerError):
            return options
        self.deadline = asyncio.get_running_loop().time() + options.remaining
        return CallerContext(organisation=organisation, options=options)

    async def _run(self, work: Awaitable[None]) -> None:
        """Run the work for a request; it is cancelled if the caller disconnects."""
        try:
            self.stream.note_served()
        except StreamClosedError:
            # The caller has left, or was told that its request didn't run.
            work.close()
            return
        self.task = asyncio.ensure_future(work)
        try:
            await self.task
        except asyncio.CancelledError:
            if not self.task.cancelled():
                raise
        except StreamClosedError:
            log.debug("callers: the caller disconnected")
        except Exception:
            log.exception("callers: a request with {} bytes failed", self.size)
            # The exception may have occurred before or after the request was sent
            # to an endpoint, so whether it ran is unknown.
            self._send_error(
                CallerError(
                    status=500,
                    code="internal",
                    text="The router failed.",
                    run=Run.UNKNOWN,
                )
            )
        finally:
            self.task = None
            if self.responder.error is not None:
                self._count_end()
