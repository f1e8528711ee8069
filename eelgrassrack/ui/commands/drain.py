"""`eelgrassrack drain`: stop giving new work to an endpoint."""

import asyncio
from dataclasses import dataclass
from typing import Annotated

import cappa

from ...document.lines import SectionName
from ...document.sections import EndpointState
from ...store.head import DocumentHead
from ..changes import Change, print_change, set_state
from ..errors import OK
from ..options import AsJson, ObjectsUrl, TeamName
from ..tools import Tools, make_tools


@cappa.command(name="drain", help="Stop giving new work to an endpoint.")
@dataclass(kw_only=True, slots=True)
class Drain:
    """Arguments of `drain`."""

    endpoint: Annotated[str, cappa.Arg(help="The endpoint.")]
    team: TeamName
    objects: ObjectsUrl
    undo: Annotated[bool, cappa.Arg(long="--undo", help="Give it new work again.")] = (
        False
    )
    as_json: AsJson = False

    def __call__(self, tools: Annotated[Tools, cappa.Dep(make_tools)]) -> int:
        """Change the endpoint's state, adding its section if there is none."""
        print_change(asyncio.run(self.run(tools)), as_json=self.as_json)
        return OK

    async def run(self, tools: Tools) -> Change:
        """Change the endpoint's state."""
        state = EndpointState.IN if self.undo else EndpointState.DRAINING
        with tools.connect(self.objects) as store:
            head = DocumentHead(store=store)
            return await set_state(
                head=head,
                tools=tools,
                team=self.team,
                section=SectionName("endpoint", self.endpoint),
                state=state.value,
            )
