"""A line for each decision on a request: what it was decided by, and its outcome.

Each line has its values as fields beside the sentence, so that a program needs no
knowledge of the sentence.  `news_age` is the seconds since peers' news were last
added up, the oldest that a placement's view of others' load can be.
"""

import logbook

from .endpoints import Endpoint
from .job import Delivered, Failed, Job, Lost, NotRun, Outcome, Unsure
from .messages import Arrival, Refusal

log = logbook.Logger("serving")


def log_attempt(
    job: Job, endpoint: Endpoint, outcome: Outcome, *, seconds: float
) -> None:
    """Tell how an attempt ended, and by what its endpoint was chosen."""
    placement = job.placement
    log.info(
        "serving: attempt {attempt} of {request} at {endpoint} {version}: {outcome}: "
        "{reason}",
        attempt=job.attempts,
        request=job.arrival.id,
        endpoint=endpoint.name,
        version=endpoint.version,
        domain=endpoint.domain,
        model=job.model,
        outcome=type(outcome).__name__,
        reason=find_reason(outcome),
        seconds=round(seconds, 4),
        expected=round(job.expected, 4),
        wait=round(placement.wait, 4),
        running=placement.running,
        slowness=round(placement.slowness, 2),
        news_age=round(placement.news_age, 3),
    )


def log_cut(job: Job, *, reason: str, seconds: float) -> None:
    """Tell at which endpoint an attempt stood when its time was over, and why."""
    log.info(
        "serving: attempt {attempt} of {request} at {endpoint} cut after {seconds} s: "
        "{reason}",
        attempt=job.attempts,
        request=job.arrival.id,
        endpoint=job.tried[-1],
        model=job.model,
        outcome="Cut",
        reason=reason,
        seconds=round(seconds, 4),
        expected=round(job.expected, 4),
        news_age=round(job.placement.news_age, 3),
    )


def log_late(arrival: Arrival, *, left: float, limit: float, is_taken: bool) -> None:
    """Tell by what a process that is going to end takes a request or refuses it.

    `left` is what the process has left, `limit` how long the request may take, in
    seconds.
    """
    log.info(
        "serving: {request} came {left} s before the end and may take {limit} s: "
        "{outcome}",
        request=arrival.id,
        left=round(left, 3),
        limit=round(limit, 3),
        outcome="taken" if is_taken else "refused",
    )


def log_refusal(
    arrival: Arrival, refusal: Refusal, *, configuration: int, seconds: float
) -> None:
    """Tell that a request got an answer of our own, and why."""
    log.info(
        "serving: {request} {path} refused {status}: {reason}; "
        "configuration {configuration}",
        request=arrival.id,
        path=arrival.path,
        end="refused",
        status=refusal.status,
        reason=refusal.reason,
        retry_after=refusal.retry_after,
        configuration=configuration,
        seconds=round(seconds, 4),
    )


def log_end(job: Job, end: str, *, reason: str, now: float) -> None:
    """Tell how a request ended that an endpoint worked on."""
    route = job.permit.route
    log.info(
        "serving: {request} {end} on {route} with {model} by {endpoints} after "
        "{seconds} s, first {first} s, attempts {attempts} {reason}",
        request=job.arrival.id,
        end=end,
        route=route.name,
        model=job.model or "no model",
        endpoints=",".join(job.tried) or "none",
        seconds=round(now - job.arrival.arrived, 4),
        first=round((job.first_at or now) - job.arrival.arrived, 4),
        objective=route.objective,
        gap=round(job.longest_gap, 4),
        gap_objective=route.gap,
        attempts=job.attempts,
        confidence=job.confidence,
        reason=reason,
    )


def find_reason(outcome: Outcome) -> str:
    """Return in a few words why an attempt ended as it did."""
    match outcome:
        case Delivered():
            return "whole"
        case Unsure(confidence=confidence):
            return f"confidence {confidence}"
        case Failed(head=head):
            return f"status {head.status}"
        case NotRun(reason=reason) | Lost(reason=reason):
            return reason
