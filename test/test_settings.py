"""Tests of the daemons' settings: valid files, and reports of all faults."""

import pytest

from eelgrassrack.errors import UserError
from eelgrassrack.settings import (
    AgentSettings,
    EntrySettings,
    LogSettings,
    MetricSettings,
    read_agent_settings,
    read_entry_settings,
)

ENTRY = """\
[entry]
name = entry-1
domain = lansing
listen = 127.0.0.1:8080
mailbox = tcp://127.0.0.1:7100
objects_url = http://127.0.0.1:9000
instances_url = http://127.0.0.1:9000/instances
check_invariants = no
[log]
format = json
[metrics]
host = 127.0.0.1
"""


@pytest.fixture
def path(tmp_path):
    return tmp_path / "settings.ini"


def test_entry(path):
    path.write_text(ENTRY)
    assert read_entry_settings(path) == EntrySettings(
        name="entry-1",
        domain="lansing",
        listen="127.0.0.1:8080",
        mailbox="tcp://127.0.0.1:7100",
        objects_url="http://127.0.0.1:9000",
        instances_url="http://127.0.0.1:9000/instances",
        check_invariants=False,
        log=LogSettings(format="json"),
        metrics=MetricSettings(host="127.0.0.1"),
    )


def test_empty_optional_values(path):
    text = ENTRY.replace("host = 127.0.0.1", "host =")
    path.write_text(text.replace("check_invariants = no", "rating_url ="))
    settings = read_entry_settings(path)
    assert (settings.metrics.host, settings.rating_url) == ("", "")


def test_agent(path):
    path.write_text(
        "[agent]\nname = a\ndomain = d\npool = p\nmailbox = tcp://127.0.0.1:7200\n"
        "endpoint_url = http://127.0.0.1:9100\ninstances_url = http://127.0.0.1:9000\n"
    )
    assert read_agent_settings(path) == AgentSettings(
        name="a",
        domain="d",
        pool="p",
        mailbox="tcp://127.0.0.1:7200",
        endpoint_url="http://127.0.0.1:9100",
        instances_url="http://127.0.0.1:9000",
    )


FAULTS = [
    ("listen = 127.0.0.1:8080", "listen = 127.0.0.256:80", 4, "listen"),
    ("listen = 127.0.0.1:8080", "listen = 127.0.0.1:65536", 4, "listen"),
    ("listen = 127.0.0.1:8080", "# listen", 1, "listen"),
    ("mailbox = tcp://127.0.0.1:7100", "mailbox = 127.0.0.1:7100", 5, "mailbox"),
    ("objects_url = http://127.0.0.1:9000", "objects_url = http://a/", 6, "objects"),
    ("check_invariants = no", "pool = a", 8, "pool"),
    ("check_invariants = no", "grace_seconds = -1", 8, "grace_seconds"),
    ("format = json", "format = xml", 10, "format"),
    ("format = json", "level = loud", 10, "level"),
    ("host = 127.0.0.1", "port = 0", 12, "port"),
    ("[metrics]", "[statsd]", 11, ""),
]


@pytest.mark.parametrize(("old", "new", "line", "key"), FAULTS)
def test_one_fault(path, old, new, line, key):
    path.write_text(ENTRY.replace(old, new))
    with pytest.raises(UserError) as raised:
        read_entry_settings(path)
    (text,) = str(raised.value).split("\n")
    assert text.startswith(f"{path}:{line}: [")
    assert f"] {key}" in text or not key


def test_all_faults_are_reported(path):
    path.write_text("[entry]\nname = a b\n[what]\n[agent]\n")
    with pytest.raises(UserError) as raised:
        read_entry_settings(path)
    lines = str(raised.value).split("\n")
    missing = ("domain", "listen", "mailbox", "objects_url", "instances_url")
    assert len(lines) == len(missing) + 3
    assert all(any(f"] {key} = " in line for line in lines) for key in missing)


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (None, "No such file"),
        (b"[log]\n", "[entry] is required"),
        (b"\xff", "not UTF-8"),
    ],
)
def test_unusable_file(path, data, reason):
    if data is not None:
        path.write_bytes(data)
    with pytest.raises(UserError, match=str(path)) as raised:
        read_entry_settings(path)
    assert reason in str(raised.value)
