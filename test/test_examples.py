"""Tests that the examples are valid and have the size of the users' systems."""

import pathlib

import pytest

from eelgrassrack.document.parser import digest_api_key, parse_document
from eelgrassrack.document.snapshot import Snapshot
from eelgrassrack.settings import read_agent_settings, read_entry_settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def read_example(name):
    result = parse_document(text=(EXAMPLES / name).read_text(), file=name)
    assert isinstance(result, Snapshot), str(result)
    return result


@pytest.mark.parametrize(
    ("name", "rolling", "cascade", "service", "not_repeatable"),
    [
        ("keelwater.ini", "assess", "study", "registry", "POST /credentials"),
        ("cimq.ini", "review", "commentary", "collection", "POST /submissions"),
    ],
)
def test_document(name, rolling, cascade, service, not_repeatable):
    snapshot = read_example(name)
    assert len(snapshot.domains) == 3
    assert len(snapshot.organisations) == 10
    assert len(snapshot.models[rolling].versions) == 2
    assert len(snapshot.cascades[cascade].rungs) == 2
    assert snapshot.services[service].not_repeatable == (not_repeatable,)
    served = {version for pool in snapshot.pools.values() for version in pool.serves}
    assert served == set(snapshot.versions)
    for organisation in snapshot.organisations.values():
        digest = digest_api_key(f"sample-key-{organisation.name}")
        assert organisation.key_digest == digest


def test_policies_follow_the_measures():
    keelwater = read_example("keelwater.ini").policy
    cimq = read_example("cimq.ini").policy
    assert keelwater.latency > max(keelwater.cost, keelwater.exposure)
    assert min(cimq.cost, cimq.exposure) > cimq.latency


def test_settings():
    entry = read_entry_settings(EXAMPLES / "entry.ini")
    agent = read_agent_settings(EXAMPLES / "agent.ini")
    document = read_example("keelwater.ini")
    assert {entry.domain, agent.domain} <= set(document.domains)
    assert agent.pool in document.pools
