"""`eelgrassrack gateway`: run a gateway on the platform."""

from dataclasses import dataclass
from typing import Annotated

import cappa


@cappa.command(name="gateway", help="Run a gateway on the platform.")
@dataclass(kw_only=True, slots=True)
class Gateway:
    """Arguments of `gateway`."""

    settings: Annotated[str, cappa.Arg(help="The settings file.")]

    def __call__(self) -> int:
        """Run until stopped."""
        from ...gateway.__main__ import main

        return main([self.settings])
