"""`eelgrassrack demo`: run everything in one process with mixed traffic."""

from dataclasses import dataclass

import cappa


@cappa.command(name="demo", help="Run everything in one process with mixed traffic.")
@dataclass(kw_only=True, slots=True)
class Demo:
    """Arguments of `demo`."""

    def __call__(self) -> int:
        """Run the demo; the exit code reports a broken invariant."""
        from ...demo import run

        return run()
