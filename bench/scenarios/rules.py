"""The rules of a run: the project's decision modules, or simple replacements."""

import dataclasses
import enum


class QueueRule(enum.Enum):
    """The order in which an agent serves queued requests."""

    FAIR = "fair"
    FIFO = "fifo"


class PlacementRule(enum.Enum):
    """How an entry chooses an endpoint."""

    MODULE = "module"
    ROUND_ROBIN = "round robin"
    RANDOM = "random"
    LEAST = "least reported"
    PINNED = "pinned to its prefix"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rules:
    """The rule for each decision of a run.

    `admits_all` disables admission control, `retries_freely` the retry budget, and
    `fixed_window` the smaller window of a cold start.  `ramps` raises the load of
    returning domains step by step.  `reserves` keeps slots for organisations below
    their share.  With `separates_own` admission knows how much of a backlog belongs
    to the caller's own organisation.
    """

    name: str = "modules"
    queue: QueueRule = QueueRule.FAIR
    placement: PlacementRule = PlacementRule.MODULE
    admits_all: bool = False
    retries_freely: bool = False
    fixed_window: bool = False
    ramps: bool = True
    reserves: bool = True
    separates_own: bool = True


MODULES = Rules()
NAIVE = Rules(
    name="FIFO, round robin, no admission, no budget",
    queue=QueueRule.FIFO,
    placement=PlacementRule.ROUND_ROBIN,
    admits_all=True,
    retries_freely=True,
    fixed_window=True,
    ramps=False,
    reserves=False,
    separates_own=False,
)


def make_rules(name: str, **changes: object) -> Rules:
    """Return the rules of the modules with the given changes."""
    return dataclasses.replace(MODULES, name=name, **changes)
