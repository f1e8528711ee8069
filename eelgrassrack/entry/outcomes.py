"""Maps the outcome of an attempt to the response for the caller."""

from ..mailbox.messages import Finish, Refusal
from .channels import AttemptFailed, Completed, NeverStarted, OutcomeUnknown
from .headers import Run
from .jobs import DispatchResult
from .refusals import (
    CallerError,
    refuse_overload,
    refuse_unavailable,
    refuse_withdrawn,
    report_broken,
    report_unknown,
)
from .suspects import refuse_quarantined

TIMED_OUT = 504


def judge_outcome(result: DispatchResult | CallerError) -> Completed | CallerError:
    """Return the complete answer, or the error for the caller."""
    if isinstance(result, CallerError):
        return result
    match result.outcome:
        case Completed() as completed:
            return completed
        case NeverStarted(refusal=refusal, retry_after=retry_after):
            return refuse_by_agent(refusal=refusal, retry_after=retry_after)
        case AttemptFailed(finish=Finish.DEADLINE | Finish.CANCELLED):
            # The entry cancels a running attempt only just before its deadline, or
            # after its caller has disconnected.  If a failed endpoint were
            # reported, the caller would retry in vain.
            return _report_late()
        case AttemptFailed(reason=reason):
            return report_broken(reason=reason)
        case OutcomeUnknown(reason=reason):
            return report_unknown(reason=reason)


def refuse_by_agent(*, refusal: Refusal, retry_after: float) -> CallerError:
    """Return the error for the caller after an agent's refusal."""
    match refusal:
        case Refusal.QUARANTINED:
            return refuse_quarantined()
        case Refusal.WITHDRAWN:
            return refuse_withdrawn()
        case Refusal.FULL | Refusal.DEADLINE:
            return refuse_overload(reason=refusal.value, retry_after=retry_after)
        case Refusal.CANCELLED if not retry_after:
            text = "The request was not run before its deadline."
            return CallerError(status=TIMED_OUT, code="deadline", text=text)
    return refuse_unavailable(reason=refusal.value, retry_after=max(retry_after, 1.0))


def _report_late() -> CallerError:
    return CallerError(
        status=TIMED_OUT,
        code="deadline",
        text="The request ran but not to its end before the deadline.",
        run=Run.RAN,
    )
