"""The state of an endpoint that the choice of an endpoint is based on."""

import msgspec


class Candidate(msgspec.Struct, kw_only=True, frozen=True):
    """An endpoint that can serve the request.

    `running`, `queued` and `window` are requests, as reported `reported_age` seconds
    ago.  `local` is the number of this entry's requests at the endpoint now, `latency`
    the one-way network latency in seconds.  Endpoints with the same `group`, such as
    those of one pool, are comparable in speed.
    """

    name: str
    domain: str
    running: int = 0
    queued: int = 0
    window: int = 1
    reported_age: float = 0.0
    latency: float = 0.0
    local: int = 0
    draining: bool = False
    engine_up: bool = True
    group: str = ""
