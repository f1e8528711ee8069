"""The scenarios on a fleet of endpoints, and the rules that each one compares."""

import dataclasses
import math
from collections.abc import Callable, Sequence

from eelgrassrack.document.snapshot import Snapshot

from .fleet import LENGTH_SPREAD, Change, Fleet, Flow, read_sample
from .results import Result
from .rules import MODULES, NAIVE, PlacementRule, QueueRule, Rules, make_rules

# A caller that is refused or times out sends its call again this many times.
MAX_RESENDS = 3

# The mean of a log-normal length, relative to its median.
MEAN_FACTOR = math.exp(LENGTH_SPREAD**2 / 2)

FIFO = make_rules("FIFO in place of fair turns", queue=QueueRule.FIFO, reserves=False)
ADMIT_ALL = make_rules("no admission", admits_all=True)
OWN_UNKNOWN = make_rules("admission by the whole backlog", separates_own=False)
NO_RESERVE = make_rules("no reserved slots", reserves=False)
FREE_RETRIES = make_rules("no retry budget", retries_freely=True)
FIXED_WINDOW = make_rules("fixed window", fixed_window=True)
NO_RAMP = make_rules("no ramp", ramps=False)
COLD_NAIVE = make_rules(
    "fixed window, no ramp, no budget",
    fixed_window=True,
    ramps=False,
    retries_freely=True,
)
PLACEMENTS = tuple(
    make_rules(rule.value, placement=rule)
    for rule in (PlacementRule.ROUND_ROBIN, PlacementRule.RANDOM, PlacementRule.LEAST)
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Group:
    """Requests of one organisation and kind, with a table row of their own."""

    organisation: str
    kind: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """A scenario: the load, changes of the fleet, and the rules to compare.

    `make_flows` gets the capacity of the fleet in tokens a second.  Results before
    `warm_up` seconds are left out.  `slow` and `cold` are indices of endpoints.
    """

    name: str
    summary: str
    rules: tuple[Rules, ...]
    make_flows: Callable[[float], Sequence[Flow]]
    groups: tuple[Group, ...]
    changes: tuple[Change, ...] = ()
    seconds: float = 120.0
    warm_up: float = 20.0
    per_domain: int = 3
    slow: tuple[int, ...] = ()
    cold: tuple[int, ...] = ()

    def play(self, *, rules: Rules, seed: int) -> Result:
        """Run the scenario once."""
        fleet = Fleet(
            rules=rules,
            seed=seed,
            per_domain=self.per_domain,
            slow=self.slow,
            cold=self.cold,
        )
        return fleet.play(
            flows=self.make_flows(fleet.speed),
            seconds=self.seconds,
            warm_up=self.warm_up,
            changes=self.changes,
        )


def make_flow(
    snapshot: Snapshot,
    organisation: str,
    kind: str,
    *,
    speed: float,
    tokens: float,
    within: float = 30.0,
    **rest: object,
) -> Flow:
    """Return a flow whose answers have `speed` tokens a second in all.

    `tokens` is the median length of an answer.
    """
    return Flow(
        organisation=snapshot.organisations[organisation],
        kind=kind,
        rate=speed / (tokens * MEAN_FACTOR),
        tokens=tokens,
        within=within,
        resends=MAX_RESENDS,
        **rest,
    )


def make_quiet(snapshot: Snapshot) -> Flow:
    """Return a flow of one short request a second by a quiet organisation."""
    return make_flow(
        snapshot, "college-windsor", "short", speed=60.0 * MEAN_FACTOR, tokens=60
    )


def mix_keelwater(factor: float, **rest: object) -> Callable[[float], list[Flow]]:
    """Return a function that makes Keelwater's flows.

    Their load is `factor` times the capacity of the fleet, besides the quiet flow.
    """
    snapshot = read_sample("keelwater")
    parts = (
        ("candidates", "short", 0.25, 60),
        ("college-lansing", "long", 0.35, 300),
        ("assessors", "long", 0.4, 200),
    )

    def make(speed: float) -> list[Flow]:
        return [make_quiet(snapshot)] + [
            make_flow(
                snapshot, name, kind, speed=speed * factor * part, tokens=tokens, **rest
            )
            for name, kind, part, tokens in parts
        ]

    return make


def mix_burst(speed: float) -> list[Flow]:
    """Return flows at half the capacity, with a burst.

    The burst adds four times the capacity for ten seconds.
    """
    burst = mix_keelwater(4.0, start=40.0, stop=50.0)(speed)[1:]
    return mix_keelwater(0.5)(speed) + burst


def mix_hot_organisation(speed: float) -> list[Flow]:
    """Return one flow at three times the capacity and others at 0.3 of it."""
    snapshot = read_sample("keelwater")
    hot = make_flow(
        snapshot, "college-toledo", "long", speed=speed * 3, tokens=200, start=20.0
    )
    return [*mix_keelwater(0.3)(speed), hot]


def mix_hot_prefix(speed: float) -> list[Flow]:
    """Return flows at half the capacity, half of which share a prompt prefix."""
    snapshot = read_sample("keelwater")
    hot = make_flow(
        snapshot,
        "candidates",
        "prefix",
        speed=speed * 0.25,
        tokens=60,
        affinity="study guide",
    )
    return [*mix_keelwater(0.25)(speed), hot]


def mix_cimq(speed: float) -> list[Flow]:
    """Return long reviews beyond the capacity, and some short requests."""
    snapshot = read_sample("cimq")
    reviews = [
        make_flow(
            snapshot,
            name,
            "review",
            speed=speed * part,
            tokens=900,
            within=600.0,
        )
        for name, part in (("acier-saguenay", 0.8), ("aluminium-nord", 0.5))
    ]
    shorts = [
        make_flow(snapshot, name, "short", speed=speed * part, tokens=60, within=120.0)
        for name, part in (("acier-saguenay", 0.05), ("meubles-beauce", 0.05))
    ]
    return [*reviews, *shorts]


def _set_domain(is_in: bool) -> Callable[[Fleet], None]:
    return lambda fleet: fleet.set_domain("a", is_in)


QUIET = Group(organisation="college-windsor", kind="short")
KEELWATER = (
    QUIET,
    Group(organisation="candidates", kind="short"),
    Group(organisation="college-lansing", kind="long"),
    Group(organisation="assessors", kind="long"),
)
OVERLOAD = (MODULES, NO_RESERVE, OWN_UNKNOWN, FIFO, ADMIT_ALL, FREE_RETRIES, NAIVE)

CASES = (
    Case(
        name="unloaded",
        summary="0.3 of the capacity: what the waits are compared with.",
        rules=(MODULES, NAIVE),
        make_flows=mix_keelwater(0.3),
        groups=KEELWATER,
    ),
    Case(
        name="burst",
        summary="0.5 of the capacity, and 4 more from second 40 to 50.",
        rules=(MODULES, FIFO, ADMIT_ALL, NAIVE),
        make_flows=mix_burst,
        groups=KEELWATER,
        warm_up=38.0,
    ),
    Case(
        name="hot-organisation",
        summary="One organisation sends 3 times the capacity, all others 0.3.",
        rules=(MODULES, OWN_UNKNOWN, FIFO, NAIVE),
        make_flows=mix_hot_organisation,
        groups=(*KEELWATER, Group(organisation="college-toledo", kind="long")),
        warm_up=30.0,
    ),
    Case(
        name="hot-prefix",
        summary="0.5 of the capacity; half of it shares one prompt prefix.",
        rules=(
            MODULES,
            make_rules("round robin", placement=PlacementRule.ROUND_ROBIN),
            make_rules("pinned to its prefix", placement=PlacementRule.PINNED),
        ),
        make_flows=mix_hot_prefix,
        groups=(QUIET, Group(organisation="candidates", kind="prefix")),
    ),
    Case(
        name="slow-endpoint",
        summary="0.8 of the capacity; one endpoint of 12 is 10 times slower.",
        rules=(MODULES, *PLACEMENTS),
        make_flows=mix_keelwater(0.8),
        groups=KEELWATER,
        per_domain=4,
        slow=(4,),
    ),
    Case(
        name="equal-endpoints",
        summary="0.8 of the capacity; 12 equal endpoints.",
        rules=(MODULES, *PLACEMENTS),
        make_flows=mix_keelwater(0.8),
        groups=KEELWATER,
        per_domain=4,
    ),
    Case(
        name="long-among-short",
        summary="CIMQ: reviews at 1.3 of the capacity, short requests at 0.1.",
        rules=(MODULES, NO_RESERVE, FIFO, NAIVE),
        make_flows=mix_cimq,
        groups=(
            Group(organisation="acier-saguenay", kind="review"),
            Group(organisation="aluminium-nord", kind="review"),
            Group(organisation="acier-saguenay", kind="short"),
            Group(organisation="meubles-beauce", kind="short"),
        ),
        seconds=900.0,
        warm_up=200.0,
    ),
    Case(
        name="overload-2x",
        summary="Twice the capacity; callers come back.",
        rules=OVERLOAD,
        make_flows=mix_keelwater(2.0),
        groups=KEELWATER,
    ),
    Case(
        name="overload-5x",
        summary="Five times the capacity; callers come back.",
        rules=OVERLOAD,
        make_flows=mix_keelwater(5.0),
        groups=KEELWATER,
    ),
    Case(
        name="domain",
        summary="0.6 of the capacity; a domain of three out at 40 s, in at 80 s.",
        rules=(MODULES, NO_RAMP, FIXED_WINDOW, COLD_NAIVE, NAIVE),
        make_flows=mix_keelwater(0.6),
        groups=KEELWATER,
        changes=((40.0, _set_domain(False)), (80.0, _set_domain(True))),
        seconds=150.0,
        warm_up=38.0,
    ),
    Case(
        name="domain-full",
        summary="0.75 of the capacity; a domain of three out at 40 s, in at 80 s.",
        rules=(MODULES, NO_RAMP, FIXED_WINDOW, COLD_NAIVE, NAIVE),
        make_flows=mix_keelwater(0.75),
        groups=KEELWATER,
        changes=((40.0, _set_domain(False)), (80.0, _set_domain(True))),
        seconds=150.0,
        warm_up=38.0,
    ),
    Case(
        name="half-cold",
        summary="0.6 of the capacity; four of nine endpoints begin cold.",
        rules=(MODULES, FREE_RETRIES, FIXED_WINDOW, COLD_NAIVE, NAIVE),
        make_flows=mix_keelwater(0.6),
        groups=KEELWATER,
        cold=(0, 1, 2, 3),
        warm_up=0.0,
    ),
)
