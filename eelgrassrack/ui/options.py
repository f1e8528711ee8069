"""Options that several commands share."""

from typing import Annotated

import cappa

OBJECTS_VARIABLE = "EELGRASSRACK_OBJECTS"

AsJson = Annotated[
    bool, cappa.Arg(long="--json", help="Print JSON instead of a table.")
]
ObjectsUrl = Annotated[
    str,
    cappa.Arg(
        long="--objects",
        value_name="URL",
        default=cappa.Env(OBJECTS_VARIABLE),
        help="The platform's object API.",
    ),
]
TeamName = Annotated[
    str, cappa.Arg(long="--as", value_name="TEAM", help="The team that acts.")
]
_ENTRY_HELP = "An entry to ask; may be given several times."
EntryUrls = Annotated[
    list[str], cappa.Arg(long="--entry", value_name="URL", help=_ENTRY_HELP)
]
RequiredEntryUrls = Annotated[
    list[str],
    cappa.Arg(long="--entry", value_name="URL", help=_ENTRY_HELP, required=True),
]
