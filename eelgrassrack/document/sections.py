"""The sections of the operators' document as plain classes.

Each class holds one kind of section.  A section's name is the text after
the kind in its header: `[version assess/2026-10]` is a `Version` of the
model `assess` with the label `2026-10`.
"""

import enum

import msgspec


class Preference(enum.Enum):
    """What an organisation prefers when latency and cost conflict."""

    LATENCY = "latency"
    COST = "cost"


class VersionState(enum.Enum):
    """Whether a version may be given new work."""

    ACTIVE = "active"
    WITHDRAWN = "withdrawn"


class DomainState(enum.Enum):
    """Whether a failure domain may be given new work."""

    IN = "in"
    OUT = "out"


class EndpointState(enum.Enum):
    """Whether an endpoint may be given new work."""

    IN = "in"
    DRAINING = "draining"


class Organisation(msgspec.Struct, kw_only=True, frozen=True):
    """A customer: its key, what it may use and its share.

    `key_digest` is the hexadecimal SHA-256 of its API key.  `allows`
    holds model names (any version) or `model/label` pairs.  `weight` is
    its share of a full endpoint relative to other organisations.
    `requests_per_second` and `burst` limit its arrivals at one entry, and
    `concurrent` its requests in flight there.
    """

    name: str
    key_digest: str
    allows: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()
    weight: float = 1.0
    priority: int = 1
    requests_per_second: float = 50.0
    burst: float = 100.0
    concurrent: int = 256
    quality_target: float = 0.8
    preference: Preference = Preference.LATENCY


class Version(msgspec.Struct, kw_only=True, frozen=True):
    """One version of a model.

    `name` is `model/label`.  `weight` is its planned share of new
    work.  `cost` is in money units per 1,000 tokens.  `quality` is the
    expected rating (0 to 1) until answers are rated.
    """

    name: str
    state: VersionState = VersionState.ACTIVE
    weight: float = 100.0
    cost: float = 1.0
    quality: float = 0.8

    @property
    def model(self) -> str:
        """Return the model's name."""
        return self.name.partition("/")[0]


class Model(msgspec.Struct, kw_only=True, frozen=True):
    """A model: its versions in the order of the document, and aliases."""

    name: str
    versions: tuple[str, ...]
    aliases: tuple[str, ...] = ()


class Cascade(msgspec.Struct, kw_only=True, frozen=True):
    """Models tried in order, cheapest first, until one is good enough."""

    name: str
    rungs: tuple[str, ...]


class Domain(msgspec.Struct, kw_only=True, frozen=True):
    """A failure domain.

    Its share of work grows back over `ramp_seconds` when it returns.
    """

    name: str
    state: DomainState = DomainState.IN
    region: str = "default"
    ramp_seconds: float = 30.0


class Pool(msgspec.Struct, kw_only=True, frozen=True):
    """Endpoints of the same type: what each serves and its concurrency.

    `serves` holds version names; a pool of a plain service has
    `service` set instead.  `concurrency` is how many requests a warm
    endpoint handles at once, `cold_concurrency` how many a cold one does.
    With `checks_orders` its engines refuse old fencing numbers.
    """

    name: str
    serves: tuple[str, ...] = ()
    service: str = ""
    concurrency: int = 16
    cold_concurrency: int = 2
    checks_orders: bool = False


class Endpoint(msgspec.Struct, kw_only=True, frozen=True):
    """The state that an operator set for one endpoint."""

    name: str
    state: EndpointState = EndpointState.IN


class Service(msgspec.Struct, kw_only=True, frozen=True):
    """A plain service and its operations that may not be repeated.

    `not_repeatable` holds `METHOD /path-prefix` texts.
    """

    name: str
    not_repeatable: tuple[str, ...] = ()


class Limits(msgspec.Struct, kw_only=True, frozen=True):
    """Limits that apply to every caller; deadlines and timeouts are in seconds.

    `attempts` includes the first one.  `retry_ratio` is the retry budget as
    a fraction of successes.
    """

    body_bytes: int = 1_000_000
    default_deadline: float = 60.0
    longest_deadline: float = 900.0
    attempts: int = 3
    retry_ratio: float = 0.1
    rating_timeout: float = 2.0


class Policy(msgspec.Struct, kw_only=True, frozen=True):
    """Relative weights of the users' measures; they need not add up to one."""

    cost: float = 1.0
    latency: float = 1.0
    exposure: float = 1.0


class Team(msgspec.Struct, kw_only=True, frozen=True):
    """A team and the sections it may edit, as `kind name` patterns."""

    name: str
    sections: tuple[str, ...] = ()
