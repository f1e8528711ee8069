"""The traits of a request: what crashes of its endpoints may be blamed on."""

import functools

import xxhash

from ...decisions.crashrecords import make_part_trait, make_request_trait
from ...decisions.runs import Traits
from ..store.configuration import Permit
from .messages import Arrival, PromptPart

# Parts of a prompt that are considered; a longer prompt's other parts aren't blamed.
MAX_PARTS = 256

# Number of parts and lifetimes whose names are remembered.
MAX_NAMES = 5_000


def find_traits(arrival: Arrival, permit: Permit) -> Traits:
    """Return what crashes may be blamed on: the request and its prompt's parts.

    The request's hash is the same each time its caller repeats it.
    """
    digest = xxhash.xxh3_64()
    for text in (arrival.method, arrival.target, permit.organisation_name):
        digest.update(text.encode() + b"\0")
    for part in arrival.parts:
        digest.update(part.name.encode() + b"\0")
    digest.update(arrival.body)
    return Traits(
        request=make_request_trait(digest.intdigest()),
        parts=frozenset(hash_part(part.name) for part in list_shared_parts(arrival)),
    )


def list_shared_parts(arrival: Arrival) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt that other requests may share, the first of many."""
    return arrival.parts[:-1][:MAX_PARTS]


@functools.lru_cache(maxsize=MAX_NAMES)
def hash_part(name: str) -> int:
    """Return the trait of a part of a prompt."""
    return make_part_trait(xxhash.xxh3_64_intdigest(name.encode()))
