"""The scenarios: their load, its route and what operators do meanwhile.

Six engines with 8 slots at 50 tokens/s have a capacity of 2,400 tokens/s, which is
96 requests/s of 25 tokens.
"""

import msgspec

from eelgrassrack.document.parser import digest_api_key

from .fleet import DOMAINS, SLOTS, TEAM, VERSION

TOKENS = 25
WARM_TOKENS = 10
WARM_RATE = 300
# Of each request, in seconds.
DEADLINE = 10.0
LARGE, QUIET = "large", "quiet"
LARGE_KEY, QUIET_KEY = "bench-large", "bench-quiet"

BURST, HOT, DOMAIN = "burst", "hot", "domain"
SCENARIOS = (BURST, HOT, DOMAIN)
# When the domain is taken out and brought back, in seconds from the start.
OUT_AT, IN_AT = 4.0, 11.0
DOMAIN_OUT = DOMAINS[-1]


class Phase(msgspec.Struct, kw_only=True, frozen=True):
    """A phase of the load.

    `factor` multiplies the rate of the large organisation.
    """

    seconds: float
    factor: float = 1.0


class Variant(msgspec.Struct, kw_only=True, frozen=True):
    """One variant of a scenario.

    `large_rate` and `quiet_rate` are in requests/s.  With `bypasses_router` callers
    call the engines directly in turn, without entries and agents.  `quiet_key` is
    the API key of the quiet organisation's callers.  With `is_taken_out` operators
    take a failure domain out and back in.
    """

    scenario: str
    name: str
    large_rate: float
    quiet_rate: float
    phases: tuple[Phase, ...]
    bypasses_router: bool = False
    quiet_key: str = QUIET_KEY
    is_taken_out: bool = False


BURST_PHASES = (
    Phase(seconds=3.0),
    Phase(seconds=5.0, factor=5.0),
    Phase(seconds=9.0),
)
STEADY = (Phase(seconds=8.0),)
LONG = (Phase(seconds=20.0),)

VARIANTS = (
    Variant(
        scenario=BURST,
        name="router",
        large_rate=40,
        quiet_rate=8,
        phases=BURST_PHASES,
    ),
    Variant(
        scenario=BURST,
        name="round robin, no router",
        large_rate=40,
        quiet_rate=8,
        phases=BURST_PHASES,
        bypasses_router=True,
    ),
    Variant(
        scenario=HOT, name="quiet alone", large_rate=0, quiet_rate=8, phases=STEADY
    ),
    Variant(scenario=HOT, name="router", large_rate=190, quiet_rate=8, phases=STEADY),
    Variant(
        scenario=HOT,
        name="router, both under one key",
        large_rate=190,
        quiet_rate=8,
        phases=STEADY,
        quiet_key=LARGE_KEY,
    ),
    Variant(
        scenario=HOT,
        name="round robin, no router",
        large_rate=190,
        quiet_rate=8,
        phases=STEADY,
        bypasses_router=True,
    ),
    Variant(
        scenario=DOMAIN,
        name="out and in",
        large_rate=40,
        quiet_rate=8,
        phases=LONG,
        is_taken_out=True,
    ),
    Variant(
        scenario=DOMAIN, name="no change", large_rate=40, quiet_rate=8, phases=LONG
    ),
)


def build_document() -> str:
    """Return the operators' document of the fleet.

    Its rate limits are too high to apply, so that queues and admission control are
    measured.
    """
    sections = [
        f"[team {TEAM}]\nsections = *",
        f"[limits]\ndefault_deadline = {DEADLINE}",
        _describe_organisation(LARGE, LARGE_KEY),
        _describe_organisation(QUIET, QUIET_KEY),
        f"[model tutor]\n[version {VERSION}]",
        f"[pool tutors]\nserves = {VERSION}\nconcurrency = {SLOTS}",
        *(f"[domain {name}]\nramp_seconds = 5" for name in DOMAINS),
    ]
    return "\n".join(sections) + "\n"


def build_plan(variant: Variant) -> str:
    """Return the text of a variant's load plan."""
    large = _describe_kind(LARGE, LARGE_KEY, variant.large_rate)
    quiet = _describe_kind(QUIET, variant.quiet_key, variant.quiet_rate)
    phases = [
        f"[phase phase-{number}]\nseconds = {phase.seconds}\n"
        f"factor = {phase.factor}\nkinds = {LARGE}"
        for number, phase in enumerate(variant.phases)
    ]
    limits = "[limits]\nmost_requests = 6000\nmost_at_once = 3000"
    return "\n".join([large, quiet, *phases, limits]) + "\n"


def build_warm_up() -> str:
    """Return the text of a load plan that keeps all slots busy for a moment."""
    kind = _describe_kind(LARGE, LARGE_KEY, WARM_RATE).replace(
        f"max_tokens = {TOKENS}", f"max_tokens = {WARM_TOKENS}"
    )
    return f"{kind}\n[phase warm-up]\nseconds = 3\n"


def _describe_organisation(name: str, key: str) -> str:
    return (
        f"[organisation {name}]\nkey_digest = {digest_api_key(key)}\n"
        "allows = tutor\nrequests_per_second = 1000\nburst = 2000\n"
        "concurrent = 10000"
    )


def _describe_kind(name: str, key: str, rate: float) -> str:
    return (
        f"[kind {name}]\norganisation = {name}\nkey = {key}\nmodel = {VERSION}\n"
        f"requests_per_second = {rate}\nmax_tokens = {TOKENS}\n"
        f"deadline = {DEADLINE}"
    )
