"""Tables of cost at quality, roll-outs and outages of the rating service."""

from collections.abc import Iterable, Sequence

from rich.console import Console

from eelgrassrack.decisions.cascade import Rung
from eelgrassrack.document.sections import Policy, Preference
from eelgrassrack.document.snapshot import Snapshot

from .answers import (
    CascadeCase,
    CascadeRule,
    Degradation,
    DeliveredAnswer,
    RolloutCase,
    play_cascade,
    play_rollout,
)
from .fleet import read_sample
from .results import mean, percentile
from .tables import format_figure, make_table

EQUAL_WEIGHTS = Policy()

# The weights of both samples, and equal weights; each is tried on both samples.
POLICIES = {
    "Keelwater's 1:3:1": Policy(cost=1, latency=3, exposure=1),
    "equal 1:1:1": EQUAL_WEIGHTS,
    "CIMQ's 3:1:3": Policy(cost=3, latency=1, exposure=3),
}

SAMPLES = (
    ("keelwater", "study", "candidates"),
    ("cimq", "commentary", "acier-saguenay"),
)

# Roll-outs are short, so each seed of the command line stands for this many runs.
ROLLOUT_RUNS = 6


def make_case(
    sample: str,
    cascade: str,
    organisation: str,
    *,
    policy: Policy,
    preference: Preference | None = None,
    outage: tuple[int, int] = (0, 0),
) -> CascadeCase:
    """Return a case with a cascade and organisation of one of the samples."""
    snapshot = read_sample(sample)
    customer = snapshot.organisations[organisation]
    return CascadeCase(
        rungs=_read_rungs(snapshot, cascade),
        target=customer.quality_target,
        preference=preference or customer.preference,
        policy=policy,
        outage=outage,
        timeout=snapshot.limits.rating_timeout,
    )


def measure_cascade(
    case: CascadeCase, *, rule: CascadeRule, seeds: int, part: slice = slice(None)
) -> list[float]:
    """Return the means of a cascade's figures over the seeds.

    The figures are the cost relative to the best model only, the share of good
    answers, the rating, and the median, 95th percentile and mean of the seconds to
    the first token.  `part` selects a part of the requests.
    """
    rows = []
    for seed in range(1, seeds + 1):
        answers = play_cascade(case, rule=rule, seed=seed)[part]
        best = play_cascade(case, rule=CascadeRule.BEST, seed=seed)[part]
        rows.append(_measure(answers, best))
    return [mean(column) for column in zip(*rows, strict=True)]


def measure_rollout(case: RolloutCase, *, is_fixed: bool, seeds: int) -> float:
    """Return the mean number of bad answers delivered in a roll-out.

    If the version doesn't degrade, the result counts all answers of the new version.
    """
    found = [
        play_rollout(case, is_fixed=is_fixed, seed=seed)
        for seed in range(1, seeds * ROLLOUT_RUNS + 1)
    ]
    return mean(one.new if case.degradation is None else one.bad for one in found)


def print_cost(*, seeds: int, console: Console) -> None:
    """Print the cost and quality of each rule and policy on the users' samples."""
    console.print(
        "\n## cost-at-quality\n\nCascades of both samples; cost is relative to "
        f"always using the best model. Means of {seeds} seeds.\n"
    )
    table = _make_cascade_table()
    for sample, cascade, organisation in SAMPLES:
        for preference in Preference:
            for label, rule, policy in _list_rules():
                case = make_case(
                    sample,
                    cascade,
                    organisation,
                    policy=policy,
                    preference=preference,
                )
                figures = measure_cascade(case, rule=rule, seeds=seeds)
                name = f"{sample}, target {case.target:g}, {preference.value}"
                table.add_row(name, label, *map(format_figure, figures))
    console.print(table)


def print_rating_outage(*, seeds: int, console: Console) -> None:
    """Print the figures of each rule during an outage of the rating service."""
    console.print(
        "\n## rating-away\n\nThe rating service is away for requests 1,000 to "
        f"2,000; figures are of these. Means of {seeds} seeds.\n"
    )
    table = _make_cascade_table()
    for sample, cascade, organisation in SAMPLES:
        policy = read_sample(sample).policy
        for rule in CascadeRule:
            case = make_case(
                sample, cascade, organisation, policy=policy, outage=(1_000, 2_000)
            )
            figures = measure_cascade(
                case, rule=rule, seeds=seeds, part=slice(1_000, 2_000)
            )
            table.add_row(sample, rule.value, *map(format_figure, figures))
    console.print(table)


def print_rollout(*, seeds: int, console: Console) -> None:
    """Print the bad answers of a degraded version with 10% of the traffic."""
    console.print(
        "\n## bad-version\n\nA version at a tenth of the traffic turns bad after "
        "500 of 3,000 requests; one answer in five is rated. Bad answers delivered"
        f", means of {seeds * ROLLOUT_RUNS} seeds; in the sound run all answers "
        "of the new version.\n"
    )
    table = make_table("turn", "policy", "fixed", "module", "same share rated", "ratio")
    for degradation in (None, *Degradation):
        for label, policy in POLICIES.items():
            case = RolloutCase(degradation=degradation, policy=policy)
            uneven = RolloutCase(
                degradation=degradation, policy=policy, rates_evenly=False
            )
            fixed = measure_rollout(case, is_fixed=True, seeds=seeds)
            module = measure_rollout(case, is_fixed=False, seeds=seeds)
            before = measure_rollout(uneven, is_fixed=False, seeds=seeds)
            figures = (fixed, module, before, module / fixed)
            name = "stays sound" if degradation is None else degradation.value
            table.add_row(name, label, *map(format_figure, figures))
    console.print(table)


def print_weights(*, seeds: int, console: Console) -> None:
    """Print the loss under each policy, weighted by each user's own policy."""
    console.print(
        "\n## policy-weights\n\nEach user's cascade (preference latency) and a "
        "version rated 0.2 lower, under three policies. Cost is relative to the "
        "best model only, time (mean to first token) to cheapest first, bad answers "
        "to a fixed weight; loss is their mean by the user's own weights. Means of "
        f"{seeds} seeds.\n"
    )
    table = make_table("sample", "policy", "cost", "time", "bad", "loss")
    for sample, cascade, organisation in SAMPLES:
        own = read_sample(sample).policy
        for label, policy in POLICIES.items():
            case = make_case(
                sample,
                cascade,
                organisation,
                policy=policy,
                preference=Preference.LATENCY,
            )
            figures = _measure_loss(case, own, seeds)
            table.add_row(sample, label, *map(format_figure, figures))
    console.print(table)


def _measure_loss(case: CascadeCase, own: Policy, seeds: int) -> tuple[float, ...]:
    cost, *_, time = measure_cascade(case, rule=CascadeRule.MODULE, seeds=seeds)
    *_, slowest = measure_cascade(case, rule=CascadeRule.CHEAPEST, seeds=seeds)
    rollout = RolloutCase(degradation=Degradation.SLIGHTLY, policy=case.policy)
    fixed = measure_rollout(rollout, is_fixed=True, seeds=seeds)
    bad = measure_rollout(rollout, is_fixed=False, seeds=seeds) / fixed
    time /= slowest
    total = own.cost + own.latency + own.exposure
    loss = own.cost * cost + own.latency * time + own.exposure * bad
    return cost, time, bad, loss / total


def _list_rules() -> Iterable[tuple[str, CascadeRule, Policy]]:
    for label, policy in POLICIES.items():
        yield f"module, {label}", CascadeRule.MODULE, policy
    for rule in (CascadeRule.CHEAPEST, CascadeRule.BEST, CascadeRule.SINGLE):
        yield rule.value, rule, EQUAL_WEIGHTS


def _make_cascade_table() -> object:
    return make_table(
        "sample", "rule", "cost", "good", "rating", "first p50 s", "p95 s", "mean s"
    )


def _measure(
    answers: Sequence[DeliveredAnswer], best: Sequence[DeliveredAnswer]
) -> tuple[float, ...]:
    firsts = [one.first for one in answers]
    return (
        sum(one.cost for one in answers) / sum(one.cost for one in best),
        mean(one.is_good for one in answers),
        mean(one.rating for one in answers),
        percentile(firsts, 0.5),
        percentile(firsts, 0.95),
        mean(firsts),
    )


def _read_rungs(snapshot: Snapshot, cascade: str) -> tuple[Rung, ...]:
    models = [snapshot.models[name] for name in snapshot.cascades[cascade].rungs]
    versions = [snapshot.versions[model.versions[0]] for model in models]
    return tuple(
        Rung(model=one.model, cost=one.cost, quality=one.quality) for one in versions
    )
