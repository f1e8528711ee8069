"""All tables of the operators' document.

The package itself imports nothing, as gateways need only a few of its checks.
"""

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
