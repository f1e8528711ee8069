"""Log lines for each decision about a request, with its inputs and its outcome.

Each line also carries its values as fields, so that programs don't need to parse the
message.  The field `news_age` is the number of seconds since peers' updates were last
merged: a placement's view of other gateways' load is at most that old.
"""

import logbook

from ..endpoints.endpoint import Endpoint
from ..versions.attempt import VersionAttempt
from .job import Delivered, Failed, Job, Lost, NotRun, Outcome, Unsure
from .messages import Arrival, EndpointLoad, Refusal

log = logbook.Logger("serving")

# Number of a prompt's parts that a log line names.
MAX_LOGGED_PARTS = 8


def log_attempt(
    job: Job, endpoint: Endpoint, outcome: Outcome, *, seconds: float, loop_delay: float
) -> None:
    """Log the outcome of an attempt and why its endpoint was chosen.

    `loop_delay` is the latest turn of the event loop, in seconds.
    """
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
        expected=round(job.expected_seconds, 4),
        wait=round(placement.wait, 4),
        running=placement.running,
        slowness=round(placement.slowness, 2),
        pace=round(placement.pace, 2),
        news_age=round(placement.update_age, 3),
        loop_delay=round(loop_delay, 4),
        body=len(job.arrival.body),
        first=round(job.first_piece_seconds, 4),
        told=list_load(job.told),
        **list_times(job.trial_attempt),
        trait=f"{job.traits.request:x}",
        parts=",".join(part.name for part in job.arrival.parts[:MAX_LOGGED_PARTS]),
    )


def log_cut(job: Job, *, reason: str, seconds: float) -> None:
    """Log an attempt that was cancelled at its request's deadline."""
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
        expected=round(job.expected_seconds, 4),
        news_age=round(job.placement.update_age, 3),
    )


def log_late_arrival(
    arrival: Arrival, *, remaining: float, limit: float, is_taken: bool
) -> None:
    """Log whether a stopping process accepts a request, and why.

    `remaining` is the time until the process ends, `limit` the time until the
    request's deadline, both in seconds.
    """
    log.info(
        "serving: {request} came {left} s before the end and may take {limit} s: "
        "{outcome}",
        request=arrival.id,
        left=round(remaining, 3),
        limit=round(limit, 3),
        outcome="taken" if is_taken else "refused",
    )


def log_spent_budget(job: Job, *, requests: int, repeats: int) -> None:
    """Log that the retry budget allows a request no further attempt.

    `requests` and `repeats` are this gateway's counts within the budget's window.
    """
    log.info(
        "serving: no retry for {request}: {repeats} retries for {requests} requests of "
        "{service}",
        request=job.arrival.id,
        repeats=repeats,
        requests=requests,
        service=job.permit.service.name,
    )


def log_refusal(
    arrival: Arrival,
    refusal: Refusal,
    *,
    configuration: int,
    seconds: float,
    loop_delay: float,
) -> None:
    """Log a request that the gateway refused, and why.

    `loop_delay` is the latest turn of the event loop, in seconds.
    """
    log.info(
        "serving: {request} {path} refused {status}: {reason}; "
        "configuration {configuration}",
        request=arrival.id,
        path=arrival.path,
        end="refused",
        status=refusal.status,
        reason=refusal.reason,
        retry_after=refusal.retry_after,
        body=arrival.body_size,
        configuration=configuration,
        seconds=round(seconds, 4),
        loop_delay=round(loop_delay, 4),
    )


def log_unread(arrival: Arrival) -> None:
    """Log a request whose caller left before it was read to its end."""
    log.info(
        "serving: the caller of {request} left after {body} bytes of its body",
        request=arrival.id,
        body=arrival.body_size,
    )


def log_end(job: Job, end: str, *, reason: str, now: float) -> None:
    """Log the end of a request that wasn't refused."""
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
        prompt_tokens=job.arrival.tokens_in,
        body=job.arrival.body_size,
        reason=reason,
    )


def list_times(attempt: VersionAttempt | None) -> dict[str, float | None]:
    """Return the times by which an attempt's version is judged."""
    if attempt is None:
        return {}
    times = attempt.times
    return {
        "pieces": times.pieces,
        "streamed": round(times.last_at - times.first_at, 4),
        "reading": round(times.expected, 4),
        "lateness": attempt.slowness.whole,
        "first_lateness": attempt.slowness.first,
        "pace_lateness": attempt.slowness.pace,
    }


def list_load(load: EndpointLoad | None) -> str:
    """Return the load that an endpoint reported, empty if it reported none."""
    if load is None:
        return ""
    stretch = "" if load.stretch is None else f" x{load.stretch:.2f}"
    return f"{load.running}+{load.waiting} of {load.slots}{stretch}"


def find_reason(outcome: Outcome) -> str:
    """Return a short reason for the outcome of an attempt."""
    match outcome:
        case Delivered():
            return "whole"
        case Unsure(confidence=confidence):
            return f"confidence {confidence}"
        case Failed(head=head):
            return f"status {head.status}"
        case NotRun(reason=reason) | Lost(reason=reason):
            return reason
