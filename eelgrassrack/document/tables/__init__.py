"""The tables of sections and keys of the operators' document."""

from .callers import LIMITS, ORGANISATION, POLICY, TEAM
from .fleet import DOMAIN, ENDPOINT, POOL, SERVICE
from .models import CASCADE, MODEL, VERSION

DOCUMENT = (
    ORGANISATION,
    MODEL,
    VERSION,
    CASCADE,
    DOMAIN,
    POOL,
    ENDPOINT,
    SERVICE,
    TEAM,
    LIMITS,
    POLICY,
)
