"""What one try of a request came to, and whether its caller sends it again."""

import msgspec

from .workload import RequestKind, RetryPolicy

RAN = "ran"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
NO_RESPONSE = 599
CLIENT_TIMEOUT = "no_answer"

# A caller whose connection was refused goes to another entry after a moment,
# as its balancer would send it.
UNREACHABLE_WAIT_SECONDS = 0.2
REFUSAL_STATUSES = (429, 503)
SERVER_ERROR = 500


class Completed(msgspec.Struct, kw_only=True, frozen=True):
    """A whole answer of a version."""

    version: str = ""


class Refused(msgspec.Struct, kw_only=True, frozen=True):
    """Not run; `wait` is `Retry-After` in seconds, None if there was none."""

    code: str
    wait: float | None = None


class Unreachable(msgspec.Struct, kw_only=True, frozen=True):
    """Never sent: no connection came about."""


class AttemptFailed(msgspec.Struct, kw_only=True, frozen=True):
    """Started, but the answer isn't whole."""

    code: str


class OutcomeUnknown(msgspec.Struct, kw_only=True, frozen=True):
    """Nobody can say whether it ran."""

    code: str


Outcome = Completed | Refused | Unreachable | AttemptFailed | OutcomeUnknown


class Response(msgspec.Struct, kw_only=True, frozen=True):
    """What came back: status, headers that matter and how the body ended."""

    status: int
    run: str = ""
    retry_after: str = ""
    version: str = ""
    code: str = ""
    is_whole: bool = False


def classify_response(response: Response) -> Outcome:
    """Return what a try came to.

    Something other than an entry, such as the platform's balancer, may
    answer without saying whether the request ran.  Only 429 and 503 are
    then taken for refusals.
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
    """Return the seconds that a `Retry-After` header asks for."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0 <= seconds < float("inf") else None


def find_retry_delay(
    outcome: Outcome, *, kind: RequestKind, tries: int, remaining: float
) -> float | None:
    """Return after how many seconds to send again, or None to give up.

    `tries` is how often the request was sent and `remaining` the time to its
    deadline.  Only what surely wasn't run is sent again.
    """
    match outcome, kind.returns:
        case Refused(wait=None), _:
            # Without `Retry-After` it is no use to try again.
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
