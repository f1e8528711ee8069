"""Tests of tracing one request in log files."""

import json

import pytest

from eelgrassrack.requesttrace import read_lines, trace_request
from eelgrassrack.ui import main
from eelgrassrack.ui.errors import OK, REFUSED

OWN = (
    (100.0, "serving: attempt 1 of abc1 at e1 v1: Lost: reset"),
    (100.2, "serving: abc1 /issue/1 refused 502: may have run; configuration 4"),
)
OTHERS = (
    (50.0, "store: lost: long ago"),
    (97.0, "store: lost: config status 503"),
    (98.0, "fleet: e2 of plain v1 is up in north, cold for 0.0 s"),
    (
        99.0,
        "serving: abc12 answered on look with small by e2 after 0.1 s, first 0.1 s",
    ),
    (101.0, "fleet: e1 is gone: removed"),
    (
        102.0,
        "serving: abc12 answered on look with small by e2 after 0.1 s, first 0.1 s",
    ),
)


def make_log(lines):
    return "".join(
        json.dumps({"time": time, "level": "info", "message": message}) + "\n"
        for time, message in lines
    )


def trace(*logs, request="abc1"):
    lines = []
    for number, log in enumerate(logs):
        lines += read_lines(make_log(log), file=f"g{number}")[0]
    return trace_request(request, lines=lines)


def test_only_the_lines_of_the_request_are_its_own():
    found = trace((*OWN, *OTHERS))
    assert [line.message for line in found.own] == [message for _, message in OWN]
    assert found.endpoints == ("e1",)


def test_lines_of_its_gateway_and_its_endpoints_are_related():
    """The endpoint disappeared a second later, and the store was unreachable."""
    found = trace((*OWN, *OTHERS))
    assert [line.message for line in found.related] == [
        "store: lost: config status 503",
        "fleet: e1 is gone: removed",
    ]
    times = [line.time for line in found.list_all()]
    assert times == sorted(times)


def test_lost_answers_of_others_at_the_same_endpoint_are_related():
    """Several gateways lost answers at one endpoint within seconds."""
    other = "serving: attempt 1 of zzz at e1 v1: Lost: reset"
    found = trace(OWN, ((99.0, other), (99.0, "store: lost: elsewhere")))
    assert [line.message for line in found.related] == [other]


def test_a_truncated_line_is_counted():
    lines, unread = read_lines(make_log(OWN) + '{"time": 1', file="g")
    assert len(lines) == 2
    assert unread == 1


@pytest.mark.parametrize("as_json", [False, True])
def test_the_command_prints_the_lines(tmp_path, capsys, as_json):
    log = tmp_path / "gateway.log"
    log.write_text(make_log((*OWN, *OTHERS)))
    options = ["--json"] if as_json else []
    assert main(["trace", "abc1", str(log), *options]) == OK
    printed = capsys.readouterr().out
    if as_json:
        assert json.loads(printed)["endpoints"] == ["e1"]
        return
    assert "* 100.000 gateway.log serving: attempt 1 of abc1" in printed
    assert "  97.000 gateway.log store: lost" in printed


def test_a_missing_request_is_reported(tmp_path, capsys):
    log = tmp_path / "gateway.log"
    log.write_text(make_log(OTHERS))
    assert main(["trace", "abc1", str(log)]) == REFUSED
    assert "not in these logs" in capsys.readouterr().out


def test_an_unreadable_log_is_reported_on_one_line(tmp_path, capsys):
    assert main(["trace", "abc1", str(tmp_path / "none.log")]) != OK
    assert capsys.readouterr().err.count("\n") == 1
