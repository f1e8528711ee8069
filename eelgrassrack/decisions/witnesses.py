"""Witnesses: endpoints that show whether a gateway's own link works in time.

If no connection to an endpoint opens in time, the endpoint may be down.  The gateway's
own link may also be full, lossy or cut, or its processor late, and then all endpoints
look down at once.  A gateway that believed this would stop every stream it carries,
warn its peers of sound endpoints, and take requests for queries of death.

Therefore silence counts against an endpoint only if another one, the witness, answers
at the usual speed at the same time.
"""

from collections.abc import Iterable

import msgspec

# Witnesses asked at once, in different failure domains if possible: the path to one
# domain may be cut, or a single witness down as well.
MAX_WITNESSES = 2


class Candidate(msgspec.Struct, kw_only=True, frozen=True):
    """An endpoint that may serve as a witness.

    `heard_at` is the time at which it last answered, minus infinity if it never did.
    """

    name: str
    domain: str
    heard_at: float
    is_suspected: bool = False


def choose_witnesses(candidates: Iterable[Candidate], *, suspect: str) -> list[str]:
    """Return the names of the endpoints to ask about the suspected one, if any."""
    ranked = sorted(
        (candidate for candidate in candidates if candidate.name != suspect),
        key=lambda candidate: (candidate.is_suspected, -candidate.heard_at),
    )
    best_of_domains = {candidate.domain: candidate for candidate in reversed(ranked)}
    in_order = sorted(ranked, key=lambda one: best_of_domains[one.domain] is not one)
    return [candidate.name for candidate in in_order[:MAX_WITNESSES]]
