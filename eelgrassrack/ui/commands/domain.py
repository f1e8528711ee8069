"""`eelgrassrack domain`: take a failure domain out of service or back in."""

import asyncio
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

from ...document.lines import SectionName
from ...store.head import DocumentHead
from ..changes import Change, print_change, read_head, set_state
from ..errors import OK, RefusedError
from ..options import AsJson, ObjectsUrl, TeamName
from ..tools import Tools, make_tools


@cappa.command(name="domain", help="Take a failure domain out of service or back in.")
@dataclass(kw_only=True, slots=True)
class Domain:
    """Arguments of `domain`."""

    state: Annotated[Literal["out", "in"], cappa.Arg(help="Its new state.")]
    name: Annotated[str, cappa.Arg(help="The failure domain.")]
    team: TeamName
    objects: ObjectsUrl
    as_json: AsJson = False

    def __call__(self, tools: Annotated[Tools, cappa.Dep(make_tools)]) -> int:
        """Change the domain's state."""
        print_change(asyncio.run(self.run(tools)), as_json=self.as_json)
        return OK

    async def run(self, tools: Tools) -> Change:
        """Change the state of an existing domain.

        An unknown name is refused: a mistyped one would add a new section,
        and the operator would believe that a domain is out of service while
        it still gets work.
        """
        with tools.connect(self.objects) as store:
            head = DocumentHead(store=store)
            domains = (await read_head(head)).snapshot.domains
            if self.name not in domains:
                known = ", ".join(sorted(domains)) or "none"
                raise RefusedError(f"no domain {self.name}; known: {known}")
            return await set_state(
                head=head,
                tools=tools,
                team=self.team,
                section=SectionName("domain", self.name),
                state=self.state,
            )
