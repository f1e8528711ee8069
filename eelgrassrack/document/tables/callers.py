"""Sections about organisations, teams, limits and policy."""

from ..checks import Choice, Items, Number
from ..schema import Key, SectionKind
from ..sections import Limits, Organisation, Policy, Preference, Team
from .texts import DIGEST, GRANT, NAME, SECTION_PATTERN, VARIABLE

KEY_DIGEST = "key_digest"
KEY_VARIABLE = "key_env"

ORGANISATION = SectionKind(
    kind="organisation",
    struct=Organisation,
    meaning="A customer: its key, what it may use and its share. "
    "Needs one of `key_digest` and `key_env`.",
    name=NAME,
    keys=(
        Key(
            name=KEY_DIGEST,
            check=DIGEST,
            meaning="SHA-256 of the API key.",
            secret=True,
            extra=True,
        ),
        Key(
            name=KEY_VARIABLE,
            check=VARIABLE,
            meaning="Environment variable that holds the API key when the document "
            "is checked or applied; `apply` stores only the key's digest.",
            secret=True,
            extra=True,
        ),
        Key(
            name="allows",
            check=Items(item=GRANT, unordered=True),
            meaning="Models (all their versions) and versions it may use.",
        ),
        Key(
            name="services",
            check=Items(item=NAME, unordered=True),
            meaning="Plain services it may call.",
        ),
        Key(
            name="weight",
            check=Number(low=0.01, high=100),
            meaning="Share of a full endpoint relative to other organisations.",
        ),
        Key(
            name="priority",
            check=Number(low=0, high=9, whole=True),
            meaning="Priority passed on to the engines.",
        ),
        Key(
            name="requests_per_second",
            check=Number(low=0.01, high=100_000),
            unit="requests/s",
            meaning="Sustained arrival rate at one entry.",
        ),
        Key(
            name="burst",
            check=Number(low=1, high=1_000_000),
            unit="requests",
            meaning="Burst of arrivals allowed at one entry.",
        ),
        Key(
            name="concurrent",
            check=Number(low=1, high=100_000, whole=True),
            unit="requests",
            meaning="Most requests in flight at one entry.",
        ),
        Key(
            name="quality_target",
            check=Number(low=0, high=1),
            unit="rating",
            meaning="Expected rating of its answers; cascades escalate below it.",
        ),
        Key(
            name="preference",
            check=Choice(options=Preference),
            meaning="What matters more when latency and cost conflict.",
        ),
    ),
)

TEAM = SectionKind(
    kind="team",
    struct=Team,
    meaning="A team and the sections it may edit.",
    name=NAME,
    keys=(
        Key(
            name="sections",
            check=Items(item=SECTION_PATTERN),
            meaning="Patterns of sections, such as `version *`.",
        ),
    ),
)

LIMITS = SectionKind(
    kind="limits",
    struct=Limits,
    meaning="Limits that apply to every caller.",
    keys=(
        Key(
            name="body_bytes",
            check=Number(low=1_000, high=100_000_000, whole=True),
            unit="bytes",
            meaning="Longest request body.",
        ),
        Key(
            name="default_deadline",
            check=Number(low=0.1, high=86_400),
            unit="s",
            meaning="Deadline of a request that sets none.",
        ),
        Key(
            name="longest_deadline",
            check=Number(low=0.1, high=86_400),
            unit="s",
            meaning="Longest deadline a caller may ask for.",
        ),
        Key(
            name="attempts",
            check=Number(low=1, high=10, whole=True),
            meaning="Attempts at one request, the first included.",
        ),
        Key(
            name="retry_ratio",
            check=Number(low=0, high=1),
            unit="retries/success",
            meaning="Retry budget as a fraction of successes.",
        ),
        Key(
            name="rating_timeout",
            check=Number(low=0.01, high=60),
            unit="s",
            meaning="Longest wait for the rating service.",
        ),
    ),
)

POLICY = SectionKind(
    kind="policy",
    struct=Policy,
    meaning="Relative weights of the measures; they need not add up to one.",
    keys=(
        Key(
            name="cost",
            check=Number(low=0, high=100),
            meaning="Weight of cost at the quality target.",
        ),
        Key(
            name="latency", check=Number(low=0, high=100), meaning="Weight of latency."
        ),
        Key(
            name="exposure",
            check=Number(low=0, high=100),
            meaning="Weight of exposure to bad versions.",
        ),
    ),
)
