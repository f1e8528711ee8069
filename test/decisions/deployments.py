"""Random deployments, and a simulation of requests against them in virtual time.

An engine reads prompts one after the other and generates tokens concurrently, so the
first token of a request comes when its prompt has been read.  A single entry chooses
with full knowledge of all engines, so only the choices are compared.
"""

import itertools
import random

import msgspec

from eelgrassrack.decisions.engines import EngineCandidate, ReadingTime, choose_engine
from eelgrassrack.decisions.modelchoice import Estimate, choose_first, choose_next

REQUESTS = 1_500
TIME_LEFT = 15.0
LATE_PART = 0.3

# Worth of a wrong answer relative to a right one.
POOR_PART = 0.05

# Bytes of a request per token of its prompt.
TOKEN_BYTES = 1.0


class Engine(msgspec.Struct):
    """An engine; `speed` is its run time relative to the usual one."""

    name: str
    domain: int
    speed: float
    free_at: float = 0.0
    running: int = 0


class Model(msgspec.Struct, frozen=True):
    """A model: seconds per token read, the hardest request it can answer, and cost."""

    name: str
    pace: float
    quality: float
    cost: float


class Request(msgspec.Struct, frozen=True):
    """A request; `worth` is the value of a right answer in time."""

    at: float
    domain: int
    tokens: int
    difficulty: float
    objective: float
    worth: float
    confidences: tuple[int, ...]


class Deployment(msgspec.Struct):
    """Engines, models, the cost of a byte between domains, and requests."""

    engines: list[Engine]
    models: tuple[Model, ...]
    byte_cost: float
    requests: list[Request]


class Total(msgspec.Struct):
    """The total worth of answers and the total cost."""

    worth: float = 0.0
    cost: float = 0.0


def draw(seed):
    """Return a random deployment with a load between a fifth and nine tenths."""
    rng = random.Random(seed)
    domains = rng.randint(2, 4)
    engines = [
        Engine(f"e{number}", number % domains, rng.choice((1.0, 1.0, 1.3)))
        for number in range(rng.randint(domains, 12))
    ]
    base = rng.uniform(2e-6, 8e-6)
    models = tuple(
        Model(name, base * pace, quality, cost)
        for name, pace, quality, cost in (
            ("small", 1.0, rng.uniform(0.45, 0.65), rng.uniform(0.01, 0.02)),
            ("middle", 2.7, rng.uniform(0.66, 0.8), rng.uniform(0.08, 0.14)),
            ("large", rng.uniform(7, 12), 1.0, rng.uniform(0.2, 0.3)),
        )
    )
    load = rng.uniform(0.2, 0.9)
    mean_seconds = 4_000 * (models[0].pace + 0.4 * models[2].pace)
    rate = load * len(engines) / mean_seconds
    times = itertools.accumulate(rng.expovariate(rate) for _ in range(REQUESTS))
    requests = [_draw_request(rng, at, domains, models) for at in times]
    return Deployment(engines, models, rng.uniform(1e-6, 1e-5), requests)


def _draw_request(rng, at, domains, models):
    tokens = int(min(rng.lognormvariate(7.6, 1.1), 40_000)) + 50
    difficulty = rng.random()
    confidences = tuple(
        round(min(max(50 + 150 * (m.quality - difficulty) + rng.gauss(0, 10), 0), 100))
        for m in models
    )
    return Request(
        at=at,
        domain=rng.randrange(domains),
        tokens=tokens,
        difficulty=difficulty,
        objective=rng.choice((1.0, 1.5, 2.0)),
        worth=0.3 + tokens / 3_000,
        confidences=confidences,
    )


def play(deployment, *, choose_model, choose_placement):
    """Return the total worth and cost of all requests under a policy.

    `choose_model` is called after each run for the next model, and returns None once
    the answer is accepted.
    """
    total = Total()
    for engine in deployment.engines:
        engine.free_at = 0.0
    for request in deployment.requests:
        _serve(deployment, request, choose_model, choose_placement, total)
    return total


def _serve(deployment, request, choose_model, choose_placement, total):
    now = request.at
    model = choose_model(deployment, request, None, now)
    while True:
        engine = choose_placement(deployment, request, model, now)
        seconds = request.tokens * model.pace * engine.speed
        begun = max(now, engine.free_at)
        now = engine.free_at = begun + seconds
        total.cost += model.cost * request.tokens / 1_000 / 4
        if engine.domain != request.domain:
            total.cost += deployment.byte_cost * request.tokens * TOKEN_BYTES
        following = choose_model(deployment, request, model, now)
        if following is None:
            break
        model = following
    is_late = now - request.at > request.objective
    is_right = request.difficulty <= model.quality
    part = (LATE_PART if is_late else 1.0) * (1.0 if is_right else POOR_PART)
    total.worth += request.worth * part


def choose_model_under_test(deployment, request, model, now):
    """Return the first or the next model by the decisions under test."""
    names = tuple(candidate.name for candidate in deployment.models)
    by_name = {candidate.name: candidate for candidate in deployment.models}

    def estimate(name):
        wait, seconds = min(
            (
                max(engine.free_at - now, 0.0),
                request.tokens * by_name[name].pace * engine.speed,
            )
            for engine in deployment.engines
        )
        return Estimate(wait + seconds, wait, wait + seconds)

    remaining = request.at + TIME_LEFT - now
    if model is None:
        chosen = choose_first(
            models=names,
            attempts=3,
            is_repeatable=True,
            objective=request.objective,
            remaining=remaining,
            estimate=estimate,
        )
    else:
        chosen = choose_next(
            models=names,
            model=model.name,
            confidence=request.confidences[names.index(model.name)],
            objective=request.objective,
            remaining=remaining,
            estimate=estimate,
        )
    return by_name.get(chosen)


def choose_first_only(deployment, request, model, now):
    return deployment.models[0] if model is None else None


def choose_best_only(deployment, request, model, now):
    return deployment.models[-1] if model is None else None


def place_under_test(deployment, request, model, now):
    """Return the engine by the decisions under test."""
    candidates = [
        EngineCandidate(
            name=engine.name,
            wait=max(engine.free_at - now, 0.0),
            burden=max(engine.free_at - now, 0.0),
            running=0,
            slots=64,
            is_near=engine.domain == request.domain,
            slowness=engine.speed,
        )
        for engine in deployment.engines
    ]
    chosen = choose_engine(
        candidates=candidates,
        reading=ReadingTime(whole=request.tokens * model.pace),
        affinity="",
        spread="entry",
        remaining=request.at + request.objective - now,
    )
    return next(engine for engine in deployment.engines if engine.name == chosen.name)


def place_on_least_busy(deployment, request, model, now):
    return min(deployment.engines, key=lambda engine: (engine.free_at, engine.name))


def place_in_turn(deployment, request, model, now):
    number = deployment.requests.index(request)
    return deployment.engines[number % len(deployment.engines)]


BASELINES = {
    f"{model} {place}": (choose_model, choose_placement)
    for (model, choose_model), (place, choose_placement) in itertools.product(
        (("first model", choose_first_only), ("best model", choose_best_only)),
        (("least busy", place_on_least_busy), ("in turn", place_in_turn)),
    )
}
