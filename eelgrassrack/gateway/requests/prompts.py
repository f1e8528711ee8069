"""Estimates of a prompt's reading time, urgency, cost and cache affinity."""

from collections.abc import Collection

from ...decisions.engines import PLAIN_REQUEST_SECONDS, ReadingTime
from ...decisions.pace import Pace
from ...decisions.urgency import LEAST_URGENT, find_urgency
from .job import Job


def estimate_reading(job: Job, model: str, pace: Pace) -> ReadingTime:
    """Return how many seconds a model needs to read the prompt."""
    arrival = job.arrival
    if not arrival.tokens_in:
        return ReadingTime(whole=PLAIN_REQUEST_SECONDS)
    cost = find_cost(job, model)
    shared = sum(part.tokens for part in arrival.parts[:-1])
    return ReadingTime(
        whole=pace.estimate(model=model, cost=cost, tokens=arrival.tokens_in),
        shared=pace.estimate(model=model, cost=cost, tokens=shared),
    )


def find_prompt_urgency(job: Job, reading: float, heavy: Collection[str]) -> int:
    """Return the urgency of a prompt that takes `reading` seconds to read.

    Requests without a prompt are the least urgent.  `heavy` are the organisations
    whose prompts are deprioritised.
    """
    if not job.arrival.tokens_in:
        return LEAST_URGENT
    return find_urgency(
        rank=job.permit.priority,
        reading=reading,
        is_deprioritised=job.permit.organisation_name in heavy,
    )


def find_cost(job: Job, model: str) -> float:
    """Return the ratio of a model's cost to that of the cheapest model."""
    costs = dict(job.permit.service.costs)
    least = min(costs.values(), default=0.0)
    return costs.get(model, least) / least if least else 1.0


def estimate_answer_tokens(job: Job) -> int:
    """Return how many tokens the answer probably has."""
    arrival = job.arrival
    return min(arrival.length_hint or arrival.tokens_out, arrival.tokens_out)


def find_affinity(job: Job, model: str) -> str:
    """Return a key that is the same for requests with the same prompt prefix."""
    shared = job.arrival.parts[:-1]
    if not shared:
        return ""
    return "\0".join([model, *(part.name for part in shared)])
