"""Tests of lists and changes of the store that hold odd items."""

import json

import msgspec
import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from eelgrassrack.errors import FormatError
from eelgrassrack.jsonparts import (
    MAX_DEPTH,
    TOO_DEEP,
    cut_deep,
    split_array,
    split_object,
)
from eelgrassrack.platform.objects import WireEvent, WireObject
from eelgrassrack.platform.pages import OddItem, read_changes, read_object, read_page

DEEP = b"[" * 100_000 + b"]" * 100_000
SOUND = b'{"metadata":{"name":"sound","revision":3},"spec":{"a":1}}'

# Items whose metadata can't be read, and the name that they have in spite of it.
ODD = {
    "no object": (b"17", ""),
    "null": (b"null", ""),
    "nothing in it": (b"{}", ""),
    "no name": (b'{"metadata":{}}', ""),
    "a name that is a number": (b'{"metadata":{"name":1}}', ""),
    "a name of many levels": (b'{"metadata":{"name":%s}}' % DEEP, ""),
    "deep metadata": (b'{"metadata":%s}' % DEEP, ""),
    "deep finalizers": (b'{"metadata":{"name":"odd","finalizers":%s}}' % DEEP, "odd"),
    "a revision beyond all": (b'{"metadata":{"name":"odd","revision":1e40}}', "odd"),
    "a revision below all": (b'{"metadata":{"name":"odd","revision":-1}}', "odd"),
    "a huge revision": (
        b'{"metadata":{"name":"odd","revision":%s}}' % (b"9" * 50),
        "odd",
    ),
}

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def count_levels(value):
    """Return how deeply JSON is nested."""
    if not isinstance(value, (list, dict)):
        return 0
    inner = value.values() if isinstance(value, dict) else value
    return 1 + max(map(count_levels, inner), default=0)


@pytest.mark.parametrize("odd", ODD)
def test_an_odd_item_doesnt_hide_those_beside_it(odd):
    """One odd item of a list would make the whole list unreadable."""
    item, name = ODD[odd]
    page = read_page(
        b'{"items":[%s,%s,%s],"storeRevision":7,"hasMore":true}' % (SOUND, item, SOUND)
    )
    assert (page.store_revision, page.has_more) == (7, True)
    first, found, last = page.items
    assert first.metadata.name == last.metadata.name == "sound"
    assert isinstance(found, OddItem)
    assert (found.name, bool(found.reason)) == (name, True)


@pytest.mark.parametrize("odd", ODD)
def test_an_odd_change_doesnt_hide_those_beside_it(odd):
    """One odd change would hide all that came with it."""
    item, name = ODD[odd]
    events = b'{"object":%s},{"object":%s,"tombstone":true}' % (item, SOUND)
    changes = read_changes(b'{"events":[%s],"storeRevision":7}' % events)
    found, last = changes.events
    assert found.name == name
    assert isinstance(last, WireEvent) and last.tombstone


@pytest.mark.parametrize(
    "event", (b"1", b"{}", b'{"object":1}', b'{"object":%s,"tombstone":1}' % SOUND)
)
def test_a_change_of_no_object_doesnt_hide_those_beside_it(event):
    body = b'{"events":[%s,{"object":%s}],"storeRevision":7}' % (event, SOUND)
    odd, sound = read_changes(body).events
    assert isinstance(odd, OddItem)
    assert sound.object.metadata.name == "sound"


def test_what_is_odd_in_an_object_leaves_the_rest_of_it():
    """An order's odd status, which another writer can write, would end the order."""
    found = read_object(
        b'{"metadata":{"name":"x"},"spec":{"to":"v2"},"status":%s}' % DEEP
    )
    assert isinstance(found, WireObject)
    assert bytes(found.spec) == b'{"to":"v2"}'
    assert TOO_DEEP in bytes(found.status)


@pytest.mark.parametrize(
    "body",
    (
        b"",
        b"[]",
        b"null",
        b'{"items":[]}',
        b'{"items":{},"storeRevision":7}',
        b'{"items":[],"storeRevision":-7}',
        b'{"items":[],"storeRevision":7',
        b'{"items":[{]},"storeRevision":7}',
        b'{"items":["],"storeRevision":7}',
        b'{"items":[],"storeRevision":7}}',
        b'{"items":[],"storeRevision":%s}' % (b"9" * 30),
        DEEP,
        DEEP[:-1],
    ),
)
def test_an_answer_that_is_no_list_is_refused(body):
    """Objects would count as removed because a part of the list got lost."""
    with pytest.raises(FormatError):
        read_page(body)


@given(values, values, st.booleans())
def test_parts_are_those_of_the_whole(one, other, is_ascii):
    listed = json.dumps([one, other], ensure_ascii=is_ascii).encode()
    assert [json.loads(part) for part in split_array(listed)] == [one, other]
    named = {"a": one, "b,]": other}
    members = split_object(json.dumps(named, ensure_ascii=is_ascii).encode())
    assert {name: json.loads(part) for name, part in members.items()} == named


@given(values, st.integers(0, 2 * MAX_DEPTH))
def test_only_what_is_too_deep_is_cut(value, levels):
    deep = value
    for _ in range(levels):
        deep = {"x": [deep, 1]}
    data = json.dumps([deep, value]).encode()
    assume(TOO_DEEP not in data)
    kept = json.loads(cut_deep(data).replace(TOO_DEEP, b"null"))
    assert kept[1] == value
    is_cut = TOO_DEEP in cut_deep(data)
    assert is_cut or kept[0] == deep
    assert not is_cut or 1 + count_levels(deep) > MAX_DEPTH


def test_parts_of_sound_objects_stay_as_they_are():
    body = msgspec.json.encode(
        {"metadata": {"name": "x"}, "spec": {"a": [1, {"b": 2}]}}
    )
    assert cut_deep(body) == body
