"""Tests of the generated documents that measurements use."""

import pytest

from bench.documents import MODEL, POOL, VERSION, make_document, make_key
from eelgrassrack.document.parser import parse_document
from eelgrassrack.document.snapshot import Snapshot
from eelgrassrack.entry.arrivals import authenticate_caller


@pytest.mark.parametrize("organisations", [1, 40])
def test_a_document_is_valid_and_admits_its_callers(organisations):
    text = make_document(organisations=organisations, models=3, domains=2)
    snapshot = parse_document(text=text, revision=1)
    assert isinstance(snapshot, Snapshot), snapshot
    assert len(snapshot.organisations) == organisations
    assert snapshot.models[MODEL].versions == (VERSION,)
    assert snapshot.pools[POOL].serves == (VERSION,)
    key = make_key(organisations - 1)
    caller = authenticate_caller(snapshot=snapshot, authorization=f"Bearer {key}")
    assert caller.name == f"o{organisations - 1}"
    assert snapshot.allows(organisation=caller, version=VERSION)
