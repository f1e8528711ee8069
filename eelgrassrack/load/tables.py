"""The table of sections and keys of a load plan."""

from ..document.checks import Choice, Flag, Items, Number, Text
from ..document.schema import Key, SectionKind
from ..document.tables.texts import GRANT, NAME, VARIABLE
from .workload import Limits, Phase, RequestKind, RetryPolicy

KEY = "key"
KEY_VARIABLE = "key_env"

API_KEY = Text(pattern=r"[!-~]{1,256}", allowed="an API key without spaces")
METHOD = Text(pattern=r"[A-Z]{1,16}", allowed="an HTTP method in capitals")
PATH = Text(pattern=r"/[!-~]*", allowed="a path that starts with /")
WORDS = Text(pattern=r"[1-9][0-9]{0,4}", allowed="a whole number from 1 to 99999")

KIND = SectionKind(
    kind="kind",
    struct=RequestKind,
    meaning="One kind of request of one organisation. Needs one of `key` and "
    "`key_env`, and one of `model` and `service`.",
    name=NAME,
    keys=(
        Key(
            name="organisation",
            check=NAME,
            meaning="Organisation that sends the requests.",
        ),
        Key(name=KEY, check=API_KEY, meaning="The API key.", secret=True, extra=True),
        Key(
            name=KEY_VARIABLE,
            check=VARIABLE,
            meaning="Environment variable that holds the API key.",
            secret=True,
            extra=True,
        ),
        Key(name="model", check=GRANT, meaning="Model, alias, version or cascade."),
        Key(name="service", check=NAME, meaning="Plain service."),
        Key(name="method", check=METHOD, meaning="Method of a service's request."),
        Key(name="path", check=PATH, meaning="Path below the service's name."),
        Key(
            name="once",
            check=Flag(),
            meaning="Whether each request carries an `Idempotency-Key`.",
        ),
        Key(
            name="requests_per_second",
            check=Number(low=0, high=10_000),
            unit="requests/s",
            meaning="Mean arrivals, drawn as a Poisson process.",
        ),
        Key(
            name="max_tokens",
            check=Number(low=1, high=100_000, whole=True),
            unit="tokens",
            meaning="Longest answer.",
        ),
        Key(name="stream", check=Flag(), meaning="Whether answers are streamed."),
        Key(
            name="deadline",
            check=Number(low=0.01, high=3600),
            unit="s",
            meaning="Deadline, from the arrival of the request.",
        ),
        Key(
            name="session_share",
            check=Number(low=0, high=1),
            meaning="Part of the requests that belong to a session.",
        ),
        Key(
            name="sessions",
            check=Number(low=1, high=100_000, whole=True),
            meaning="Number of sessions.",
        ),
        Key(
            name="prompt_words",
            check=Items(item=WORDS, min_items=1),
            unit="words",
            meaning="Prompt sizes, drawn with equal probability.",
        ),
        Key(
            name="returns",
            check=Choice(options=RetryPolicy),
            meaning="What callers do after a refusal.",
        ),
        Key(
            name="tries",
            check=Number(low=1, high=100, whole=True),
            meaning="Most tries of one request, including the first.",
        ),
    ),
)

PHASE = SectionKind(
    kind="phase",
    struct=Phase,
    meaning="A part of the run; phases run in the order of the file.",
    name=NAME,
    keys=(
        Key(
            name="seconds",
            check=Number(low=0.1, high=86_400),
            unit="s",
            meaning="How long it lasts.",
        ),
        Key(
            name="factor",
            check=Number(low=0, high=1_000),
            meaning="Factor by which the rates are multiplied.",
        ),
        Key(
            name="kinds",
            check=Items(item=NAME),
            meaning="Kinds that the factor applies to; by default all.",
        ),
    ),
)

LIMITS = SectionKind(
    kind="limits",
    struct=Limits,
    meaning="Bounds of the run.",
    keys=(
        Key(
            name="most_requests",
            check=Number(low=1, high=10_000_000, whole=True),
            meaning="Arrivals after which the run ends.",
        ),
        Key(
            name="most_at_once",
            check=Number(low=1, high=20_000, whole=True),
            meaning="Most requests in flight; further arrivals count as not sent.",
        ),
        Key(
            name="seed",
            check=Number(low=0, high=1_000_000_000, whole=True),
            meaning="Seed of arrivals, sessions and prompts.",
        ),
    ),
)

PLAN = (KIND, PHASE, LIMITS)
