"""Tests of the command that plays days with several trees."""

import ast
import importlib

import pytest

from bench.plays.mechanisms import MECHANISMS, find_mechanism
from bench.plays.play import Failure, Part, Price, Report, Summary


def make_report(worth, **rest):
    return Report(
        G=worth,
        served=0.9,
        refused=0.0,
        failed=0.01,
        parts=[Part("whole day", 0.6, 0.9), Part("worst windows", 0.25, 0.5)],
        prices=[Price("bytes", 2.0, 0.03), Price("models", 5.0, 0.07)],
        **{"breaks": {}, **rest},
    )


def summarize(*reports, failures=()):
    return Summary(
        copy="whole", site="s", day="d", reports=list(reports), failures=list(failures)
    )


def list_replaced(neutral):
    """Return the names that a neutral answer takes the place of, with dots."""
    for node in ast.parse(neutral).body:
        match node:
            case ast.FunctionDef(name=name):
                yield name
            case ast.Assign(targets=[target]):
                yield ast.unparse(target)


@pytest.mark.parametrize("name", [one.name for one in MECHANISMS])
def test_a_neutral_answer_replaces_something_that_is_there(name):
    """A function is renamed, and its ablation goes on to show that it is worth nothing.

    Nothing would be taken out of the copy, and nobody would notice.
    """
    mechanism = find_mechanism(name)
    path = mechanism.module.removesuffix(".py").replace("/", ".")
    module = importlib.import_module(path)
    replaced = list(list_replaced(mechanism.neutral))
    assert replaced
    for dotted in replaced:
        owner = module
        for part in dotted.split("."):
            assert part in vars(owner), dotted
            owner = vars(owner)[part]


def test_seeds_are_averaged_and_spread():
    found = summarize(make_report(0.6), make_report(0.8))
    assert found.average("G") == pytest.approx(0.7)
    assert found.average("price") == pytest.approx(0.1)
    assert found.average("windows") == pytest.approx(0.5)
    assert found.spread == pytest.approx(0.1414, abs=1e-3)
    assert summarize(make_report(0.6)).spread == 0.0


def test_broken_rules_and_plays_without_a_report_are_listed():
    """A tree that breaks a rule, or doesn't start, must not look like a good one."""
    found = summarize(
        make_report(0.6, breaks={"TWICE": 1}),
        make_report(0.6, fault="did not start"),
        failures=[Failure(reason="no end")],
    )
    assert found.broken == "TWICE, fault, no end"
