"""Tests of the causes found for late and lost requests."""

import json

import pytest

from eelgrassrack.losses import Cause, count_causes, find_losses
from eelgrassrack.requesttrace import read_lines
from eelgrassrack.ui import main
from eelgrassrack.ui.errors import OK

ATTEMPT = {"endpoint": "e1", "reason": "", "seconds": 0.5, "expected": 0.2, "wait": 0.0}
END = {
    "end": "answered",
    "route": "look",
    "seconds": 0.6,
    "first": 0.5,
    "objective": 1.0,
    "gap": 0.1,
    "gap_objective": 0.8,
    "reason": "",
}


def attempt(outcome, **rest):
    return {**ATTEMPT, "outcome": outcome, **rest}


def make_log(*fields, request="a1"):
    lines = [
        {
            "time": 10.0 + n,
            "message": "serving:",
            "fields": {"request": request, **each},
        }
        for n, each in enumerate(fields)
    ]
    return "".join(json.dumps(line) + "\n" for line in lines)


def find_in_log(*fields):
    return find_losses(read_lines(make_log(*fields), file="g")[0])


@pytest.mark.parametrize(
    ("attempts", "end", "cause"),
    [
        ([attempt("Cut")], {"end": "refused", "status": 504}, Cause.UNREACHABLE),
        (
            [attempt("Lost", reason="the endpoint is out of reach")],
            {"end": "broken_off"},
            Cause.UNREACHABLE,
        ),
        ([attempt("Lost", reason="reset")], {"first": 1.2}, Cause.CUT_OFF),
        ([attempt("Failed")], {"end": "failed"}, Cause.FAILED),
        ([attempt("NotRun"), attempt("Delivered")], {"first": 1.2}, Cause.REFUSED),
        ([], {"end": "refused", "status": 503, "reason": "stopping"}, Cause.STOPPING),
        ([], {"end": "refused", "status": 503, "reason": "resting"}, Cause.NO_ENDPOINT),
        ([attempt("Delivered")], {"gap": 0.9}, Cause.PAUSED),
        ([attempt("Delivered", wait=0.6)], {"first": 1.2}, Cause.QUEUED),
        ([attempt("Unsure"), attempt("Delivered")], {"first": 1.2}, Cause.ESCALATED),
        ([attempt("Delivered")], {"first": 1.2}, Cause.SLOW),
        ([attempt("Delivered")], {"end": "caller_gone"}, Cause.CALLER_LEFT),
    ],
)
def test_each_loss_has_a_cause(attempts, end, cause):
    (loss,) = find_in_log(*attempts, {**END, **end})
    assert loss.cause is cause
    assert loss.is_lost is (end.get("end", "answered") != "answered")


def test_requests_in_time_or_not_permitted_are_no_losses():
    assert not find_in_log(attempt("Delivered"), END)
    assert not find_in_log({**END, "end": "refused", "status": 404})


def test_causes_are_counted_and_sorted_by_losses(tmp_path, capsys):
    """Two requests were lost at an unreachable endpoint, and a third was late."""
    path = tmp_path / "gateway.log"
    logs = [
        make_log(attempt("Cut"), {**END, "end": "refused", "status": 504}, request=name)
        for name in ("a1", "a2")
    ]
    late = make_log(attempt("Delivered"), {**END, "first": 2.0}, request="a3")
    path.write_text("".join([*logs, late, "no line\n"]))
    counts = count_causes(find_losses(read_lines(path.read_text(), file="g")[0]))
    assert [(count.cause, count.lost, count.late) for count in counts] == [
        (Cause.UNREACHABLE, 2, 0),
        (Cause.SLOW, 0, 1),
    ]
    assert counts[0].busiest == "e1 2"
    assert main(["losses", str(path)]) == OK
    printed = capsys.readouterr().out
    assert "endpoint out of reach or silent" in printed
    assert "1 lines couldn't be read" in printed
