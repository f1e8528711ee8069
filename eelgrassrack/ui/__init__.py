"""The command line of eelgrassrack; `EXIT_CODES` describes its exit codes."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass

import cappa

from .. import __version__
from ..errors import UserError
from .commands.agent import Agent
from .commands.apply import Apply
from .commands.audit import Audit
from .commands.bills import Bills
from .commands.check import Check
from .commands.demo import Demo
from .commands.domain import Domain
from .commands.drain import Drain
from .commands.entry import Entry
from .commands.gateway import Gateway
from .commands.load import Load
from .commands.losses import LossesCommand
from .commands.show import Show
from .commands.status import Status
from .commands.trace import TraceCommand
from .commands.withdraw import Withdraw
from .tools import Tools, make_tools

PROGRAM = "eelgrassrack"
EXIT_CODES = (
    "Exit codes: 0 done; 1 refused, or faults were found; 2 wrong usage; "
    "3 the platform or a daemon gave no usable answer in time."
)


@cappa.command(
    name=PROGRAM,
    help="Route requests to model versions, whole and billed once.",
    epilog=EXIT_CODES,
)
@dataclass(kw_only=True, slots=True)
class Eelgrassrack:
    """The program, with one subcommand for each action."""

    command: cappa.Subcommands[
        Check
        | Apply
        | Show
        | Status
        | Bills
        | Audit
        | Withdraw
        | Domain
        | Drain
        | Entry
        | Agent
        | Gateway
        | TraceCommand
        | LossesCommand
        | Demo
        | Load
    ]


def main(argv: Sequence[str] | None = None, *, tools: Tools | None = None) -> int:
    """Run one command and return its exit code.

    `argv` defaults to the arguments of the process and `tools` to the real
    ones; tests pass their own.
    """
    deps = {make_tools: cappa.Dep(lambda: tools)} if tools else {}
    try:
        return cappa.invoke(
            Eelgrassrack,
            argv=None if argv is None else list(argv),
            deps=deps,
            version=__version__,
        )
    except UserError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return error.exit_code
