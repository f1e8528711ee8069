"""Unique names for each start of a process."""

import secrets

INCARNATION_BYTES = 6


def make_incarnation(*, name: str) -> str:
    """Return `name` with a random suffix that identifies this start of the process."""
    return f"{name}.{secrets.token_hex(INCARNATION_BYTES)}"
