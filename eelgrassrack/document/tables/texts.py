"""Checks of names and other texts that several tables share."""

from ..checks import Text

_WORD = r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}"
_PAIR = f"{_WORD}/{_WORD}"

NAME = Text(
    pattern=_WORD,
    allowed="a name of up to 64 letters, digits, dots, underscores and hyphens",
)
VERSION_NAME = Text(pattern=_PAIR, allowed="a version as MODEL/LABEL")
GRANT = Text(pattern=f"{_WORD}(/{_WORD})?", allowed="a MODEL or MODEL/LABEL")
DIGEST = Text(pattern="[0-9a-f]{64}", allowed="a SHA-256 as 64 hexadecimal digits")
VARIABLE = Text(
    pattern="[A-Z][A-Z0-9_]*",
    allowed="an environment variable's name in capitals",
)
OPERATION = Text(
    pattern=r"[A-Z]+ /[^\s,]*", allowed="an operation as METHOD /path-prefix"
)
SECTION_PATTERN = Text(
    pattern=r"[a-z*?]+( \S+)?",
    allowed="a section as KIND or KIND NAME, with * and ? as wildcards",
)
