"""Log lines of entries of the store that are left aside, bounded in number and size."""

import logbook

log = logbook.Logger("store")

# Lines for the entries of one answer.  The rest are counted in one line more.
MAX_LINES = 10

MAX_NAME_CHARACTERS = 80
MAX_REASON_CHARACTERS = 160

# How many entries are remembered, of which nothing is logged again until they change.
MAX_REMEMBERED = 1_000


class LeftAside:
    """Logs each entry that names nothing to use once, until its reason changes."""

    __slots__ = ("_reasons",)

    def __init__(self) -> None:
        self._reasons: dict[tuple[str, str], str] = {}

    def note(self, *, kind: str, odd: dict[str, str], sound: set[str]) -> None:
        """Log new odd entries of a kind; both arguments hold names, `odd` reasons."""
        for name in sound if self._reasons else ():
            self._reasons.pop((kind, name), None)
        new = [
            (name, reason)
            for name, reason in odd.items()
            if self._reasons.get((kind, name)) != reason
        ]
        for name, reason in new[:MAX_LINES]:
            log.warning(
                "store: entry {name} of {kind} is left aside: {reason}",
                name=name[:MAX_NAME_CHARACTERS],
                kind=kind,
                reason=reason[:MAX_REASON_CHARACTERS],
            )
        if len(new) > MAX_LINES:
            log.warning(
                "store: {count} more entries of {kind} are left aside",
                count=len(new) - MAX_LINES,
                kind=kind,
            )
        self._remember(kind, new)

    def _remember(self, kind: str, new: list[tuple[str, str]]) -> None:
        if len(self._reasons) + len(new) > MAX_REMEMBERED:
            self._reasons.clear()
        self._reasons.update(
            ((kind, name), reason) for name, reason in new[:MAX_REMEMBERED]
        )
