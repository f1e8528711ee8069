"""Operators that change the document concurrently, and a record of the changes."""

import asyncio
import itertools
import time

import msgspec

from eelgrassrack.document.edits import set_key, split_sections
from eelgrassrack.document.lines import SectionName
from eelgrassrack.store.head import Applied, ApplyRefused, DocumentHead, HeadState

from .rig import Rig

RETRY_SECONDS = 0.2

# The end of an exclusion that hasn't ended yet.
NOT_ENDED = float("inf")


class Exclusion(msgspec.Struct, kw_only=True):
    """The time in which a withdrawn version or a domain that is out gets no new work.

    `began` is the loop time in seconds at which the change was confirmed to the
    operator, `ended` the time at which the operator requested the opposite change.
    """

    kind: str
    name: str
    began: float
    ended: float = NOT_ENDED


class Operators:
    """Change the document and keep a record.

    Each change uses a new `DocumentHead`, like a separate operator's command.
    `desired_exclusions` says for each kind and name of a section whether it was
    last excluded, `refused` describes the refused changes, and `revision` is the
    newest revision of the document that a change made.
    """

    def __init__(self, *, rig: Rig) -> None:
        self.exclusions: list[Exclusion] = []
        self.refused: list[str] = []
        self.revision = 0
        self.desired_exclusions: dict[tuple[str, str], bool] = {}
        self._locks: dict[tuple[str, str], asyncio.Lock] = {}
        self._numbers = itertools.count(1)
        self._rig = rig
        self._tasks: set[asyncio.Task] = set()

    def toggle(self, *, kind: str, name: str) -> None:
        """Withdraw a version or take a domain out, or reverse that."""
        self._start(kind, name, None)

    def restore(self) -> None:
        """Reverse all exclusions that are in force."""
        for kind, name in tuple(self.desired_exclusions):
            self._start(kind, name, False)

    async def wait(self) -> None:
        """Wait until every change was made or refused."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def _start(self, kind: str, name: str, excluded: bool | None) -> None:
        task = asyncio.create_task(self._change(kind, name, excluded))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _change(self, kind: str, name: str, excluded: bool | None) -> None:
        # The lock puts the changes of one section in a known order.  Changes of
        # different sections run concurrently and may conflict.
        async with self._locks.setdefault((kind, name), asyncio.Lock()):
            was_excluded = self.desired_exclusions.get((kind, name), False)
            excluded = not was_excluded if excluded is None else excluded
            if excluded == was_excluded:
                return
            loop = asyncio.get_running_loop()
            if not excluded:
                self._end_exclusion(kind, name, loop.time())
            self.desired_exclusions[kind, name] = excluded
            if await self._apply(kind, name, excluded) and excluded:
                now = loop.time()
                self.exclusions.append(Exclusion(kind=kind, name=name, began=now))

    def _end_exclusion(self, kind: str, name: str, now: float) -> None:
        for exclusion in self.exclusions:
            if (exclusion.kind, exclusion.name, exclusion.ended) == (
                kind,
                name,
                NOT_ENDED,
            ):
                exclusion.ended = now

    async def _apply(self, kind: str, name: str, excluded: bool) -> bool:
        store = self._rig.make_store(f"operator-{next(self._numbers)}")
        head = DocumentHead(store=store)
        states = {"version": ("active", "withdrawn"), "domain": ("in", "out")}
        while True:
            state = await head.read()
            if not isinstance(state, HeadState):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            proposed = set_key(
                text=state.text,
                section=SectionName(kind, name),
                key="state",
                value=states[kind][excluded],
            )
            result = await head.apply(
                team={"version": "models", "domain": "sites"}[kind],
                patterns=(f"{kind} {name}",),
                proposed=proposed,
                who="fuzz",
                now=time.time(),
            )
            match result:
                case Applied(revision=revision):
                    self.revision = max(self.revision, revision)
                    return True
                case ApplyRefused(reason=reason, faults=faults):
                    self.refused.append(f"{kind} {name}: {reason} {faults}")
                    return False
            await asyncio.sleep(RETRY_SECONDS)

    async def find_lost_changes(self) -> list[str]:
        """Return the accepted changes that the document doesn't contain."""
        state = await self._rig.operator.read()
        sections = split_sections(state.text)
        states = {"version": "state = withdrawn", "domain": "state = out"}
        return [
            f"{kind} {name} should be {'out' if excluded else 'in'}"
            for (kind, name), excluded in self.desired_exclusions.items()
            if (states[kind] in sections[SectionName(kind, name)]) != excluded
        ]
