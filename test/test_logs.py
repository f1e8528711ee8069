"""Tests of the log formats and of the request id in log records."""

import asyncio
import io
import json

import logbook

from eelgrassrack.logs import bind_request, install_handlers, release_request
from eelgrassrack.settings import LogSettings

log = logbook.Logger("test")


def write_logs(settings, write):
    stream = io.StringIO()
    setup = install_handlers(settings, stream=stream)
    try:
        write()
    finally:
        setup.pop_application()
    return stream.getvalue().splitlines()


async def serve(request):
    bind_request(request)
    await asyncio.sleep(0)
    log.info("test: served")


def test_each_task_logs_its_own_request():
    async def serve_both():
        await asyncio.gather(serve("r-1"), serve("r-2"))

    def write():
        asyncio.run(serve_both())
        log.info("test: idle")

    lines = write_logs(LogSettings(format="json"), write)
    requests = [json.loads(line).get("request") for line in lines]
    assert requests == ["r-1", "r-2", None]


def test_json_keeps_an_error_on_one_line():
    def write():
        try:
            raise ValueError("bad\nvalue")
        except ValueError:
            log.exception("test: failed: {}", "x")

    (line,) = write_logs(LogSettings(format="json"), write)
    record = json.loads(line)
    assert record["message"] == "test: failed: x"
    assert record["level"] == "error"
    assert "ValueError" in record["error"]


def test_text_and_level():
    def write():
        token = bind_request("r-9")
        log.debug("test: unseen")
        log.warning("test: seen")
        release_request(token)

    (line,) = write_logs(LogSettings(level="warning"), write)
    assert line.endswith("r-9 test: seen")
    assert "WARNING" in line
