"""Tests of which entries have a place where there are too few for all."""

from hypothesis import given
from hypothesis import strategies as st

from eelgrassrack.decisions.precedence import Sharer, count_before

DOMAINS = ("north", "south")
ENTRIES = st.lists(st.sampled_from(DOMAINS), min_size=1, max_size=40).map(
    lambda domains: [Sharer(f"e{n}", domain) for n, domain in enumerate(domains)]
)


@given(entries=ENTRIES, places=st.integers(1, 10), data=st.data())
def test_no_more_take_a_place_than_there_are(entries, places, data):
    """Entries that have just started don't know yet where the others lie."""
    taken = 0
    for own in entries:
        others = [
            one if data.draw(st.booleans()) else Sharer(one.name, "")
            for one in entries
            if one is not own
        ]
        before = count_before(own=own, others=others, key="1", domain="north")
        taken += before < places
    assert taken <= places


@given(entries=ENTRIES, places=st.integers(1, 10))
def test_all_places_are_taken_by_those_of_the_domain_first(entries, places):
    """Bytes between failure domains are paid for."""
    taken = [
        own
        for own in entries
        if count_before(
            own=own,
            others=[one for one in entries if one is not own],
            key="1",
            domain="north",
        )
        < places
    ]
    near = [one for one in entries if one.domain == "north"]
    assert len(taken) == min(places, len(entries))
    assert sum(one.domain == "north" for one in taken) == min(places, len(near))
