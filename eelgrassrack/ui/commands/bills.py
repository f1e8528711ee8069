"""`eelgrassrack bills`: print the sums of each organisation's bills."""

import asyncio
from dataclasses import dataclass
from typing import Annotated

import cappa

from ...invariants import Invariants
from ...store.objects import Unavailable
from ...store.totals import BillTotals, read_totals
from ..errors import OK, REFUSED, UnavailableError
from ..options import AsJson, ObjectsUrl
from ..output import print_json, print_table
from ..tools import Tools, make_tools

MILLIONTHS_PER_UNIT = 1_000_000


@cappa.command(name="bills", help="Print the sums of bills by organisation.")
@dataclass(kw_only=True, slots=True)
class Bills:
    """Arguments of `bills`."""

    objects: ObjectsUrl
    as_json: AsJson = False

    def __call__(self, tools: Annotated[Tools, cappa.Dep(make_tools)]) -> int:
        """Add up the ledgers and print the sums.

        The exit code reports a bill counted twice or a missing ledger.
        """
        totals = asyncio.run(self.read(tools))
        if self.as_json:
            print_json(totals)
        else:
            print_totals(totals)
        return REFUSED if totals.doubled or not totals.complete else OK

    async def read(self, tools: Tools) -> BillTotals:
        """Return the sums of all organisations."""
        with tools.connect(self.objects) as store:
            found = await read_totals(store=store, invariants=Invariants(strict=False))
        match found:
            case BillTotals() as totals:
                return totals
            case Unavailable(reason=reason):
                raise UnavailableError(f"platform unavailable: {reason}")


def print_totals(totals: BillTotals) -> None:
    """Print a table of the sums, then doubled bills and missing ledgers."""
    print_table(
        ("organisation", "requests", "attempts", "prompt", "completion", "money"),
        [
            (
                sums.organisation,
                sums.requests,
                sums.attempts,
                sums.prompt_tokens,
                sums.completion_tokens,
                f"{sums.money / MILLIONTHS_PER_UNIT:.6f}",
            )
            for sums in totals.organisations
        ],
    )
    if totals.doubled:
        print(f"billed twice: {', '.join(totals.doubled)}")
    if not totals.complete:
        print(f"incomplete: only {totals.ledgers} ledgers were added up")
