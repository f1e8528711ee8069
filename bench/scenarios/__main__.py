"""Print the result tables of scenarios: `python -m bench.scenarios [name...]`."""

import dataclasses
import sys
from typing import Annotated

import cappa
from rich.console import Console

from .answertables import print_cost, print_rating_outage, print_rollout, print_weights
from .cases import CASES
from .tables import print_case

WIDTH = 200

ANSWERS = {
    "cost-at-quality": print_cost,
    "rating-away": print_rating_outage,
    "bad-version": print_rollout,
    "policy-weights": print_weights,
}


@dataclasses.dataclass(slots=True, kw_only=True)
class Scenarios:
    """Play scenarios of decisions under load in virtual time.

    Without names all of them are played.
    """

    names: list[str] = dataclasses.field(default_factory=list)
    seeds: Annotated[int, cappa.Arg(long=True)] = 5


def main() -> None:
    """Play the scenarios named on the command line."""
    command = cappa.parse(Scenarios)
    known = [case.name for case in CASES] + list(ANSWERS)
    unknown = set(command.names) - set(known)
    if unknown:
        sys.exit(f"no such scenario: {', '.join(sorted(unknown))}; of {known}")
    console = Console(width=WIDTH)
    chosen = command.names or known
    for case in CASES:
        if case.name in chosen:
            print_case(case, seeds=command.seeds, console=console)
    for name, show in ANSWERS.items():
        if name in chosen:
            show(seeds=command.seeds, console=console)


if __name__ == "__main__":
    main()
