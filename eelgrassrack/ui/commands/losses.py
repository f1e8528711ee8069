"""`eelgrassrack losses`: show why requests were late or lost."""

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
    name="losses", help="Show from gateways' logs why requests were late or lost."
)
@dataclass(kw_only=True, slots=True)
class LossesCommand:
    """Arguments of `losses`."""

    files: Annotated[list[str], cappa.Arg(help="Logs of one or more gateways.")]
    each: Annotated[
        bool, cappa.Arg(long=True, help="Show each request instead of counts by cause.")
    ] = False
    as_json: AsJson = False

    def __call__(self) -> int:
        """Read the logs and print the losses, or their counts by cause."""
        lines, unread = read_files(pathlib.Path(file) for file in self.files)
        losses = find_losses(lines)
        counts = count_causes(losses)
        if self.as_json:
            print_json(losses if self.each else counts)
            return OK
        if self.each:
            for loss in losses:
                kind = "lost" if loss.is_lost else "late"
                tried = ",".join(loss.endpoints) or "none"
                print(
                    f"{loss.time:.3f} {loss.request} {kind} {loss.cause.value}: {tried}"
                )
        else:
            print_table(
                HEADINGS,
                [
                    (row.cause.value, row.lost, row.late, row.mean_seconds, row.busiest)
                    for row in counts
                ],
            )
        if unread:
            print(f"{unread} lines couldn't be read")
        return OK
