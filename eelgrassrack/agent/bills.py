"""Compute the bills of attempts."""

from ..mailbox.messages import Bill
from .attempts import Attempt
from .outcomes import Usage


def bill_completed(attempt: Attempt, usage: Usage | None) -> Bill:
    """Return the bill of an attempt with a complete answer.

    A plain service is billed per request.  If an engine doesn't report its token
    usage, a stream is billed by its pieces, which hold one token each, and any
    other answer by the number of tokens that the entry expected.
    """
    if attempt.start.service:
        return make_bill(attempt)
    if usage is None:
        tokens = len(attempt.pieces) if attempt.start.stream else attempt.start.tokens
        return make_bill(attempt, completion_tokens=tokens)
    return make_bill(
        attempt,
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
    )


def bill_cancelled(attempt: Attempt) -> Bill | None:
    """Return the bill of a cancelled attempt, for the tokens generated so far."""
    if not attempt.pieces or attempt.start.service:
        return None
    return make_bill(attempt, completion_tokens=len(attempt.pieces))


def make_bill(
    attempt: Attempt, *, prompt_tokens: int = 0, completion_tokens: int = 0
) -> Bill:
    """Return the bill of an attempt."""
    start = attempt.start
    return Bill(
        attempt=start.attempt,
        request=start.request,
        ledger=attempt.ledger,
        step=start.step,
        organisation=start.organisation,
        version=start.version or start.service,
        prompt_tokens=prompt_tokens,
        completion_tokens=completion_tokens,
    )
