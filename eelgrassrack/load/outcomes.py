"""Outcomes of one try of a request, and when its caller retries."""

import msgspec

from .workload import RequestKind, RetryPolicy

RAN = "ran"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
NO_RESPONSE = 599
CLIENT_TIMEOUT = "no_answer"

# A caller whose connection was refused tries another entry after a short
# pause, as if a load balancer sent it there.
UNREACHABLE_WAIT_SECONDS = 0.2
REFUSAL_STATUSES = (429, 503)
SERVER_ERROR = 500


class Completed(msgspec.Struct, kw_only=True, frozen=True):
    """A complete answer, and the version that gave it."""

    version: str = ""


class Refused(msgspec.Struct, kw_only=True, frozen=True):
    """Not run; `wait` is `Retry-After` in seconds, or None without one."""

    code: str
    wait: float | None = None


class Unreachable(msgspec.Struct, kw_only=True, frozen=True):
    """Not sent, because no connection could be made."""


class AttemptFailed(msgspec.Struct, kw_only=True, frozen=True):
    """Run, but without a complete answer."""

    code: str


class OutcomeUnknown(msgspec.Struct, kw_only=True, frozen=True):
    """It isn't known whether the request ran."""

    code: str


Outcome = Completed | Refused | Unreachable | AttemptFailed | OutcomeUnknown


class Response(msgspec.Struct, kw_only=True, frozen=True):
    """The parts of a response that decide its outcome.

    `run` is the header that says whether the request ran, `code` the error
    code of the body, if any.  `is_whole` means that the answer is complete.
    """

    status: int
    run: str = ""
    retry_after: str = ""
    version: str = ""
    code: str = ""
    is_whole: bool = False


def classify_response(response: Response) -> Outcome:
    """Return the outcome of a try.

    A response that isn't from an entry, for example from the platform's load
    balancer, doesn't say whether the request ran.  Of those, only 429 and 503
    count as refusals.
    """
    code = response.code or str(response.status)
    if response.is_whole:
        return Completed(version=response.version)
    if response.status == NO_RESPONSE:
        return OutcomeUnknown(code=response.code or CLIENT_TIMEOUT)
    is_unmarked_refusal = not response.run and response.status in REFUSAL_STATUSES
    if response.run == NOT_RUN or is_unmarked_refusal:
        return Refused(code=code, wait=read_retry_after(response.retry_after))
    if response.run == RAN or response.status < SERVER_ERROR:
        return AttemptFailed(code=code)
    return OutcomeUnknown(code=code)


def read_retry_after(text: str) -> float | None:
    """Return the seconds in a `Retry-After` header, or None if it isn't valid."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0 <= seconds < float("inf") else None


def find_retry_delay(
    outcome: Outcome, *, kind: RequestKind, tries: int, remaining: float
) -> float | None:
    """Return the pause in seconds before a retry, or None to give up.

    `tries` is how often the request was sent, and `remaining` the seconds to
    its deadline.  Only requests that certainly didn't run are retried.
    """
    match outcome, kind.returns:
        case Refused(wait=None), _:
            # Without `Retry-After` a retry would be refused again.
            return None
        case Unreachable(), RetryPolicy.WAIT:
            pause = UNREACHABLE_WAIT_SECONDS
        case Refused(wait=wait), RetryPolicy.WAIT:
            pause = wait
        case Refused() | Unreachable(), RetryPolicy.AT_ONCE:
            pause = 0.0
        case _:
            return None
    return pause if tries < kind.tries and pause < remaining else None
