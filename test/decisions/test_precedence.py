"""Tests of which entries may use an endpoint that can't serve all of them."""

from hypothesis import given
from hypothesis import strategies as st

from eelgrassrack.decisions.precedence import Sharer, count_before

DOMAINS = ("north", "south")
ENTRIES = st.lists(st.sampled_from(DOMAINS), min_size=1, max_size=40).map(
    lambda domains: [Sharer(f"e{n}", domain) for n, domain in enumerate(domains)]
)


@given(entries=ENTRIES, limit=st.integers(1, 10), data=st.data())
def test_no_more_entries_use_an_endpoint_than_allowed(entries, limit, data):
    """Entries that have just started don't know the others' failure domains yet."""
    allowed = 0
    for own in entries:
        others = [
            entry if data.draw(st.booleans()) else Sharer(entry.name, "")
            for entry in entries
            if entry is not own
        ]
        before = count_before(own=own, others=others, key="1", domain="north")
        allowed += before < limit
    assert allowed <= limit


@given(entries=ENTRIES, limit=st.integers(1, 10))
def test_entries_of_the_same_domain_come_first(entries, limit):
    """Bytes between failure domains cost money."""
    allowed = [
        own
        for own in entries
        if count_before(
            own=own,
            others=[entry for entry in entries if entry is not own],
            key="1",
            domain="north",
        )
        < limit
    ]
    near = [entry for entry in entries if entry.domain == "north"]
    assert len(allowed) == min(limit, len(entries))
    assert sum(entry.domain == "north" for entry in allowed) == min(limit, len(near))
