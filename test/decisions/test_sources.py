"""Tests of the choice of the peer that an entry fetches changes from."""

from eelgrassrack.decisions.sources import Source, rank_sources

OLD = (5, 5, 5)
NEW = (5, 9, 5)


def make(name, *, is_near=True, knows_store=True, configuration=3, revisions=NEW):
    return Source(
        name=name,
        is_near=is_near,
        knows_store=knows_store,
        configuration=configuration,
        revisions=revisions,
    )


def first(sources, *, revisions=OLD, spread="me"):
    return rank_sources(sources, revisions=revisions, spread=spread)[0]


def test_a_change_doesnt_send_all_to_the_same_watcher():
    """Many entries ask at once, and only four watchers on slow links know of it."""
    watchers = [make(f"w{number}") for number in range(4)]
    asked = [first(watchers, spread=f"entry{number}") for number in range(40)]
    assert max(asked.count(watcher.name) for watcher in watchers) <= 16


def test_one_of_the_same_failure_domain_is_asked_first():
    sources = [make(f"far{number}", is_near=False) for number in range(6)]
    assert first([*sources, make("near")]) == "near"


def test_a_configuration_comes_from_anyone_that_has_it():
    """The only watcher is far away and slow; a near entry has the configuration too."""
    updated = make("told", knows_store=False, configuration=4, revisions=OLD)
    watcher = make("watcher", is_near=False, configuration=4, revisions=OLD)
    outdated = make("behind", configuration=3, revisions=OLD)
    assert first([watcher, outdated, updated]) == "told"


def test_endpoints_are_only_learned_from_a_peer_that_reaches_the_store():
    disconnected = make("deaf", knows_store=False, configuration=9)
    assert first([disconnected, make("watcher", is_near=False)]) == "watcher"


def test_one_without_a_configuration_isnt_asked():
    assert rank_sources([make("new", configuration=0)], revisions=OLD, spread="") == []
