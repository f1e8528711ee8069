"""Faults found in an INI text, with their position and the allowed values."""

import msgspec

HIDDEN = "(hidden)"


class Fault(msgspec.Struct, kw_only=True, frozen=True, order=True):
    """One fault: its position, the invalid value and what is allowed.

    `line` counts from one.  `key` and `value` are empty if the fault
    concerns the whole section.  A value that may be a secret is hidden.
    """

    file: str
    line: int
    section: str
    key: str = ""
    value: str = ""
    allowed: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}: [{self.section}]"
        if not self.key:
            return f"{place}: {self.allowed}"
        value = " ".join(self.value.split())
        return f"{place} {self.key} = {value}: {self.allowed}"


class Faults(msgspec.Struct, kw_only=True, frozen=True):
    """All faults found in one text, in the order of its lines."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)
