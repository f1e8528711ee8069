"""Whole numbers in texts from outside this process."""

import re

# As many as the largest number of 64 bits has.  Python refuses to read far more, and
# its own checks for digits also take those of other scripts.
COUNT = re.compile(r"[0-9]{1,20}")


def read_count(text: str) -> int | None:
    """Return a whole number of up to 20 ASCII digits, None for any other text."""
    return int(text) if COUNT.fullmatch(text) else None
