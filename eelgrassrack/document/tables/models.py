"""Sections about models, their versions and cascades."""

from ..checks import Choice, Items, Number
from ..schema import Key, SectionKind
from ..sections import Cascade, Model, Version, VersionState
from .texts import NAME, VERSION_NAME

MODEL = SectionKind(
    kind="model",
    struct=Model,
    meaning="A model; its versions are the sections `[version MODEL/LABEL]`.",
    name=NAME,
    keys=(
        Key(
            name="aliases",
            check=Items(item=NAME),
            meaning="Other names that callers may use.",
        ),
    ),
)

VERSION = SectionKind(
    kind="version",
    struct=Version,
    meaning="One version of a model, named MODEL/LABEL.",
    name=VERSION_NAME,
    keys=(
        Key(
            name="state",
            check=Choice(options=VersionState),
            meaning="Whether it may be given new work.",
        ),
        Key(
            name="weight",
            check=Number(low=0, high=100),
            unit="share",
            meaning="Planned share of its model's new work, relative to the "
            "model's other active versions.",
        ),
        Key(
            name="cost",
            check=Number(low=0, high=1_000_000),
            unit="money units/1,000 tokens",
            meaning="Price of its tokens.",
        ),
        Key(
            name="quality",
            check=Number(low=0, high=1),
            unit="rating",
            meaning="Expected rating until answers are rated.",
        ),
    ),
)

CASCADE = SectionKind(
    kind="cascade",
    struct=Cascade,
    meaning="Models tried in order, cheapest first, until one is good enough.",
    name=NAME,
    keys=(
        Key(
            name="rungs",
            check=Items(item=NAME, min_items=1),
            meaning="Model names, cheapest first.",
        ),
    ),
)
