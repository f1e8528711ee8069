"""`eelgrassrack trace`: print what gateways logged about one request."""

import pathlib
from dataclasses import dataclass
from typing import Annotated

import cappa

from ...requesttrace import Trace, read_files, trace_request
from ..errors import OK, REFUSED
from ..options import AsJson
from ..output import print_json


@cappa.command(
    name="trace",
    help="Show the lines of gateways' logs about a request, and others around it.",
)
@dataclass(kw_only=True, slots=True)
class TraceCommand:
    """Arguments of `trace`."""

    request: Annotated[str, cappa.Arg(help="The request's id.")]
    files: Annotated[list[str], cappa.Arg(help="Logs of one or more gateways.")]
    as_json: AsJson = False

    def __call__(self) -> int:
        """Read the logs and print the lines."""
        lines, unread = read_files(pathlib.Path(file) for file in self.files)
        trace = trace_request(self.request, lines=lines, unread=unread)
        if self.as_json:
            print_json(trace)
        else:
            _print(trace)
        return OK if trace.own else REFUSED


def _print(trace: Trace) -> None:
    """Print the lines, with an asterisk before the request's own ones."""
    if not trace.own:
        print(f"{trace.request}: not in these logs")
    for line in trace.list_all():
        mark = "*" if line in trace.own else " "
        print(f"{mark} {line.time:.3f} {line.file} {line.message}")
    if trace.unread:
        print(f"{trace.unread} lines couldn't be read")
