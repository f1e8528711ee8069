"""The error responses for callers.

Their bodies have the format of the OpenAI-compatible API.  Every error states
whether the request was run and, if a retry makes sense, when to retry.
"""

import math

import msgspec

from .headers import Run


class CallerError(msgspec.Struct, kw_only=True, frozen=True):
    """An error response.

    `code` is stable and meant for programs, `text` for people.
    `retry_after` is in seconds; zero means that a retry is useless.
    """

    status: int
    code: str
    text: str
    run: Run = Run.NOT_RUN
    retry_after: float = 0.0

    @property
    def retry_after_header(self) -> str:
        """Return the header's value: whole seconds, rounded up."""
        return str(max(1, math.ceil(self.retry_after)))


class ErrorDetail(msgspec.Struct, kw_only=True, frozen=True):
    """The `error` object of an error body."""

    message: str
    type: str
    code: str
    param: str | None = None
    run: str = Run.NOT_RUN.value


class ErrorBody(msgspec.Struct, kw_only=True, frozen=True):
    """An error body in the format of the OpenAI-compatible API."""

    error: ErrorDetail


FIRST_SERVER_STATUS = 500

# Error code of a request that was cancelled because the entry stops.
STOPPING = "stopping"


def encode_error(error: CallerError) -> bytes:
    """Return the JSON body of an error."""
    kind = "server_error" if error.status >= FIRST_SERVER_STATUS else "request_error"
    detail = ErrorDetail(
        message=error.text, type=kind, code=error.code, run=error.run.value
    )
    return msgspec.json.encode(ErrorBody(error=detail))


def refuse_overload(*, reason: str, retry_after: float) -> CallerError:
    """Return the refusal of a request that exceeds capacity or a limit."""
    return CallerError(
        status=429,
        code=reason,
        text=f"The request was not run ({reason}). Try again later.",
        retry_after=max(retry_after, 1.0),
    )


def refuse_unavailable(*, reason: str, retry_after: float = 1.0) -> CallerError:
    """Return the refusal of a request that nothing can serve at the moment."""
    return CallerError(
        status=503,
        code=reason,
        text=f"The request was not run ({reason}). Try again later.",
        retry_after=retry_after,
    )


def refuse_withdrawn() -> CallerError:
    """Return the refusal of a request whose version was withdrawn."""
    return CallerError(
        status=410,
        code="version_withdrawn",
        text="The request was not run: its version is withdrawn.",
    )


def report_broken(*, reason: str) -> CallerError:
    """Return the error of a request that ran without a complete answer."""
    return CallerError(
        status=502,
        code=reason,
        text=f"The request ran but no whole answer came ({reason}).",
        run=Run.RAN,
        retry_after=1.0,
    )


def report_unknown(*, reason: str) -> CallerError:
    """Return the error of a request that may or may not have run."""
    return CallerError(
        status=504,
        code=reason,
        text=f"It is not known whether the request ran ({reason}).",
        run=Run.UNKNOWN,
    )
