"""What a request's prompt asks of an engine, by the model that reads it."""

from collections.abc import Collection
from typing import TYPE_CHECKING

from ..decisions.engines import PLAIN_REQUEST_SECONDS, ReadingTime
from ..decisions.pace import Pace
from ..decisions.urgency import LEAST_URGENT, find_urgency

if TYPE_CHECKING:
    from .job import Job


def find_reading(job: "Job", model: str, pace: Pace) -> ReadingTime:
    """Return the seconds that a model needs to read the prompt."""
    arrival = job.arrival
    if not arrival.tokens_in:
        return ReadingTime(whole=PLAIN_REQUEST_SECONDS)
    cost = find_cost(job, model)
    shared = sum(part.tokens for part in arrival.parts[:-1])
    return ReadingTime(
        whole=pace.estimate(model=model, cost=cost, tokens=arrival.tokens_in),
        shared=pace.estimate(model=model, cost=cost, tokens=shared),
    )


def rank_reading(job: "Job", reading: float, heavy: Collection[str]) -> int:
    """Return how urgent a prompt of so many seconds is; others wait for all.

    `heavy` are the organisations whose prompts give way to those of others.
    """
    if not job.arrival.tokens_in:
        return LEAST_URGENT
    return find_urgency(
        rank=job.permit.priority,
        reading=reading,
        is_deprioritised=job.permit.organisation_name in heavy,
    )


def find_cost(job: "Job", model: str) -> float:
    """Return how many times a model costs what the cheapest does."""
    costs = dict(job.permit.service.costs)
    least = min(costs.values(), default=0.0)
    return costs.get(model, least) / least if least else 1.0


def find_generated(job: "Job") -> int:
    """Return how many tokens the answer will most likely have."""
    arrival = job.arrival
    return min(arrival.length_hint or arrival.tokens_out, arrival.tokens_out)


def find_affinity(job: "Job", model: str) -> str:
    """Return what requests have in common that read the same parts first."""
    shared = job.arrival.parts[:-1]
    if not shared:
        return ""
    return "\0".join([model, *(part.name for part in shared)])
