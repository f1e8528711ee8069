"""`eelgrassrack agent`: run an agent daemon."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from ...logs import install_handlers
from ...settings import read_agent_settings


@cappa.command(name="agent", help="Run an agent daemon next to an endpoint.")
@dataclass(kw_only=True, slots=True)
class Agent:
    """Arguments of `agent`."""

    settings: Annotated[str, cappa.Arg(help="The settings file.")]

    def __call__(self) -> int:
        """Run until stopped."""
        settings = read_agent_settings(self.settings)
        from ...agent.daemon import run

        install_handlers(settings.log)
        return run(settings)
