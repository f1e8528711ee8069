"""Tests of the facts about the document that agents receive."""

from eelgrassrack.document.facts import build_facts
from eelgrassrack.document.parser import parse_document
from eelgrassrack.mailbox.messages import Facts

TEXT = f"""\
[organisation heavy]
key_digest = {"a" * 64}
allows = m
weight = 2
[organisation elsewhere]
key_digest = {"b" * 64}
allows = n
services = s
weight = 3
[organisation usual]
key_digest = {"c" * 64}
allows = m
[model m]
[model n]
[version m/1]
state = withdrawn
[version m/2]
[version n/1]
state = withdrawn
[domain west]
state = out
[domain east]
[endpoint e1]
state = draining
[endpoint e2]
[service s]
[pool p]
serves = m/1, m/2
concurrency = 8
cold_concurrency = 1
[pool q]
service = s
"""


def test_facts_hold_only_what_the_pool_needs():
    snapshot = parse_document(text=TEXT, revision=4)
    facts = build_facts(snapshot=snapshot, pool="p", quarantined=("f",))
    assert facts == Facts(
        revision=4,
        withdrawn=("m/1",),
        domains_out=("west",),
        endpoints_out=("e1",),
        weights={"heavy": 2.0},
        serves=("m/1", "m/2"),
        concurrency=8,
        cold_concurrency=1,
        quarantined=("f",),
        costs={"m/1": 1.0, "m/2": 1.0},
    )
    service = build_facts(snapshot=snapshot, pool="q")
    assert (service.service, service.weights) == ("s", {"elsewhere": 3.0})


def test_an_unknown_pool_serves_nothing():
    facts = build_facts(snapshot=parse_document(text=TEXT), pool="new")
    assert (facts.serves, facts.service, facts.weights) == ((), "", {})
