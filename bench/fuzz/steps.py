"""What may happen to a system: the steps that a run is drawn from."""

import enum
import random

import msgspec

MIN_STEPS = 8
MAX_STEPS = 16
PICKS = 1 << 16
WAITS = (0.0, 0.0, 0.05, 0.1, 0.3, 0.6)


class Kind(enum.Enum):
    """The kinds of steps."""

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


# Traffic comes more often than faults, or there would be nothing to break.
TRAFFIC = (
    Kind.CHAT,
    Kind.BURST,
    Kind.BURST,
    Kind.SESSION,
    Kind.SESSION,
    Kind.CASCADE,
    Kind.LOOKUP,
    Kind.ISSUE,
    Kind.ISSUE,
    Kind.RESEND,
    Kind.RESEND,
    Kind.GIVE_UP,
    Kind.FORBIDDEN,
)
CHOICES = tuple(Kind) + TRAFFIC


class Step(msgspec.Struct, kw_only=True, frozen=True):
    """One step: `pick` chooses its details, `wait` is the seconds after it."""

    kind: Kind
    pick: int = 0
    wait: float = 0.0


def draw_steps(*, seed: int, most: int = MAX_STEPS) -> list[Step]:
    """Return the steps of a seed, at most so many, always the same."""
    chance = random.Random(seed)
    return [
        Step(
            kind=chance.choice(CHOICES),
            pick=chance.randrange(PICKS),
            wait=chance.choice(WAITS),
        )
        for _ in range(chance.randint(MIN_STEPS, most))
    ]
