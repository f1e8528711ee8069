"""What all handlers for callers share: who calls, on which terms, and its end."""

import asyncio
import math
from collections.abc import Awaitable

import logbook
import msgspec
from tornado import web
from tornado.iostream import IOStream, StreamClosedError

from ..document.sections import Organisation
from .answers import Labels, write_error
from .arrivals import Terms, authenticate_caller, read_terms
from .core import Core
from .headers import Run
from .refusals import STOPPING, CallerError, refuse_unavailable, report_unknown
from .responder import HttpResponder

log = logbook.Logger("callers")

# The sum of a request's header names and values.
MOST_HEADER_BYTES = 16_384

TOO_LARGE = 413
HEADER_TOO_LARGE = 431


class Entered(msgspec.Struct, kw_only=True, frozen=True):
    """Who calls, and on which terms."""

    organisation: Organisation
    terms: Terms


@web.stream_request_body
class CallerHandler(web.RequestHandler):
    """Base of the handlers that callers reach.

    `kind` is the kind of request for callers that name none.
    """

    kind = "chat"

    def initialize(self, *, core: Core) -> None:
        """Take the entry's core."""
        self.core = core
        self.chunks: list[bytes] = []
        self.size = 0
        self.responder = HttpResponder(handler=self)
        self.task: asyncio.Task | None = None
        self.refused = False
        self.is_counted = False
        self.deadline = math.inf
        core.open.add(self)
        core.meter.note_arrival()

    def prepare(self) -> None:
        """Refuse early what is too large."""
        if self.core.is_draining:
            # A client that kept its connection would send its next request
            # to an entry that is about to end.
            self.set_header("Connection", "close")
        fields = self.request.headers.get_all()
        if sum(len(n) + len(v) for n, v in fields) > MOST_HEADER_BYTES:
            self._refuse(
                CallerError(
                    status=HEADER_TOO_LARGE,
                    code="headers_too_long",
                    text=f"The headers are longer than {MOST_HEADER_BYTES} bytes.",
                )
            )
            return
        length = self.request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self._most_bytes:
            self._refuse_size()

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        if self.refused:
            return
        self.size += len(chunk)
        if self.size > self._most_bytes:
            self._refuse_size()
            return
        self.chunks.append(chunk)

    def on_connection_close(self) -> None:
        """Stop work for a caller that went away, where it may be stopped."""
        self.responder.has_ended = True
        self.core.open.discard(self)
        if self.task is not None:
            self.core.meter.note_gone()
            self.task.cancel()

    def finish(self, chunk: str | bytes | dict | None = None) -> asyncio.Future[None]:
        """End the answer; the request is over once that has left."""
        written = super().finish(chunk)
        written.add_done_callback(lambda _: self.core.open.discard(self))
        return written

    @property
    def stream(self) -> IOStream:
        """Return the caller's connection."""
        return self.request.connection.stream

    @property
    def is_gone(self) -> bool:
        """Tell whether the caller has closed its connection."""
        return self.responder.is_closed

    def end_by(self, time: float) -> None:
        """Keep back an answer that may not be whole before this entry ends."""
        if self.deadline > time:
            self.responder.keep_back()

    def end(self) -> None:
        """Answer now, as this entry ends."""
        if self.responder.has_ended:
            return
        if self.task is None:
            self._refuse(refuse_unavailable(reason="draining"))
            return
        self.task.cancel()
        self._send_error(report_unknown(reason=STOPPING))

    def on_finish(self) -> None:
        """Count the request once its answer has been sent."""
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
    def _most_bytes(self) -> int:
        return self.core.snapshot.limits.body_bytes

    def _refuse_size(self) -> None:
        self._refuse(
            CallerError(
                status=TOO_LARGE,
                code="body_too_large",
                text=f"The body is larger than {self._most_bytes} bytes.",
            )
        )

    def _refuse(self, error: CallerError) -> None:
        self.refused = True
        self.set_header("Connection", "close")
        # The library closes connections on which half a request has been read:
        # what still comes would reset the answer away.
        self.core.lingering.linger_after_close(self.stream)
        self._send_error(error)

    def _send_error(self, error: CallerError) -> None:
        labels = Labels(
            request=self.core.identity.make_request(),
            revision=self.core.snapshot.revision,
        )
        write_error(responder=self.responder, labels=labels, error=error)

    def _enter(self) -> Entered | CallerError:
        """Return who calls on which terms, if the entry takes requests."""
        closed = self.core.find_closed()
        if closed is not None:
            return closed
        snapshot = self.core.snapshot
        found = authenticate_caller(
            snapshot=snapshot,
            authorization=self.request.headers.get("Authorization"),
        )
        if isinstance(found, CallerError):
            return found
        terms = read_terms(
            sent=self.request.headers, limits=snapshot.limits, kind=self.kind
        )
        if isinstance(terms, CallerError):
            return terms
        self.deadline = asyncio.get_running_loop().time() + terms.within
        return Entered(organisation=found, terms=terms)

    async def _run(self, work: Awaitable[None]) -> None:
        """Run a flow that ends when its caller goes away."""
        self.task = asyncio.ensure_future(work)
        try:
            await self.task
        except asyncio.CancelledError:
            if not self.task.cancelled():
                raise
        except StreamClosedError:
            log.debug("callers: a caller went away")
        except Exception:
            log.exception("callers: a request failed")
            # The fault may have come before or after the request was sent to
            # an endpoint, so neither "not run" nor "ran" would be sure.
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
