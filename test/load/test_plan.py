"""Tests of the parser for load plans and of its faults."""

import pathlib

import pytest

from eelgrassrack.document.parser import parse_document
from eelgrassrack.load.plan import parse_plan, shorten_plan
from eelgrassrack.load.workload import Plan, RetryPolicy

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / "examples"

PLAN = """\
[kind score]
organisation = school
key_env = SCHOOL_KEY
model = tutor
requests_per_second = 5
returns = at-once
[kind lookup]
organisation = school
key = a-key
service = registry
path = /records/1
[phase calm]
seconds = 4
[phase burst]
seconds = 6
factor = 3
kinds = score
"""
ENVIRONMENT = {"SCHOOL_KEY": "from-outside"}


def test_a_plan_is_read():
    plan = parse_plan(text=PLAN, environment=ENVIRONMENT)
    score, lookup = plan.kinds
    assert (score.key, score.returns) == ("from-outside", RetryPolicy.AT_ONCE)
    assert (lookup.key, lookup.method, lookup.path) == ("a-key", "GET", "/records/1")
    burst = plan.phases[1]
    assert (burst.find_factor("score"), burst.find_factor("lookup")) == (3, 1)
    assert plan.seconds == 10
    lengths = [phase.seconds for phase in shorten_plan(plan, seconds=5).phases]
    assert lengths == [4, 1]


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        (
            "requests_per_second = 5",
            "requests_per_second = many",
            "p:5: [kind score] requests_per_second = many: number from 0 to 10000",
        ),
        (
            "returns = at-once",
            "returns = later",
            "p:6: [kind score] returns = later: one of wait, at-once, never",
        ),
        (
            "key = a-key",
            "key = a key",
            "p:9: [kind lookup] key = (hidden): an API key without spaces",
        ),
        (
            "key = a-key\n",
            "",
            "p:7: [kind lookup] key = : exactly one of key and key_env",
        ),
        (
            "key_env = SCHOOL_KEY",
            "key_env = OTHER_KEY",
            (
                "p:3: [kind score] key_env = (hidden): "
                "a set environment variable; OTHER_KEY is not set"
            ),
        ),
        (
            "service = registry",
            "service = registry\nmodel = tutor",
            "p:10: [kind lookup] service = registry: exactly one of model and service",
        ),
        (
            "path = /records/1",
            "path = /records/1\nstream = no",
            "p:12: [kind lookup] stream = no: not together with service",
        ),
        (
            "kinds = score",
            "kinds = scores",
            (
                "p:17: [phase burst] kinds = scores: "
                "kinds of this plan, not scores; known: lookup, score"
            ),
        ),
        (
            "factor = 3",
            "factr = 3",
            (
                "p:16: [phase burst] factr = 3: "
                "unknown key; allowed: seconds, factor, kinds"
            ),
        ),
        (
            "[phase calm]",
            "[stage calm]",
            (
                "p:12: [stage calm]: unknown section; allowed: "
                "[kind NAME], [phase NAME], [limits]"
            ),
        ),
    ],
)
def test_a_fault_names_its_position(old, new, fault):
    text = PLAN.replace(old, new, 1)
    assert text != PLAN
    result = parse_plan(text=text, environment=ENVIRONMENT, file="p")
    assert str(result).split("\n") == [fault]


def test_an_empty_plan_is_a_fault():
    result = parse_plan(text="", file="p")
    allowed = "at least one section [kind NAME] is required"
    assert str(result) == f"p:1: [kind]: {allowed}"


@pytest.mark.parametrize("user", ["keelwater", "cimq"])
def test_the_examples_fit_their_documents(user):
    """Guards against example plans that use what their document lacks.

    Every request would be refused, and the operator would blame the system.
    """
    plan = parse_plan(text=(EXAMPLES / f"load-{user}.ini").read_text())
    assert isinstance(plan, Plan), str(plan)
    document = parse_document(text=(EXAMPLES / f"{user}.ini").read_text())
    aliases = {name for model in document.models.values() for name in model.aliases}
    names = {*document.models, *document.cascades, *aliases}
    for kind in plan.kinds:
        organisation = document.organisations[kind.organisation]
        assert kind.key == f"sample-key-{kind.organisation}"
        assert not kind.model or kind.model in names
        assert not kind.service or kind.service in organisation.services
