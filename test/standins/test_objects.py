"""Tests of the in-memory object table, without a network."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from eelgrassrack.standins.objects import Key, ObjectTable, TableStore
from eelgrassrack.store.objects import (
    Absent,
    Conflict,
    Found,
    Unavailable,
    Written,
)

KEYS = st.sampled_from([Key("a", "x"), Key("a", "x/y"), Key("b", "x")])
BODIES = st.binary(max_size=3)


class TableMachine(RuleBasedStateMachine):
    """Conditional writes against a plain dictionary of what was written."""

    def __init__(self):
        super().__init__()
        self.table = ObjectTable(clock=lambda: 0.0)
        self.bodies = {}
        self.versions = {}
        self.last_version = 0

    def note(self, result):
        """Check that each write has a higher version than all before."""
        assert isinstance(result, Written)
        assert result.version > self.last_version
        self.last_version = result.version
        return result.version

    @rule(key=KEYS, body=BODIES)
    def create(self, key, body):
        """Create succeeds exactly when there is no such object."""
        result = self.table.create(key=key, body=body)
        if key in self.bodies:
            assert result == Conflict()
            return
        self.versions[key] = self.note(result)
        self.bodies[key] = body

    @rule(key=KEYS, body=BODIES, version=st.integers(0, 40))
    def replace_any(self, key, body, version):
        """Replace succeeds exactly at the present version."""
        result = self.table.replace(key=key, body=body, version=version)
        if key not in self.bodies or version != self.versions[key]:
            assert result == Conflict()
            return
        self.versions[key] = self.note(result)
        self.bodies[key] = body

    @rule(key=KEYS, body=BODIES)
    def replace_present(self, key, body):
        """Replace at the present version, if there is one."""
        self.replace_any(key, body, self.versions.get(key, 0))

    @rule(key=KEYS, age=st.integers(0, 1))
    def remove(self, key, age):
        """Remove succeeds exactly at the present version."""
        version = self.versions.get(key, 0) - age
        result = self.table.remove(key=key, version=version)
        if key not in self.bodies or age:
            assert result == Conflict()
            return
        self.note(result)
        del self.bodies[key]

    @invariant()
    def reads_agree(self):
        """Every object reads as it was last written."""
        for key in [Key("a", "x"), Key("a", "x/y"), Key("b", "x")]:
            match self.table.read(key=key):
                case Found(body=body, version=version):
                    assert body == self.bodies[key]
                    assert version == self.versions[key]
                case Absent():
                    assert key not in self.bodies
        names = sorted(key.name for key in self.bodies if key.kind == "a")
        assert list(self.table.find_names(kind="a", prefix="").names) == names


TestTable = TableMachine.TestCase
TestTable.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)


def test_a_lost_answer_hides_a_write_that_took_effect():
    """A write takes effect, but its answer doesn't reach the writer."""

    async def scenario():
        table = ObjectTable(clock=lambda: 0.0)
        store = TableStore(table=table, caller="entry-1")
        table.lose_answers = 1
        lost = await store.create(kind="a", name="x", body=b"1")
        assert isinstance(lost, Unavailable)
        assert lost.maybe_written
        assert isinstance(await store.read(kind="a", name="x"), Found)
        again = await store.create(kind="a", name="x", body=b"1")
        assert again == Conflict()
        assert table.count_calls(caller="entry-1") == 3

    asyncio.run(scenario())


def test_an_outage_ends_watches_and_a_cancelled_watch_is_removed():
    async def scenario():
        table = ObjectTable(clock=lambda: 0.0)
        store = TableStore(table=table, caller="entry-1")
        watches = [
            asyncio.ensure_future(
                store.watch(kind="a", name="x", version=0, timeout=60.0)
            )
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        watches[1].cancel()
        table.outage = True
        assert isinstance(await watches[0], Unavailable)
        assert table.count_watches() == 0

    asyncio.run(scenario())
