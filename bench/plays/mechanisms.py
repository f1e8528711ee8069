"""Mechanisms of the gateway, and code that removes each for an ablation.

The neutral code does what the gateway would do without the mechanism.  It is
appended to the mechanism's module in a copy of the tree, so that the product needs
no switches.
"""

import msgspec


class Mechanism(msgspec.Struct, kw_only=True, frozen=True):
    """A mechanism: the path of its module, and the code that replaces it."""

    name: str
    module: str
    neutral: str


def _make(name: str, module: str, neutral: str) -> Mechanism:
    return Mechanism(name=name, module=f"eelgrassrack/{module}.py", neutral=neutral)


MECHANISMS = (
    _make("slowness", "decisions/slowness", "def find_slow(timings):\n    return {}\n"),
    _make(
        "urgency",
        "decisions/urgency",
        "def find_urgency(*, rank, reading, is_deprioritised=False):\n    return 5\n",
    ),
    _make(
        "fairshare",
        "decisions/fairshare",
        "Usage.find_heavy = lambda self, told: frozenset()\n",
    ),
    _make(
        "doubt",
        "decisions/suspects",
        "def avoid_suspected(endpoints, **rest):\n    return list(endpoints)\n",
    ),
    _make(
        "poison",
        "decisions/queryofdeath",
        "QueryOfDeathDetector.judge = lambda self, traits, **rest: Clear()\n",
    ),
    _make(
        "silence",
        "decisions/timeouts",
        "def find_first_timeout(**rest):\n    return None\n\n\n"
        "def find_gap_timeout(**rest):\n    return 3600.0\n",
    ),
    _make(
        "idle connections",
        "decisions/idle",
        "def choose_idle_seconds(named):\n    return 3600.0\n",
    ),
    _make(
        "cold share",
        "decisions/sharedbudget",
        "def share_cold_rate(**rest):\n    return 1_000_000\n",
    ),
    _make(
        "retry budget",
        "decisions/sharedbudget",
        "def allow_retry(**rest):\n    return True\n",
    ),
    _make(
        "affinity",
        "gateway/requests/prompts",
        'def find_affinity(job, model):\n    return ""\n',
    ),
    _make(
        "backlog",
        "gateway/endpoints/endpointstate",
        "EndpointState.split_backlog = lambda self, urgency: Split(0.0, 0.0)\n",
    ),
    _make(
        "choice of the model",
        "decisions/modelchoice",
        "def choose_next(**rest):\n    return None\n",
    ),
    _make(
        "best model for long prompts",
        "decisions/modelchoice",
        "def choose_first(*, models, **rest):\n    return models[0]\n",
    ),
    _make(
        "pace",
        "decisions/pace",
        "Pace.note = lambda self, **rest: None\n"
        "Pace.note_stream = lambda self, **rest: None\n",
    ),
    _make(
        "news of load",
        "gateway/endpoints/endpointreports",
        "def report_endpoints(fleet, now):\n    return ()\n",
    ),
    _make(
        "probes of silent endpoints",
        "gateway/endpoints/pool",
        "ConnectionPool.probe_silent = lambda self, **rest: None\n",
    ),
    _make(
        "kept connections",
        "gateway/endpoints/pool",
        "ConnectionPool._take_kept = lambda self, endpoint, now: None\n",
    ),
    _make(
        "passing over what failed",
        "gateway/endpoints/passivehealth",
        "PassiveHealthCheck._avoid = lambda self, state: None\n",
    ),
)


def find_mechanism(name: str) -> Mechanism:
    """Return the mechanism of that name; raise `KeyError` if there is none."""
    return {one.name: one for one in MECHANISMS}[name]
