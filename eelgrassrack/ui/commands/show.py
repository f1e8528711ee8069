"""`eelgrassrack show`: print the stored document."""

import asyncio
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from ...store.head import DocumentHead, HeadState
from ...store.objects import Absent, Unavailable
from ..changes import read_head
from ..errors import OK, RefusedError, UnavailableError
from ..options import AsJson, ObjectsUrl
from ..output import print_json
from ..tools import Tools, make_tools


class ShowOutput(msgspec.Struct, kw_only=True, frozen=True):
    """What `show --json` prints."""

    revision: int
    text: str


@cappa.command(name="show", help="Print the stored document.")
@dataclass(kw_only=True, slots=True)
class Show:
    """Arguments of `show`."""

    objects: ObjectsUrl
    revision: Annotated[
        int | None, cappa.Arg(long="--revision", help="An earlier revision.")
    ] = None
    as_json: AsJson = False

    def __call__(self, tools: Annotated[Tools, cappa.Dep(make_tools)]) -> int:
        """Print the document."""
        state = asyncio.run(self.read(tools))
        if self.as_json:
            print_json(ShowOutput(revision=state.revision, text=state.text))
        else:
            print(state.text, end="" if state.text.endswith("\n") else "\n")
        return OK

    async def read(self, tools: Tools) -> HeadState:
        """Return the newest revision or the one asked for."""
        with tools.connect(self.objects) as store:
            head = DocumentHead(store=store)
            if self.revision is None:
                return await read_head(head)
            found = await head.read_revision(revision=self.revision)
        match found:
            case HeadState() as state:
                return state
            case Absent():
                raise RefusedError(f"no revision {self.revision}")
            case Unavailable(reason=reason):
                raise UnavailableError(f"platform unavailable: {reason}")
