"""`eelgrassrack entry`: run an entry daemon."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from ...logs import install_handlers
from ...settings import read_entry_settings


@cappa.command(name="entry", help="Run an entry daemon.")
@dataclass(kw_only=True, slots=True)
class Entry:
    """Arguments of `entry`."""

    settings: Annotated[str, cappa.Arg(help="The settings file.")]

    def __call__(self) -> int:
        """Run until stopped."""
        settings = read_entry_settings(self.settings)
        from ...entry.daemon import run

        install_handlers(settings.log)
        return run(settings)
