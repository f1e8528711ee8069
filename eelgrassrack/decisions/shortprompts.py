"""Which prompts are short, measured by their route's objective.

A short prompt neither fills an engine nor wastes much if its reading is stopped.
"""

# A prompt is short if it takes at most this share of the objective to read.
SHORT_SHARE = 0.1


def is_short(*, reading: float, objective: float) -> bool:
    """Return whether a prompt that takes `reading` seconds to read is short."""
    return reading <= objective * SHORT_SHARE
