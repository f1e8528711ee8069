"""Tests of the commands and their exit codes, with a fake platform."""

import asyncio
import contextlib
import json
import pathlib
import time

import cappa
import msgspec
import pytest

from eelgrassrack.invariants import Invariants
from eelgrassrack.mailbox.messages import Bill
from eelgrassrack.standins.objects import ObjectTable, TableStore
from eelgrassrack.statuses import EndpointStatus, EntryStatus, VersionStatus
from eelgrassrack.store.head import DocumentHead
from eelgrassrack.store.ledger import Ledger
from eelgrassrack.ui import main
from eelgrassrack.ui.errors import OK, REFUSED, UNAVAILABLE, USAGE, UnavailableError
from eelgrassrack.ui.tools import Tools

KEELWATER = pathlib.Path(__file__).parents[2] / "examples" / "keelwater.ini"
OBJECTS = ("--objects", "http://objects")


class Fakes:
    """An in-memory platform and entries, and a clock that `sleep` advances."""

    def __init__(self):
        self.table = ObjectTable(clock=time.monotonic)
        self.store = TableStore(table=self.table, caller="operator")
        self.statuses = {}
        self.time = 0.0
        self.on_sleep = lambda: None

    async def fetch(self, url):
        """Return the status of an entry, or fail if it has none."""
        if url not in self.statuses:
            raise UnavailableError(f"{url}: refused")
        return msgspec.json.encode(self.statuses[url])

    async def sleep(self, seconds):
        """Advance the clock."""
        self.time += seconds
        self.on_sleep()

    def run(self, *argv):
        """Run a command and return its exit code."""
        tools = Tools(
            connect=lambda url: contextlib.nullcontext(self.store),
            fetch=self.fetch,
            now=lambda: 1_790_000_000.0,
            clock=lambda: self.time,
            sleep=self.sleep,
            environment={"LAB_KEY": "s3cret"},
            who="ana",
        )
        return main([str(arg) for arg in argv], tools=tools)

    def apply(self, file, *patterns, team, more=()):
        """Run `apply`."""
        sections = [arg for pattern in patterns for arg in ("--section", pattern)]
        return self.run("apply", file, *sections, "--as", team, *OBJECTS, *more)

    def read(self):
        """Return the stored document."""
        return asyncio.run(DocumentHead(store=self.store).read())


@pytest.fixture
def empty():
    return Fakes()


@pytest.fixture
def fakes(empty, capsys):
    assert empty.apply(KEELWATER, "*", team="direction") == OK
    capsys.readouterr()
    return empty


@pytest.fixture
def edited(tmp_path):
    def write(old, new):
        path = tmp_path / "edited.ini"
        text = KEELWATER.read_text()
        assert old in text
        path.write_text(text.replace(old, new))
        return path

    return write


def test_check(empty, edited, capsys):
    assert empty.run("check", KEELWATER) == OK
    assert "no faults" in capsys.readouterr().out
    path = edited("latency = 3\n", "latency = high\nhaste = 1\n")
    assert empty.run("check", path) == REFUSED
    first, second = capsys.readouterr().out.splitlines()
    number = path.read_text().split("\n").index("latency = high") + 1
    assert first.startswith(f"{path}:{number}: [policy] latency = high: number")
    assert second.startswith(f"{path}:{number + 1}: [policy] haste = 1: unknown key")
    assert empty.run("check", path, "--json") == REFUSED
    faults = json.loads(capsys.readouterr().out)["faults"]
    assert [fault["key"] for fault in faults] == ["latency", "haste"]


def test_missing_file_is_one_line(empty, capsys):
    assert empty.run("check", "nowhere.ini") == REFUSED
    error = capsys.readouterr().err
    assert error == "eelgrassrack: nowhere.ini: No such file or directory\n"


@pytest.mark.parametrize(
    "argv",
    [
        ["what"],
        ["check"],
        ["domain", "off", "toledo", "--as", "operations", *OBJECTS],
        ["apply", KEELWATER, "--as", "study", *OBJECTS],
        ["status"],
        ["apply", KEELWATER, "--section", "*", "--as", "a", *OBJECTS, "--wait", "1"],
    ],
)
def test_wrong_usage(empty, monkeypatch, argv, capsys):
    monkeypatch.delenv("EELGRASSRACK_OBJECTS", raising=False)
    with pytest.raises(cappa.Exit) as raised:
        empty.run(*argv)
    assert raised.value.code == USAGE
    assert capsys.readouterr().err


def test_apply_takes_only_the_selected_sections(fakes, edited, capsys):
    path = edited("weight = 20\n", "weight = 40\n")
    text = path.read_text().replace("latency = 3", "latency = 9")
    path.write_text(text)
    code = fakes.apply(path, "version assess/*", team="assessment")
    assert code == OK
    assert "revision 2" in capsys.readouterr().out
    snapshot = fakes.read().snapshot
    assert snapshot.versions["assess/2026-10"].weight == 40
    assert snapshot.policy.latency == 3


def test_apply_refuses_another_teams_section(fakes, edited, capsys):
    path = edited("latency = 3", "latency = 9")
    assert fakes.apply(path, "policy", team="assessment") == REFUSED
    error = capsys.readouterr().err
    assert error.startswith("eelgrassrack: refused: ")
    assert "policy" in error
    assert fakes.read().revision == 1


def test_apply_reports_faults_by_line_of_the_file(fakes, edited, capsys):
    path = edited("weight = 20\n", "weight = some\n")
    assert fakes.apply(path, "version *", team="assessment") == REFUSED
    number = path.read_text().split("\n").index("weight = some") + 1
    assert f"{path}:{number}: [version assess/2026-10]" in capsys.readouterr().err


def test_apply_refuses_a_broken_reference(fakes, edited, capsys):
    """Guards against documents whose sections are valid only by themselves.

    A team removes a version that another team's pool still serves.
    """
    path = edited("[version study-small/2026-05]", "[version study-small/2026-06]")
    assert fakes.apply(path, "version study-*", team="study") == REFUSED
    assert "no version study-small/2026-05" in capsys.readouterr().err
    assert fakes.read().revision == 1


def test_apply_stores_no_key(fakes, tmp_path, capsys):
    path = tmp_path / "lab.ini"
    path.write_text("[organisation lab]\nkey_env = LAB_KEY\n")
    assert fakes.apply(path, "organisation lab", team="accounts") == OK
    state = fakes.read()
    assert "lab" in state.snapshot.organisations
    assert "LAB_KEY" not in state.text
    assert "s3cret" not in state.text + "".join(capsys.readouterr())


def make_status(revision, agent):
    endpoint = EndpointStatus(
        name="e1",
        domain="toledo",
        pool="assessment",
        serves=("assess/2026-10",),
        window=16,
        running=3,
        queued=1,
        cold=True,
        engine_up=False,
        revision=agent,
    )
    version = VersionStatus(
        name="assess/2026-10", state="active", planned=0.2, share=0.1, why="[rated low]"
    )
    return EntryStatus(
        name="n1",
        revision=revision,
        broken_promises={"billed once": 2},
        endpoints=(endpoint,),
        versions=(version,),
    )


WAIT = ("--wait", "5", "--entry", "http://n1", "--json")


def test_apply_waits_until_in_force(fakes, edited, capsys):
    fakes.statuses["http://n1/status"] = make_status(1, 1)
    later = iter([make_status(2, 1), make_status(2, 2)])
    fakes.on_sleep = lambda: fakes.statuses.update({"http://n1/status": next(later)})
    path = edited("latency = 3", "latency = 4")
    assert fakes.apply(path, "policy", team="direction", more=WAIT) == OK
    in_force = json.loads(capsys.readouterr().out)["in_force"]
    assert in_force == {"entries": 1, "all_entries": 1, "agents": 1, "all_agents": 1}
    assert next(later, None) is None


def test_apply_reports_daemons_without_the_change_after_the_wait(fakes, edited, capsys):
    """Guards against an operator who believes a change to be in force everywhere.

    An agent that is cut off from its entries keeps the old revision.
    """
    fakes.statuses["http://n1/status"] = make_status(2, 1)
    path = edited("latency = 3", "latency = 4")
    code = fakes.apply(path, "policy", team="direction", more=WAIT)
    assert code == UNAVAILABLE
    answer = json.loads(capsys.readouterr().out)
    assert answer["change"]["revision"] == 2
    assert (answer["in_force"]["agents"], answer["in_force"]["entries"]) == (0, 1)
    assert fakes.time == 5


def test_withdraw_domain_and_drain(fakes, capsys):
    version = ("withdraw", "assess/2026-10", *OBJECTS, "--as")
    assert fakes.run(*version, "study") == REFUSED
    assert fakes.run(*version, "assessment") == OK
    domain = ("toledo", "--as", "operations", *OBJECTS)
    assert fakes.run("domain", "out", *domain) == OK
    assert fakes.run("drain", "e1", "--as", "operations", *OBJECTS) == OK
    snapshot = fakes.read().snapshot
    assert not snapshot.is_active(version="assess/2026-10")
    assert not snapshot.is_domain_in(domain="toledo")
    assert not snapshot.is_endpoint_in(endpoint="e1")
    assert fakes.run(*version, "assessment", "--undo") == OK
    assert fakes.run("domain", "in", *domain) == OK
    assert fakes.run("drain", "e1", "--undo", "--as", "operations", *OBJECTS) == OK
    snapshot = fakes.read().snapshot
    assert snapshot.is_active(version="assess/2026-10")
    assert snapshot.is_domain_in(domain="toledo")
    assert snapshot.is_endpoint_in(endpoint="e1")
    capsys.readouterr()
    assert fakes.run("withdraw", "assess/1", "--as", "assessment", *OBJECTS) == REFUSED
    assert "no version assess/1; known: assess/" in capsys.readouterr().err
    mistyped = ("domain", "out", "teledo", "--as", "operations", *OBJECTS)
    assert fakes.run(*mistyped) == REFUSED
    assert "no domain teledo; known: lansing, toledo" in capsys.readouterr().err


def test_withdraw_hands_the_share_over(fakes, edited, capsys):
    """Guards against a refused withdrawal when the operator is in a hurry.

    The bad version is the only one of its model with a weight.  Withdrawn
    alone it would leave none, and the document would be refused.
    """
    path = edited("weight = 20\n", "weight = 0\n")
    assert fakes.apply(path, "version *", team="assessment") == OK
    withdraw = ("withdraw", "assess/2026-07", "--as", "assessment", *OBJECTS)
    assert fakes.run(*withdraw) == REFUSED
    assert "above 0" in capsys.readouterr().err
    assert fakes.run(*withdraw, "--to", "study-small/2026-05") == REFUSED
    assert fakes.run(*withdraw, "--to", "assess/2026-10") == OK
    snapshot = fakes.read().snapshot
    assert not snapshot.is_active(version="assess/2026-07")
    assert snapshot.versions["assess/2026-10"].weight == 80


def test_show_and_audit(fakes, capsys):
    fakes.run("domain", "out", "toledo", "--as", "operations", *OBJECTS)
    capsys.readouterr()
    assert fakes.run("show", "--revision", "1", *OBJECTS) == OK
    assert capsys.readouterr().out == KEELWATER.read_text()
    assert fakes.run("show", "--json", *OBJECTS) == OK
    shown = json.loads(capsys.readouterr().out)
    assert shown["revision"] == 2
    assert "state = out" in shown["text"]
    assert fakes.run("show", "--revision", "9", *OBJECTS) == REFUSED
    assert fakes.run("audit", "--json", "--limit", "1", *OBJECTS) == OK
    (entry,) = json.loads(capsys.readouterr().out)
    assert (entry["revision"], entry["from_revision"]) == (2, 1)
    assert (entry["who"], entry["team"]) == ("ana", "operations")
    assert entry["changed"] == ["domain toledo"]
    assert fakes.run("audit", *OBJECTS) == OK
    assert "domain toledo" in capsys.readouterr().out


def test_status(empty, capsys):
    empty.statuses["http://n1/status"] = make_status(7, 7)
    assert empty.run("status", "--entry", "http://n1") == OK
    out = capsys.readouterr().out
    assert all(
        text in out
        for text in (
            "n1",
            "toledo",
            "down, cold",
            "[rated low]",
            "billed once: broken 2",
        )
    )
    urls = ("--entry", "http://n1/", "--entry", "http://gone")
    assert empty.run("status", *urls, "--json") == UNAVAILABLE
    answer = json.loads(capsys.readouterr().out)
    assert answer["entries"][0]["endpoints"][0]["window"] == 16
    assert answer["silent"][0]["url"] == "http://gone"


def test_bills(empty, capsys):
    bill = Bill(
        attempt="t1",
        request="r1",
        organisation="assessors",
        version="assess/2026-10",
        prompt_tokens=5,
        completion_tokens=7,
    )
    ledger = Ledger(
        store=empty.store,
        incarnation="n1.1",
        invariants=Invariants(strict=True),
        price=lambda bill: 1_500_000,
    )
    ledger.add(bill=bill, into="n1.1")
    asyncio.run(ledger.flush())
    assert empty.run("bills", *OBJECTS) == OK
    assert "1.500000" in capsys.readouterr().out
    assert empty.run("bills", "--json", *OBJECTS) == OK
    (sums,) = json.loads(capsys.readouterr().out)["organisations"]
    assert (sums["organisation"], sums["requests"]) == ("assessors", 1)
    assert (sums["prompt_tokens"], sums["completion_tokens"]) == (5, 7)


@pytest.mark.parametrize(
    "argv",
    [
        ["show"],
        ["audit"],
        ["bills"],
        ["withdraw", "assess/2026-10", "--as", "assessment"],
        ["domain", "out", "toledo", "--as", "operations"],
        ["apply", KEELWATER, "--section", "policy", "--as", "direction"],
    ],
)
def test_platform_down(fakes, argv, capsys):
    """Guards against scripts that mistake an outage for a refusal.

    With the object API down, the command says so and has its own exit code.
    """
    fakes.table.outage = True
    assert fakes.run(*argv, *OBJECTS) == UNAVAILABLE
    assert "platform unavailable: " in capsys.readouterr().err


def test_daemon_settings_are_checked_first(empty, tmp_path, capsys):
    path = tmp_path / "agent.ini"
    path.write_text("[agent]\nname = a\n")
    assert empty.run("agent", path) == REFUSED
    assert f"{path}:1: [agent] pool" in capsys.readouterr().err
    assert empty.run("entry", path) == REFUSED
    assert "a section [entry] is required" in capsys.readouterr().err
