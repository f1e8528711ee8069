"""The headers that are passed on between caller and endpoint."""

from ..hopbyhop import HOP_BY_HOP
from ..mailbox.messages import Start
from .outcomes import Headers

# Hop-by-hop headers, and those that the next hop sets by itself.
NEVER_PASSED = HOP_BY_HOP | {"content-length", "expect", "host"}


def make_headers(start: Start) -> dict[str, str]:
    """Return the endpoint's headers, including the attempt's name and priority."""
    headers = dict(drop_hop_by_hop(start.headers))
    headers["X-Request-Id"] = start.attempt
    headers["X-Priority"] = str(start.priority)
    return headers


def drop_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers that may be passed on."""
    return tuple(pair for pair in headers if pair[0].lower() not in NEVER_PASSED)
