"""Classes that describe the sections and keys of an INI file.

The parser, the daemons' settings and the page docs/CONFIGURATION.md all use
tables built from these classes, so that they can't disagree.
"""

import enum
import functools

import msgspec

from .checks import Check, Text, format_value

NO_NAME = Text(pattern="", allowed="no name")


class Key(msgspec.Struct, kw_only=True, frozen=True):
    """One key of a section: its check, unit and meaning.

    The value of a `secret` key is never printed.  An `extra` key isn't a
    field of the section's class and has no default.
    """

    name: str
    check: Check
    unit: str = ""
    meaning: str = ""
    secret: bool = False
    extra: bool = False


class SectionKind(msgspec.Struct, kw_only=True, frozen=True):
    """One kind of section: its class, its keys and the check of its name."""

    kind: str
    struct: type[msgspec.Struct]
    meaning: str
    name: Text = NO_NAME
    keys: tuple[Key, ...] = ()
    required: bool = False

    @property
    def header(self) -> str:
        """Return the form of the header, such as `organisation NAME`."""
        return self.kind if self.name is NO_NAME else f"{self.kind} NAME"


class NoDefault(enum.Enum):
    """Why a key has no default."""

    REQUIRED = "required"
    OPTIONAL = "none"


def find_default(kind: SectionKind, key: Key) -> object:
    """Return the default of a key, or why it has none."""
    if key.extra:
        return NoDefault.OPTIONAL
    field = _find_fields(kind.struct)[key.name]
    return NoDefault.REQUIRED if field.required else field.default


def format_default(kind: SectionKind, key: Key) -> str:
    """Return the default of a key as it is written in a file."""
    default = find_default(kind, key)
    return (
        default.value
        if isinstance(default, NoDefault)
        else format_value(key.check, default)
    )


@functools.cache
def _find_fields(
    struct: type[msgspec.Struct],
) -> dict[str, msgspec.structs.FieldInfo]:
    """Return the fields of a class by name.

    Cached, since inspecting the class again for each section is slow.
    """
    return {field.name: field for field in msgspec.structs.fields(struct)}
