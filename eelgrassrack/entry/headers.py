"""Names of the HTTP headers in requests and responses."""

import enum

SESSION = "Eelgrassrack-Session"
SESSION_TOKEN = "Eelgrassrack-Session-Token"
DEADLINE = "Eelgrassrack-Deadline"
REPEAT = "Eelgrassrack-Repeat"
KIND = "Eelgrassrack-Kind"
IDEMPOTENCY_KEY = "Idempotency-Key"

REQUEST = "Eelgrassrack-Request"
MODEL = "Eelgrassrack-Model"
VERSION = "Eelgrassrack-Version"
RUN = "Eelgrassrack-Run"
REVISION = "Eelgrassrack-Revision"
RETRY_AFTER = "Retry-After"

REPEAT_NEVER = "never"


class Run(enum.Enum):
    """Whether a request was run, as stated in the response."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


# Hop-by-hop headers, and headers that only the router may set or read.  They are
# neither forwarded to the endpoint nor returned to the caller.
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "authorization",
        "accept-encoding",
        "expect",
        "date",
        "server",
    }
)
OWN_PREFIX = "eelgrassrack-"


def is_forwarded(name: str) -> bool:
    """Return whether a header is forwarded between caller and endpoint."""
    lowered = name.lower()
    return lowered not in HOP_HEADERS and not lowered.startswith(OWN_PREFIX)
