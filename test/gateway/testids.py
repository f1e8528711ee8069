"""Ids of parametrised tests."""

import re


def make_id(name):
    """Return an id without spaces, as KNOWN-RED.txt needs."""
    return re.sub(r"\W+", "_", name)
