"""What endpoints do with requests, at random."""

import enum
import random
from collections.abc import Callable

from eelgrassrack.standins.directengine import Break, Echo, Events, Hang, Reply, Step

EVENTS = 6
GAP_SECONDS = 0.03
DELAY_SECONDS = 0.02
# How many steps are drawn ahead; the last, a steady one, goes on for ever.
STEPS = 300
LOW_CONFIDENCE = 5


class Temper(enum.Enum):
    """How an endpoint does its work."""

    STEADY = "steady"
    SLOW = "slow"
    STALLING = "stalling"
    SILENT = "silent"
    BREAKING = "breaking"
    UNSURE = "unsure"
    MIXED = "mixed"


# The others, as often as a mixed endpoint shows them.
SHARES = {
    Temper.STEADY: 10,
    Temper.SLOW: 2,
    Temper.STALLING: 2,
    Temper.SILENT: 1,
    Temper.BREAKING: 1,
    Temper.UNSURE: 2,
}


def make_script(letter: str, temper: Temper, dice: random.Random) -> list[Step]:
    """Return the steps of an endpoint, by the first letter of its name."""
    make = MAKERS[letter]
    if temper is Temper.STEADY:
        return [make(temper, dice)]
    tempers = [temper] * STEPS
    if temper is Temper.MIXED:
        tempers = dice.choices([*SHARES], weights=SHARES.values(), k=STEPS)
    return [make(one, dice) for one in tempers] + [make(Temper.STEADY, dice)]


def _make_stream(temper: Temper, dice: random.Random) -> Step:
    match temper:
        case Temper.SLOW:
            return Events(count=EVENTS, gap=dice.uniform(0.3, 1.4))
        case Temper.STALLING:
            return Events(
                count=EVENTS,
                gap=GAP_SECONDS,
                pauses_after=dice.randrange(1, EVENTS),
                pause=dice.uniform(0.5, 6.0),
            )
        case Temper.SILENT:
            return Hang()
        case Temper.BREAKING:
            return Events(
                count=EVENTS, gap=GAP_SECONDS, breaks_after=dice.randrange(EVENTS)
            )
        case Temper.UNSURE:
            return Events(count=EVENTS, gap=GAP_SECONDS, confidence=LOW_CONFIDENCE)
        case _:
            return Events(count=EVENTS, gap=GAP_SECONDS)


def _make_echo(temper: Temper, dice: random.Random) -> Step:
    match temper:
        case Temper.SLOW | Temper.STALLING:
            return Echo(delay=dice.uniform(0.2, 4.0))
        case Temper.SILENT:
            return Hang()
        case Temper.BREAKING:
            return dice.choice([Break(), Reply(status=500)])
        case _:
            return Echo(delay=DELAY_SECONDS)


MAKERS: dict[str, Callable[[Temper, random.Random], Step]] = {
    "p": _make_echo,
    "m": _make_stream,
}
