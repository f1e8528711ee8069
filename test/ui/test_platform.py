"""Tests of commands over HTTP with the stand-in object API."""

import asyncio
import contextlib
import json
import pathlib
import threading
import time

import pytest

from eelgrassrack.standins.objectapi import ObjectApi
from eelgrassrack.standins.objects import ObjectTable
from eelgrassrack.ui import main
from eelgrassrack.ui.errors import OK, UNAVAILABLE

CIMQ = pathlib.Path(__file__).parents[2] / "examples" / "cimq.ini"


@contextlib.contextmanager
def run_platform(table):
    """Serve the table from a thread with its own event loop.

    The commands under test run their own loop in the main thread.
    """
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    def call(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result(30)

    async def make():
        api = ObjectApi(table=table)
        await api.start()
        return api

    api = call(make())
    try:
        yield api.url
    finally:
        call(api.stop())
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


@pytest.fixture
def table():
    return ObjectTable(clock=time.monotonic)


def test_apply_withdraw_and_show(table, monkeypatch, capsys):
    with run_platform(table) as url:
        monkeypatch.setenv("EELGRASSRACK_OBJECTS", url)
        arguments = ["apply", str(CIMQ), "--section", "*", "--as", "committee"]
        assert main(arguments) == OK
        assert main(["withdraw", "review/2026-11", "--as", "review"]) == OK
        capsys.readouterr()
        assert main(["show", "--json"]) == OK
        shown = json.loads(capsys.readouterr().out)
        assert shown["revision"] == 2
        assert "[version review/2026-11]\nstate = withdrawn" in shown["text"]
        assert main(["audit"]) == OK
        assert "version review/2026-11" in capsys.readouterr().out


def test_lost_answer(table, monkeypatch, capsys):
    """Guards against a failure reported for an update that took effect.

    The platform's answer to the update is lost.  The operator must see the
    one revision that was made.
    """
    with run_platform(table) as url:
        monkeypatch.setenv("EELGRASSRACK_OBJECTS", url)
        arguments = ["apply", str(CIMQ), "--section", "*", "--as", "committee"]
        assert main(arguments) == OK
        capsys.readouterr()
        table.lose_answers = 1
        arguments = ["domain", "out", "quebec-east-1", "--as", "operations"]
        assert main(arguments) == OK
        assert capsys.readouterr().out.startswith("revision 2: ")


def test_a_document_of_many_sections(table, tmp_path, capsys):
    path = tmp_path / "many.ini"
    path.write_text("".join(f"[domain d{number}]\n" for number in range(400)))
    with run_platform(table) as url:
        more = ("--objects", url, "--as", "operations")
        assert main(["apply", str(path), "--section", "*", *more]) == OK
        assert main(["show", "--objects", url]) == OK
    assert "[domain d399]" in capsys.readouterr().out


def test_outage(table, capsys):
    table.outage = True
    with run_platform(table) as url:
        assert main(["show", "--objects", url]) == UNAVAILABLE
    assert capsys.readouterr().err.startswith("eelgrassrack: platform unavailable: ")
