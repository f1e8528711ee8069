"""Sections about failure domains, pools, endpoints and plain services."""

from ..checks import Choice, Flag, Items, Number
from ..schema import Key, SectionKind
from ..sections import Domain, DomainState, Endpoint, EndpointState, Pool, Service
from .texts import NAME, OPERATION, VERSION_NAME

DOMAIN = SectionKind(
    kind="domain",
    struct=Domain,
    meaning="A failure domain. One without a section is in service.",
    name=NAME,
    keys=(
        Key(
            name="state",
            check=Choice(options=DomainState),
            meaning="Whether it may be given new work.",
        ),
        Key(name="region", check=NAME, meaning="Region of the domain."),
        Key(
            name="ramp_seconds",
            check=Number(low=0, high=3600),
            unit="s",
            meaning="Time over which its share grows back when it returns.",
        ),
    ),
)

POOL = SectionKind(
    kind="pool",
    struct=Pool,
    meaning="Endpoints of the same type. Needs one of `serves` and `service`.",
    name=NAME,
    keys=(
        Key(
            name="serves",
            check=Items(item=VERSION_NAME),
            meaning="Versions its engines serve.",
        ),
        Key(name="service", check=NAME, meaning="Plain service it runs."),
        Key(
            name="concurrency",
            check=Number(low=1, high=100_000, whole=True),
            unit="requests",
            meaning="Requests that a warm endpoint handles at once.",
        ),
        Key(
            name="cold_concurrency",
            check=Number(low=1, high=100_000, whole=True),
            unit="requests",
            meaning="Requests that a cold endpoint handles at once.",
        ),
        Key(
            name="checks_orders",
            check=Flag(),
            meaning="Whether its engines refuse old fencing numbers.",
        ),
    ),
)

ENDPOINT = SectionKind(
    kind="endpoint",
    struct=Endpoint,
    meaning="The state of one endpoint. One without a section is in service.",
    name=NAME,
    keys=(
        Key(
            name="state",
            check=Choice(options=EndpointState),
            meaning="Whether it may be given new work.",
        ),
    ),
)

SERVICE = SectionKind(
    kind="service",
    struct=Service,
    meaning="A plain service that callers reach under `/v1/services/NAME/`.",
    name=NAME,
    keys=(
        Key(
            name="not_repeatable",
            check=Items(item=OPERATION),
            meaning="Operations that run at most once, whatever the caller says.",
        ),
    ),
)
