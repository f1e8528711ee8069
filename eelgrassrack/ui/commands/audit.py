"""`eelgrassrack audit`: print the audit trail of document changes."""

import asyncio
import datetime
from dataclasses import dataclass
from typing import Annotated

import cappa

from ...store.audit import AuditEntry
from ...store.head import DocumentHead
from ...store.objects import Unavailable
from ..errors import OK, UnavailableError
from ..options import AsJson, ObjectsUrl
from ..output import print_json, print_table
from ..tools import Tools, make_tools

DEFAULT_LIMIT = 50


@cappa.command(name="audit", help="Print the audit trail of document changes.")
@dataclass(kw_only=True, slots=True)
class Audit:
    """Arguments of `audit`."""

    objects: ObjectsUrl
    limit: Annotated[
        int, cappa.Arg(long="--limit", help="Number of changes to print, newest first.")
    ] = DEFAULT_LIMIT
    as_json: AsJson = False

    def __call__(self, tools: Annotated[Tools, cappa.Dep(make_tools)]) -> int:
        """Read the audit trail and print it."""
        trail = asyncio.run(self.read(tools))
        if self.as_json:
            print_json(trail)
        else:
            print_trail(trail)
        return OK

    async def read(self, tools: Tools) -> tuple[AuditEntry, ...]:
        """Return the newest changes."""
        with tools.connect(self.objects) as store:
            found = await DocumentHead(store=store).audit(limit=self.limit)
        match found:
            case Unavailable(reason=reason):
                raise UnavailableError(f"platform unavailable: {reason}")
            case trail:
                return trail


def print_trail(trail: tuple[AuditEntry, ...]) -> None:
    """Print a table of changes; times are UTC."""
    print_table(
        ("revision", "from", "at", "team", "who", "changed"),
        [
            (
                entry.revision,
                entry.from_revision,
                format_time(entry.at),
                entry.team,
                entry.who,
                ", ".join(name or "preamble" for name in entry.changed),
            )
            for entry in trail
        ],
    )


def format_time(seconds: float) -> str:
    """Return a Unix time as UTC in ISO 8601."""
    time = datetime.datetime.fromtimestamp(seconds, tz=datetime.UTC)
    return time.isoformat(timespec="seconds")
