"""Changes of the stored document, shared by the operator's commands."""

from collections.abc import Iterable

import msgspec

from ..document.lines import SectionName
from ..store.head import (
    Applied,
    ApplyRefused,
    DocumentHead,
    HeadState,
    KeyChange,
    NoDocument,
)
from ..store.objects import Unavailable
from .errors import RefusedError, UnavailableError
from .output import print_json
from .tools import Tools


class Change(msgspec.Struct, kw_only=True, frozen=True):
    """A change of the document: its new revision and the sections concerned."""

    revision: int
    team: str
    sections: tuple[str, ...]


async def read_head(head: DocumentHead) -> HeadState:
    """Return the stored document; raise a `UserError` if there is none."""
    match await head.read():
        case HeadState() as state:
            return state
        case NoDocument():
            raise RefusedError("there is no document yet; the first apply stores one")
        case Unavailable(reason=reason):
            raise UnavailableError(f"platform unavailable: {reason}")


async def apply_text(
    *,
    head: DocumentHead,
    tools: Tools,
    team: str,
    patterns: Iterable[str],
    proposed: str,
) -> Change:
    """Apply a proposed text; raise a `UserError` if it isn't accepted.

    If the platform's answer is lost, the change may have been made, and the
    error says so.
    """
    patterns = tuple(patterns)
    result = await head.apply(
        team=team, patterns=patterns, proposed=proposed, who=tools.who, now=tools.now()
    )
    return read_result(result, team=team, sections=patterns)


async def set_keys(
    *, head: DocumentHead, tools: Tools, team: str, changes: tuple[KeyChange, ...]
) -> Change:
    """Set single keys and leave the rest of the document unchanged."""
    result = await head.set_keys(
        team=team, changes=changes, who=tools.who, now=tools.now()
    )
    sections = dict.fromkeys(str(change.section) for change in changes)
    return read_result(result, team=team, sections=tuple(sections))


async def set_state(
    *, head: DocumentHead, tools: Tools, team: str, section: SectionName, state: str
) -> Change:
    """Set the `state` of one section and leave the rest unchanged."""
    change = KeyChange(section=section, key="state", value=state)
    return await set_keys(head=head, tools=tools, team=team, changes=(change,))


def read_result(
    result: Applied | ApplyRefused | Unavailable,
    *,
    team: str,
    sections: tuple[str, ...],
) -> Change:
    """Return the change that was made; raise a `UserError` if none was."""
    match result:
        case Applied(revision=revision):
            return Change(revision=revision, team=team, sections=sections)
        case ApplyRefused(reason=reason, faults=faults):
            lines = [f"refused: {reason}", *map(str, faults)]
            raise RefusedError("\n".join(lines))
        case Unavailable(reason=reason, maybe_written=maybe_written):
            suffix = "; the change may have been made" if maybe_written else ""
            raise UnavailableError(f"platform unavailable: {reason}{suffix}")


def print_change(change: Change, *, as_json: bool) -> None:
    """Print the revision that a change made, and its sections."""
    if as_json:
        print_json(change)
        return
    print(f"revision {change.revision}: {', '.join(change.sections)}")
