"""What a table of sections and keys is made of.

One table serves the parser, the daemons' settings and the page
docs/CONFIGURATION.md, so that they can't disagree.
"""

import enum
import functools

import msgspec

from .checks import Check, Text, format_value

NO_NAME = Text(pattern="", allowed="no name")


class Key(msgspec.Struct, kw_only=True, frozen=True):
    """One key of a section: its check, unit and meaning.

    With `secret` its value is never printed.  With `extra` it isn't a
    field of the section's class.
    """

    name: str
    check: Check
    unit: str = ""
    meaning: str = ""
    secret: bool = False
    extra: bool = False


class SectionKind(msgspec.Struct, kw_only=True, frozen=True):
    """One kind of section: its class, its name's check and its keys."""

    kind: str
    struct: type[msgspec.Struct]
    meaning: str
    name: Text = NO_NAME
    keys: tuple[Key, ...] = ()
    required: bool = False

    @property
    def header(self) -> str:
        """Return the header's form, such as `organisation NAME`."""
        return self.kind if self.name is NO_NAME else f"{self.kind} NAME"


class Need(enum.Enum):
    """Why a key has no default."""

    REQUIRED = "required"
    OPTIONAL = "none"


def find_default(kind: SectionKind, key: Key) -> object:
    """Return a key's default, or why it has none."""
    if key.extra:
        return Need.OPTIONAL
    field = _find_fields(kind.struct)[key.name]
    return Need.REQUIRED if field.required else field.default


def format_default(kind: SectionKind, key: Key) -> str:
    """Return a key's default as it would be written."""
    default = find_default(kind, key)
    return (
        default.value if isinstance(default, Need) else format_value(key.check, default)
    )


@functools.cache
def _find_fields(
    struct: type[msgspec.Struct],
) -> dict[str, msgspec.structs.FieldInfo]:
    """Return a class's fields; reading them anew for each section is slow."""
    return {field.name: field for field in msgspec.structs.fields(struct)}
