"""What a caller is told when its request isn't answered.

The body has the shape that clients of the usual language model API
expect.  Every refusal says whether the request was run and, where it may
be tried again, when to come back.
"""

import math

import msgspec

from .headers import Run


class CallerError(msgspec.Struct, kw_only=True, frozen=True):
    """A final answer that isn't the caller's result.

    `code` is stable and meant for programs, `text` for people.
    `retry_after` is in seconds; zero means that trying again is no use.
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
    """The inner part of an error body."""

    message: str
    type: str
    code: str
    param: str | None = None
    run: str = Run.NOT_RUN.value


class ErrorBody(msgspec.Struct, kw_only=True, frozen=True):
    """An error body in the shape of the usual language model API."""

    error: ErrorDetail


FIRST_SERVER_STATUS = 500

# The code of a request that was begun and not ended because its entry ends.
STOPPING = "stopping"


def encode_error(error: CallerError) -> bytes:
    """Return the JSON body of an error."""
    kind = "server_error" if error.status >= FIRST_SERVER_STATUS else "request_error"
    detail = ErrorDetail(
        message=error.text, type=kind, code=error.code, run=error.run.value
    )
    return msgspec.json.encode(ErrorBody(error=detail))


def refuse_overload(*, reason: str, retry_after: float) -> CallerError:
    """Return the refusal of a request that there is no room for."""
    return CallerError(
        status=429,
        code=reason,
        text=f"The request was not run ({reason}). Try again later.",
        retry_after=max(retry_after, 1.0),
    )


def refuse_unavailable(*, reason: str, retry_after: float = 1.0) -> CallerError:
    """Return the refusal of a request that nothing can serve just now."""
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
    """Return the answer to a request that ran but ended without a result."""
    return CallerError(
        status=502,
        code=reason,
        text=f"The request ran but no whole answer came ({reason}).",
        run=Run.RAN,
        retry_after=1.0,
    )


def report_unknown(*, reason: str) -> CallerError:
    """Return the answer to a request of which nobody knows whether it ran."""
    return CallerError(
        status=504,
        code=reason,
        text=f"It is not known whether the request ran ({reason}).",
        run=Run.UNKNOWN,
    )
