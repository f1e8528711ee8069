"""Tests that document changes are applied once, completely, and never reverted."""

import asyncio
import itertools
import pathlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassrack.document.lines import SectionName
from eelgrassrack.invariants import InvariantError, Invariants
from eelgrassrack.store import audit
from eelgrassrack.store.head import (
    Applied,
    ApplyRefused,
    DocumentHead,
    HeadState,
    KeyChange,
    NoDocument,
)
from eelgrassrack.store.headrecord import KIND
from eelgrassrack.store.objects import Absent, Unavailable, Unchanged
from eelgrassrack.store.revisions import RevisionGuard

from .steps import make_store

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "keelwater.ini"
TEXT = EXAMPLE.read_text()
WEIGHT = ("weight = 20\n", "weight = 40\n")
LATENCY = ("latency = 3\n", "latency = 5\n")


class HookedStore:
    """An object store that runs the test's hooks in place of its writes.

    A hook replaces the next write to a kind.  It receives that write as a function and
    returns the answer.
    """

    def __init__(self, store):
        self.store = store
        self.hooks = {}
        self.reads = []

    async def read(self, *, kind, name):
        self.reads.append(kind)
        return await self.store.read(kind=kind, name=name)

    async def watch(self, **arguments):
        return await self.store.watch(**arguments)

    async def create(self, *, kind, **arguments):
        return await self._write(self.store.create, kind, arguments)

    async def replace(self, *, kind, **arguments):
        return await self._write(self.store.replace, kind, arguments)

    async def _write(self, call, kind, arguments):
        hook = self.hooks.pop(kind, None)
        if hook:
            return await hook(lambda: call(kind=kind, **arguments))
        return await call(kind=kind, **arguments)


class Operator:
    """A member of a team who changes the document."""

    def __init__(self, store, team):
        self.hooked = HookedStore(store)
        self.head = DocumentHead(store=self.hooked)
        self.team = team

    async def apply(self, change, *patterns, text=TEXT):
        assert change[0] in text
        return await self.head.apply(
            team=self.team,
            patterns=patterns,
            proposed=text.replace(*change),
            who=f"{self.team}-1",
            now=1000.0,
        )

    async def apply_weight(self):
        return await self.apply(WEIGHT, "version assess/*")

    async def apply_latency(self):
        return await self.apply(LATENCY, "policy")


@pytest.fixture
def store():
    store = make_store()
    head = DocumentHead(store=store)
    first = asyncio.run(head.initialise(text=TEXT, who="setup", now=0.0))
    assert first == Applied(revision=1)
    return store


@pytest.fixture
def direction(store):
    return Operator(store, "direction")


@pytest.fixture
def assessment(store):
    return Operator(store, "assessment")


def read(store):
    return asyncio.run(DocumentHead(store=store).read())


def read_trail(store, limit=99):
    return asyncio.run(DocumentHead(store=store).audit(limit=limit))


def test_first_document():
    store = make_store()
    assert read(store) == NoDocument()
    assert read_trail(store) == ()
    operator = Operator(store, "anybody")
    result = asyncio.run(operator.apply(("", ""), "*"))
    assert result == Applied(revision=1)
    assert "assess/2026-10" in read(store).snapshot.versions


def test_second_first_document_is_refused(store):
    again = asyncio.run(
        DocumentHead(store=store).initialise(text=TEXT, who="setup", now=0.0)
    )
    assert isinstance(again, ApplyRefused)
    assert read(store).text == TEXT


def test_change_is_in_force_and_in_the_trail(store, assessment):
    assert asyncio.run(assessment.apply_weight()) == Applied(revision=2)
    state = read(store)
    assert state.text == TEXT.replace(*WEIGHT)
    assert state.snapshot.revision == state.revision == 2
    newest, first = read_trail(store)
    assert (newest.revision, newest.from_revision) == (2, 1)
    assert (newest.team, newest.who) == ("assessment", "assessment-1")
    assert newest.changed == ("version assess/2026-10",)
    assert first.revision == 1
    assert read_trail(store, limit=1) == (newest,)
    assert asyncio.run(assessment.apply_weight()) == Applied(revision=2)


def test_follower_reads_only_what_changed(store, assessment):
    async def follow():
        hooked = HookedStore(store)
        head = DocumentHead(store=hooked)
        state = await head.watch(known_version=0, timeout=1.0)
        hooked.reads.clear()
        await assessment.apply_weight()
        newer = await head.watch(known_version=state.version, timeout=1.0)
        same = await head.watch(known_version=newer.version, timeout=0.0)
        return newer, same, hooked.reads

    newer, same, reads = asyncio.run(follow())
    assert (newer.revision, same, reads) == (2, Unchanged(), ["sections"])


@pytest.mark.parametrize(
    ("change", "pattern", "reason"),
    [
        (LATENCY, "policy", "may not edit"),
        (("weight = 20\n", "weight = much\n"), "version assess/*", "faults"),
        (WEIGHT, "version none/*", "no section matches"),
    ],
)
def test_refusals(store, assessment, change, pattern, reason):
    result = asyncio.run(assessment.apply(change, pattern))
    assert isinstance(result, ApplyRefused)
    assert reason in result.reason
    assert bool(result.faults) == (reason == "faults")
    assert read(store).revision == 1


def test_unknown_team_is_refused(store):
    stranger = Operator(store, "nobody")
    result = asyncio.run(stranger.apply(LATENCY, "policy"))
    assert result == ApplyRefused(reason="there is no team nobody")


async def lose_answer(write):
    await write()
    return Unavailable(reason="lost", maybe_written=True)


def test_lost_answer_to_the_first_document():
    """An operator told that a document exists would search for its author in vain."""
    operator = Operator(make_store(), "setup")
    operator.hooked.hooks[KIND] = lose_answer
    first = asyncio.run(operator.head.initialise(text=TEXT, who="setup", now=0.0))
    assert first == Applied(revision=1)


def test_lost_answer_is_recognised(store, assessment):
    """The change takes effect but its answer is lost.

    An operator told that it failed would make it again, or undo by hand what is in
    force everywhere.
    """
    assessment.hooked.hooks[KIND] = lose_answer
    assert asyncio.run(assessment.apply_weight()) == Applied(revision=2)
    assert read(store).revision == 2


def test_lost_answer_and_overtaken(store, assessment, direction):
    """The answer is lost, and another team's change follows before the head is read.

    The head then shows only the other team's change.  If this change were made again,
    it would be in the audit trail twice, as two revisions.
    """

    async def lose(write):
        await write()
        assert await direction.apply_latency() == Applied(revision=3)
        return Unavailable(reason="lost", maybe_written=True)

    assessment.hooked.hooks[KIND] = lose
    assert asyncio.run(assessment.apply_weight()) == Applied(revision=2)
    assert [entry.team for entry in read_trail(store)[:2]] == [
        "direction",
        "assessment",
    ]
    assert read(store).text == TEXT.replace(*WEIGHT).replace(*LATENCY)


@pytest.mark.parametrize("kind", ["sections", KIND])
def test_two_teams_in_race(store, assessment, direction, kind):
    """Two teams read the same revision and both write.

    The later write must not contain the old text of the other team's sections.
    """

    async def overtake(write):
        assert await direction.apply_latency() == Applied(revision=2)
        return await write()

    assessment.hooked.hooks[kind] = overtake
    assert asyncio.run(assessment.apply_weight()) == Applied(revision=3)
    assert read(store).text == TEXT.replace(*WEIGHT).replace(*LATENCY)


def test_joint_conflict(store, assessment):
    """One team removes a section while another adds a section that refers to it.

    Each change is valid alone.  Combined, a pool would serve a version that isn't in
    the document.
    """
    operations = Operator(store, "operations")
    start = TEXT.index("[version assess/2026-10]")
    section = TEXT[start : TEXT.index("\n\n", start)]
    added = ("[limits]", "[pool more]\nserves = assess/2026-10\n\n[limits]")
    pools = [
        line
        for line in TEXT.splitlines()
        if line.startswith("serves") and "assess/2026-10" in line
    ]
    other_pool = pools[0].replace(", assess/2026-10", "")

    async def overtake(write):
        assert await operations.apply(added, "pool more") == Applied(revision=3)
        return await write()

    async def race():
        await operations.apply((pools[0], other_pool), "pool *")
        assessment.hooked.hooks[KIND] = overtake
        return await assessment.apply((section, ""), "version assess/2026-10")

    result = asyncio.run(race())
    assert result.reason == "faults"
    state = read(store)
    assert state.revision == 3
    assert "assess/2026-10" in state.snapshot.versions


async def fail(write):
    return Unavailable(reason="down")


def lose_copy(operator):
    """Make the copy of an operator's next audit entry fail."""

    async def write_then_fail(write):
        operator.hooked.hooks[audit.KIND] = fail
        return await write()

    operator.hooked.hooks[KIND] = write_then_fail


def test_missing_copy_is_repaired(store, assessment, direction):
    """A writer is lost after its change and before it copies the audit entry."""
    lose_copy(assessment)
    assert asyncio.run(assessment.apply_weight()) == Applied(revision=2)
    name = audit.make_entry_name(2)
    assert asyncio.run(store.read(kind=audit.KIND, name=name)) == Absent()
    asyncio.run(direction.apply_latency())
    assert [entry.revision for entry in read_trail(store)] == [3, 2, 1]


def test_no_change_without_the_trail(store, assessment, direction):
    """The previous revision's entry can't be copied, so nothing may change."""
    lose_copy(assessment)
    asyncio.run(assessment.apply_weight())
    direction.hooked.hooks[audit.KIND] = fail
    result = asyncio.run(direction.apply_latency())
    assert isinstance(result, Unavailable)
    assert not result.maybe_written
    assert read(store).revision == 2


def test_damaged_section_is_not_taken(store):
    """The store returns other bytes than were written."""
    names = asyncio.run(store.find_names(kind="sections", prefix="")).names
    found = asyncio.run(store.read(kind="sections", name=names[0]))
    asyncio.run(
        store.replace(
            kind="sections", name=names[0], body=b"[x]", version=found.version
        )
    )
    assert isinstance(read(store), Unavailable)


# Edits of the policy and of extra domains, which come and go.
EDITS = st.lists(
    st.tuples(st.integers(0, 1), st.sampled_from((None, "in", "out"))),
    min_size=3,
    max_size=8,
)


@settings(derandomize=True, deadline=None, max_examples=40)
@given(edits=EDITS)
def test_earlier_revisions_can_be_read(edits):
    """Sections are changed, removed and added again in any order."""
    store = make_store()
    operator = Operator(store, "operations")
    texts = []

    async def play():
        await operator.head.initialise(text=TEXT, who="setup", now=0.0)
        texts.append((await operator.head.read()).text)
        for number, state in edits:
            section = f"[domain spare-{number}]\nstate = {state}\n"
            text = TEXT + section if state else TEXT
            await operator.apply(("", ""), f"domain spare-{number}", text=text)
            current = await operator.head.read()
            if current.revision > len(texts):
                texts.append(current.text)
        for revision, text in zip(itertools.count(1), texts, strict=False):
            state = await operator.head.read_revision(revision=revision)
            assert isinstance(state, HeadState)
            assert (state.revision, state.text) == (revision, text)
        missing = await operator.head.read_revision(revision=len(texts) + 1)
        assert missing == Absent()

    asyncio.run(play())


def test_revisions_never_revert():
    """A peer that was paused offers an outdated document."""
    revisions = RevisionGuard(invariants=Invariants(strict=True))
    assert [revisions.accept(number) for number in (3, 3, 2, 5)] == [
        True,
        False,
        False,
        True,
    ]
    assert revisions.check_in_force(5)
    with pytest.raises(InvariantError):
        revisions.check_in_force(3)


def test_set_keys_keeps_a_concurrent_change():
    """Two teams change keys of one section concurrently.

    One withdraws a version while the other raises its weight.  Neither change may undo
    the other.
    """
    store = make_store()
    first, second = Operator(store, "operations"), Operator(store, "assessment")
    section = SectionName("version", "assess/2026-10")

    async def set_key(operator, key, value):
        return await operator.head.set_keys(
            team=operator.team,
            changes=(KeyChange(section=section, key=key, value=value),),
            who=operator.team,
            now=1.0,
        )

    async def play():
        await first.head.initialise(text=TEXT, who="setup", now=0.0)

        async def set_weight_first(write):
            assert isinstance(await set_key(second, "weight", "33"), Applied)
            return await write()

        first.hooked.hooks[KIND] = set_weight_first
        assert await set_key(first, "state", "withdrawn") == Applied(revision=3)
        return (await first.head.read()).snapshot.versions[section.name]

    version = asyncio.run(play())
    assert (version.weight, version.state.value) == (33, "withdrawn")
