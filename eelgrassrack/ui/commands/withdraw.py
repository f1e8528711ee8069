"""`eelgrassrack withdraw`: stop giving new work to a version."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated

import cappa

from ...document.lines import SectionName
from ...document.sections import Version, VersionState
from ...store.head import DocumentHead, KeyChange
from ..changes import Change, print_change, read_head, set_keys
from ..errors import OK, RefusedError
from ..options import AsJson, ObjectsUrl, TeamName
from ..tools import Tools, make_tools

# The largest weight that the document allows.
MAX_WEIGHT = 100.0


@cappa.command(name="withdraw", help="Stop giving new work to a version.")
@dataclass(kw_only=True, slots=True)
class Withdraw:
    """Arguments of `withdraw`."""

    version: Annotated[str, cappa.Arg(value_name="MODEL/LABEL")]
    team: TeamName
    objects: ObjectsUrl
    successor: Annotated[
        str | None,
        cappa.Arg(
            long="--to",
            value_name="MODEL/LABEL",
            help="Version of the same model that takes over its share.",
        ),
    ] = None
    undo: Annotated[bool, cappa.Arg(long="--undo", help="Give it new work again.")] = (
        False
    )
    as_json: AsJson = False

    def __call__(self, tools: Annotated[Tools, cappa.Dep(make_tools)]) -> int:
        """Change the version's state."""
        print_change(asyncio.run(self.run(tools)), as_json=self.as_json)
        return OK

    async def run(self, tools: Tools) -> Change:
        """Change the state of an existing version.

        With a successor both versions change in one revision.  Withdrawing
        the last version with a weight first would be refused, because a model
        needs an active version of weight above 0.
        """
        with tools.connect(self.objects) as store:
            head = DocumentHead(store=store)
            current = await read_head(head)
            versions = current.snapshot.versions
            self._check_versions(versions)
            changes = tuple(self._propose(versions))
            return await set_keys(
                head=head, tools=tools, team=self.team, changes=changes
            )

    def _propose(self, versions: dict[str, Version]) -> Iterator[KeyChange]:
        """Yield the keys to change."""
        state = VersionState.ACTIVE if self.undo else VersionState.WITHDRAWN
        section = SectionName("version", self.version)
        yield KeyChange(section=section, key="state", value=state.value)
        if not self.successor:
            return
        weight = versions[self.version].weight + versions[self.successor].weight
        value = f"{min(weight, MAX_WEIGHT):.12g}"
        successor = SectionName("version", self.successor)
        yield KeyChange(section=successor, key="weight", value=value)

    def _check_versions(self, versions: dict[str, Version]) -> None:
        """Raise a `RefusedError` if a version doesn't exist or `--to` is invalid."""
        for name in filter(None, (self.version, self.successor)):
            if name not in versions:
                known = ", ".join(sorted(versions)) or "none"
                raise RefusedError(f"no version {name}; known: {known}")
        if not self.successor:
            return
        models = {versions[name].model for name in (self.version, self.successor)}
        if self.undo or self.successor == self.version or len(models) > 1:
            raise RefusedError("--to takes another version of the withdrawn model")
