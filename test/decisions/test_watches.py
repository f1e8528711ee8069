"""Tests of store watches, idle connections and paces."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassrack.decisions.idle import choose_idle_seconds
from eelgrassrack.decisions.pace import INITIAL_BASE_SECONDS, Pace
from eelgrassrack.decisions.watchers import (
    MAX_ALL_WATCH,
    MAX_EXTRA,
    WATCHERS,
    find_thin,
    find_watch_role,
)
from eelgrassrack.decisions.watchschedule import find_wait


@given(
    entries=st.integers(1, 12),
    bound=st.floats(1.0, 6.0),
    time_of_day=st.floats(0.0, 1e9),
)
def test_some_watch_is_renewed_within_the_bound(entries, bound, time_of_day):
    """A store that lost its history notifies none of the pending watches.

    The first entry whose turn comes finds the change and notifies the others.  This
    happens within the bound even if one entry's turn is missing.
    """
    ends = sorted(
        find_wait(bound=bound, entries=entries, rank=rank, time_of_day=time_of_day)
        for rank in range(entries)
    )
    assert 0.0 < ends[0] <= bound
    gaps = [after - before for before, after in itertools.pairwise(ends)]
    assert max(gaps, default=0.0) <= bound * 0.4 + 0.3 + 0.01


def test_all_watch_in_a_small_fleet_and_few_in_a_large_one():
    names = [f"entry-{number}" for number in range(40)]
    for count in (MAX_ALL_WATCH, 40):
        roles = [
            find_watch_role(
                name=name,
                others=[other for other in names[:count] if other != name],
                is_store_reachable=True,
            )
            for name in names[:count]
        ]
        ranks = [role.rank for role in roles if role.rank is not None]
        assert sorted(ranks) == list(range(min(count, max(WATCHERS, 0)))) or (
            count == MAX_ALL_WATCH and sorted(ranks) == list(range(MAX_ALL_WATCH))
        )


def test_if_nobody_reaches_the_store_every_entry_watches():
    """The store rejects all watchers but would serve the other entries."""
    names = [f"entry-{number}" for number in range(40)]
    roles = [
        find_watch_role(name=name, others=names, is_store_reachable=False)
        for name in names
    ]
    assert all(role.rank is not None for role in roles)


def find_role(name, names, **rest):
    """Return an entry's role while some entry reaches the store."""
    return find_watch_role(name=name, others=names, is_store_reachable=True, **rest)


@settings(deadline=None)
@given(lost=st.sets(st.integers(0, 39)))
def test_entries_that_lost_the_store_are_replaced(lost):
    """Guards against changes that nobody reads while the store rejects all watchers.

    Of those that lost the store the regular watchers go on trying.
    """
    names = [f"entry-{number}" for number in range(40)]
    lost_names = {names[number] for number in lost}
    roles = {name: find_role(name, names, lost=lost_names) for name in names}
    regular = {name for name in names if find_role(name, names).rank is not None}
    able = [name for name in names if name not in lost_names]
    watching = [name for name in able if roles[name].rank is not None]
    replaced = len(lost_names & regular)
    assert len(watching) == min(WATCHERS + replaced, len(able))
    assert {roles[name].rank for name in watching} == set(range(len(watching)))
    trying = {name for name in lost_names if roles[name].rank is not None}
    assert trying == lost_names & regular


def test_replacements_that_reach_the_store_are_enough():
    """Guards against large changes that fill the links of more and more entries."""
    names = [f"entry-{number}" for number in range(40)]
    lost = {name for name in names if find_role(name, names).rank is not None}
    tried = {
        name
        for name in names
        if find_role(name, names, lost=lost).rank is not None and name not in lost
    }
    assert len(tried) == WATCHERS + MAX_EXTRA
    left = {
        name
        for name in names
        if name not in lost
        and find_role(name, names, lost=lost, reaching=tried).rank is not None
    }
    assert left < tried
    assert len(left) == WATCHERS


def test_a_replacement_isn_t_displaced_by_one_that_may_be_able_again():
    """Guards against lists that begin anew each time a lost entry is tried again."""
    names = [f"entry-{number}" for number in range(40)]
    lost = {name for name in names if find_role(name, names).rank is not None}
    further = {
        name
        for name in names
        if find_role(name, names, lost=lost).rank is not None and name not in lost
    }
    watching = {
        name
        for name in names
        if find_role(name, names, lost=lost | further).rank is not None
        and name not in lost | further
    }
    again = {
        name
        for name in names
        if find_role(name, names, lost=lost, reaching=watching).rank is not None
        and name not in lost
    }
    assert len(again) == WATCHERS
    assert again < watching


def test_idle_connections_are_dropped_before_the_endpoint_closes_them():
    assert choose_idle_seconds(5.0) < 5.0
    assert choose_idle_seconds(0.0) == 0.0
    assert choose_idle_seconds(None) > 0.0


def test_paces_are_learned_by_model():
    pace = Pace()
    for _ in range(100):
        pace.note(
            model="large", cost=14.0, tokens=10_000, seconds=INITIAL_BASE_SECONDS + 0.64
        )
        pace.note(
            model="small", cost=1.0, tokens=10_000, seconds=INITIAL_BASE_SECONDS + 0.06
        )
    large = pace.estimate(model="large", cost=14.0, tokens=1_000)
    small = pace.estimate(model="small", cost=1.0, tokens=1_000)
    assert 0.055 < large < 0.07
    assert 0.005 < small < 0.007


def test_short_prompts_and_outliers_have_little_effect():
    pace = Pace()
    before = pace.estimate(model="small", cost=1.0, tokens=1_000)
    pace.note(model="small", cost=1.0, tokens=100, seconds=9.0)
    assert pace.estimate(model="small", cost=1.0, tokens=1_000) == before
    pace.note(model="small", cost=1.0, tokens=1_000, seconds=9.0)
    assert pace.estimate(model="small", cost=1.0, tokens=1_000) < before * 1.5


def test_entries_with_thin_links_watch_last():
    """Guards against large changes that fill the link of an entry that watches.

    All entries know the links of all others; those of a few are far thinner.
    """
    names = [f"entry-{number}" for number in range(40)]
    links = dict.fromkeys(names, 100.0)
    ranks = {
        name: find_watch_role(
            name=name, others=names, is_store_reachable=True, links=links
        ).rank
        for name in names
    }
    thin = {name for name, rank in ranks.items() if rank is not None}
    links |= dict.fromkeys(thin, 5.0)
    watching = {
        name
        for name in names
        if find_watch_role(
            name=name, others=names, is_store_reachable=True, links=links
        ).rank
        is not None
    }
    assert len(watching) == WATCHERS
    assert not watching & thin


def test_entries_of_unknown_links_count_as_usual():
    names = [f"entry-{number}" for number in range(40)]
    links = {names[0]: 0.0, names[1]: 100.0}
    assert not find_thin(links)
    assert find_thin({**links, names[2]: 100.0, names[3]: 5.0}) == {names[3]}
