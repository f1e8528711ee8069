"""Tests of the command `load`, called with command-line arguments."""

import json
import socket

from eelgrassrack.ui import main

PLAN = """\
[kind lookup]
organisation = school
key = a-key
service = registry
requests_per_second = 20
deadline = 0.1
[phase all]
seconds = 0.5
"""


def write_plan(tmp_path, text):
    path = tmp_path / "plan.ini"
    path.write_text(text)
    return str(path)


def test_faults_end_the_command_before_anything_is_sent(tmp_path, capsys):
    path = write_plan(tmp_path, PLAN.replace("= 20", "= fast"))
    assert main(["load", path, "--entry", "http://127.0.0.1:1"]) == 1
    fault = "[kind lookup] requests_per_second = fast: number from 0 to 10000"
    assert capsys.readouterr().out == f"{path}:5: {fault}\n"


def test_no_entry_answers(tmp_path, capsys):
    """Guards against a report that hides a wrong URL.

    With all entries down the table shows only refusals, so the exit code
    must tell the operator that it isn't a result.
    """
    path = write_plan(tmp_path, PLAN)
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{closed.getsockname()[1]}"
        assert main(["load", path, "--entry", url, "--json"]) == 3
    (row,) = json.loads(capsys.readouterr().out)["rows"]
    assert row["requests"] == row["refused"] > 0
    assert row["codes"] == {"unreachable": row["tries"]}
    assert row["wait"]["count"] == 0
