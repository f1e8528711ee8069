"""What is played while most new connections go to one gateway."""

import msgspec


class Variant(msgspec.Struct, kw_only=True, frozen=True):
    """One kind of play.

    `rate` is how many requests a second come before, `during` while connections go to
    the hot gateways, all others' load included.  Each endpoint names a limit if
    `limit_factor` is set: in sum that many times what comes.  Each gateway gets
    `core_share` of a core if it is set.  `hot` is how many gateways are hot at once.
    The hot one is killed or suspended in the middle; `moves_every` seconds another one
    takes its place.
    """

    name: str
    rate: float = 40.0
    during: float = 80.0
    gateways: int = 8
    hot: int = 1
    limit_factor: float | None = None
    core_share: float | None = None
    is_killed: bool = False
    is_suspended: bool = False
    moves_every: float | None = None
    is_spread: bool = False


VARIANTS = (
    Variant(name="plain"),
    Variant(name="killed", is_killed=True),
    Variant(name="limits", limit_factor=2.0),
    Variant(name="limits-24", limit_factor=2.0, gateways=24),
    Variant(name="limits-killed", limit_factor=2.0, is_killed=True),
    Variant(name="limits-suspended", limit_factor=2.0, is_suspended=True),
    Variant(name="limits-moving", limit_factor=2.0, moves_every=2.5),
    Variant(name="limits-two", limit_factor=2.0, hot=2),
    Variant(name="limits-spread", limit_factor=0.7, is_spread=True),
    Variant(name="core-0.25", core_share=0.25, rate=80.0, during=160.0),
    Variant(name="core-0.15", core_share=0.15, rate=80.0, during=160.0),
    Variant(
        name="core-0.15-killed",
        core_share=0.15,
        rate=80.0,
        during=160.0,
        is_killed=True,
    ),
    Variant(name="core-0.15-two", core_share=0.15, rate=80.0, during=160.0, hot=2),
    Variant(
        name="core-0.15-moving",
        core_share=0.15,
        rate=80.0,
        during=160.0,
        moves_every=2.5,
    ),
    Variant(name="core-0.1", core_share=0.1, rate=40.0, during=80.0),
    Variant(
        name="core-0.1-spread",
        core_share=0.1,
        rate=80.0,
        during=320.0,
        is_spread=True,
    ),
)


def find_variant(name: str) -> Variant:
    """Return the variant of a name; raise `StopIteration` without one."""
    return next(variant for variant in VARIANTS if variant.name == name)
