"""The steps of a run: calls, changes and faults, drawn at random from a seed."""

import enum
import random

import msgspec

MIN_STEPS = 8
MAX_STEPS = 16
PICKS = 1 << 16
WAITS = (0.0, 0.0, 0.05, 0.1, 0.3, 0.6)


class StepKind(enum.Enum):
    """The kinds of steps.

    The order of the members determines which steps a seed draws.
    """

    CHAT = "chat"
    BURST = "burst"
    SESSION = "session"
    CASCADE = "cascade"
    FORBIDDEN = "forbidden"
    LOOKUP = "lookup"
    ISSUE = "issue"
    RESEND = "resend"
    GIVE_UP = "give up"
    POISON = "poison"
    VERSION = "version"
    DOMAIN = "domain"
    RACE = "race"
    KILL_ENTRY = "kill entry"
    STOP_ENTRY = "stop entry"
    KILL_AGENT = "kill agent"
    STOP_AGENT = "stop agent"
    START = "start"
    FREEZE_ENTRY = "freeze entry"
    FREEZE_AGENT = "freeze agent"
    CUT = "cut"
    LATE = "late"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_LOSES = "store loses"
    LIST_DOWN = "list down"
    CRASH_ENGINE = "crash engine"
    COLD_ENGINE = "cold engine"
    SLOW_ENGINE = "slow engine"
    CRASH_SERVICE = "crash service"
    SLOW_SERVICE = "slow service"
    HEAL = "heal"
    WAIT = "wait"


# Traffic steps are listed again so that they are drawn more often than faults:
# a fault without traffic can break nothing.
TRAFFIC = (
    StepKind.CHAT,
    StepKind.BURST,
    StepKind.BURST,
    StepKind.SESSION,
    StepKind.SESSION,
    StepKind.CASCADE,
    StepKind.LOOKUP,
    StepKind.ISSUE,
    StepKind.ISSUE,
    StepKind.RESEND,
    StepKind.RESEND,
    StepKind.GIVE_UP,
    StepKind.FORBIDDEN,
)
CHOICES = tuple(StepKind) + TRAFFIC


class Step(msgspec.Struct, kw_only=True, frozen=True):
    """One step of a run.

    `pick` is a number from which the step derives its details; `wait` is the pause
    after the step in seconds.
    """

    kind: StepKind
    pick: int = 0
    wait: float = 0.0


def draw_steps(*, seed: int, most: int = MAX_STEPS) -> list[Step]:
    """Return the steps of a seed, at most `most`; a seed always draws the same."""
    rng = random.Random(seed)
    return [
        Step(
            kind=rng.choice(CHOICES),
            pick=rng.randrange(PICKS),
            wait=rng.choice(WAITS),
        )
        for _ in range(rng.randint(MIN_STEPS, most))
    ]
