"""`eelgrassrack losses`: why requests were late or lost, by gateways' logs."""

import pathlib
from dataclasses import dataclass
from typing import Annotated

import cappa

from ...losses import count_causes, find_losses
from ...requesttrace import read_files
from ..errors import OK
from ..options import AsJson
from ..output import print_json, print_table

HEADINGS = ("cause", "lost", "late", "mean s", "endpoint, most often")


@cappa.command(
    name="losses", help="Show why requests were late or lost, by gateways' logs."
)
@dataclass(kw_only=True, slots=True)
class LossesCommand:
    """Arguments of `losses`."""

    files: Annotated[list[str], cappa.Arg(help="Logs of one or more gateways.")]
    each: Annotated[
        bool, cappa.Arg(long=True, help="Show each request, not the causes' counts.")
    ] = False
    as_json: AsJson = False

    def __call__(self) -> int:
        """Read the logs and print the causes."""
        lines, unread = read_files(pathlib.Path(file) for file in self.files)
        losses = find_losses(lines)
        counts = count_causes(losses)
        if self.as_json:
            print_json(losses if self.each else counts)
            return OK
        if self.each:
            for one in losses:
                kind = "lost" if one.is_lost else "late"
                tried = ",".join(one.endpoints) or "none"
                print(f"{one.time:.3f} {one.request} {kind} {one.cause.value}: {tried}")
        else:
            print_table(
                HEADINGS,
                [
                    (one.cause.value, one.lost, one.late, one.mean_seconds, one.busiest)
                    for one in counts
                ],
            )
        if unread:
            print(f"{unread} lines couldn't be read")
        return OK
