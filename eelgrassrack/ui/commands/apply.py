"""`eelgrassrack apply`: put a team's own sections in force."""

import asyncio
import pathlib
from dataclasses import dataclass, field
from typing import Annotated

import cappa
import msgspec

from ...document.edits import resolve_api_keys
from ...document.parser import check_sections
from ...settings import read_text
from ...statuses import EntryStatus
from ...store.head import DocumentHead
from ..changes import Change, apply_text, print_change
from ..errors import OK, UNAVAILABLE, RefusedError
from ..options import AsJson, EntryUrls, ObjectsUrl, TeamName
from ..output import print_json
from ..statuses import fetch_statuses
from ..tools import Tools, make_tools

POLL_SECONDS = 0.25


class InForce(msgspec.Struct, kw_only=True, frozen=True):
    """Numbers of daemons with a revision in force, and of all daemons seen."""

    entries: int
    all_entries: int
    agents: int
    all_agents: int

    @property
    def is_everywhere(self) -> bool:
        """Return whether all these daemons have the revision in force."""
        return self.entries == self.all_entries and self.agents == self.all_agents


class ApplyOutput(msgspec.Struct, kw_only=True, frozen=True):
    """What `apply --json` prints."""

    change: Change
    in_force: InForce | None = None


@cappa.command(name="apply", help="Put a team's sections of a document in force.")
@dataclass(kw_only=True, slots=True)
class Apply:
    """Arguments of `apply`."""

    file: Annotated[str, cappa.Arg(help="The document.")]
    sections: Annotated[
        list[str],
        cappa.Arg(
            long="--section",
            value_name="PATTERN",
            required=True,
            help="Sections to take, such as 'version assess/*'; may be repeated.",
        ),
    ]
    team: TeamName
    objects: ObjectsUrl
    wait: Annotated[
        float | None,
        cappa.Arg(
            long="--wait",
            value_name="SECONDS",
            help="Wait until the daemons seen through --entry have it in force.",
        ),
    ] = None
    entries: EntryUrls = field(default_factory=list)
    as_json: AsJson = False

    def __call__(self, tools: Annotated[Tools, cappa.Dep(make_tools)]) -> int:
        """Apply the sections."""
        if self.wait is not None and not self.entries:
            raise cappa.Exit("--wait needs at least one --entry URL", code=2)
        return asyncio.run(self.run(tools))

    async def run(self, tools: Tools) -> int:
        """Apply the sections; with `--wait`, wait until they are in force."""
        proposed = self._read_proposed(tools)
        with tools.connect(self.objects) as store:
            head = DocumentHead(store=store)
            change = await apply_text(
                head=head,
                tools=tools,
                team=self.team,
                patterns=self.sections,
                proposed=proposed,
            )
        in_force = None
        if self.wait is not None:
            in_force = await self._wait_for(change.revision, tools)
        if self.as_json:
            print_json(ApplyOutput(change=change, in_force=in_force))
        else:
            print_change(change, as_json=False)
            print_in_force(in_force)
        return OK if in_force is None or in_force.is_everywhere else UNAVAILABLE

    def _read_proposed(self, tools: Tools) -> str:
        """Return the file's text; raise a `RefusedError` if it has faults.

        Only the selected sections are checked here, so that faults name lines
        of the file.  References to other teams' sections are checked when the
        document is merged.
        """
        text = resolve_api_keys(
            text=read_text(pathlib.Path(self.file)),
            patterns=self.sections,
            environment=tools.environment,
        )
        faults = check_sections(text=text, file=self.file, patterns=self.sections)
        if faults:
            raise RefusedError(f"refused: faults in {self.file}\n{faults}")
        return text

    async def _wait_for(self, revision: int, tools: Tools) -> InForce:
        """Poll the entries until all have the revision or the wait ends."""
        end = tools.clock() + self.wait
        while True:
            statuses = await fetch_statuses(tools=tools, urls=self.entries)
            in_force = count_in_force(statuses, revision)
            if in_force.is_everywhere or tools.clock() >= end:
                return in_force
            await tools.sleep(POLL_SECONDS)


def count_in_force(statuses: tuple[object, ...], revision: int) -> InForce:
    """Count the daemons that have a revision, or a newer one, in force.

    Of an agent that several entries report, the newest revision counts.
    """
    entries = [status for status in statuses if isinstance(status, EntryStatus)]
    agents: dict[str, int] = {}
    for endpoint in (endpoint for entry in entries for endpoint in entry.endpoints):
        if endpoint.revision is not None:
            newest = agents.get(endpoint.name, 0)
            agents[endpoint.name] = max(newest, endpoint.revision)
    return InForce(
        entries=sum(entry.revision >= revision for entry in entries),
        all_entries=len(statuses),
        agents=sum(newest >= revision for newest in agents.values()),
        all_agents=len(agents),
    )


def print_in_force(in_force: InForce | None) -> None:
    """Print how many daemons have the change in force."""
    if in_force is None:
        return
    print(
        f"in force at {in_force.entries} of {in_force.all_entries} entries, "
        f"{in_force.agents} of {in_force.all_agents} agents"
    )
