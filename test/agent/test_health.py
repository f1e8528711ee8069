"""Tests of what counts as a failure, a restart or a cold start of the endpoint."""

import asyncio
import contextlib
import http.server
import threading
import time

import msgspec

from eelgrassrack.agent.health import (
    TIMEOUT_SECONDS,
    EndpointDown,
    Health,
    HealthReport,
)
from eelgrassrack.decisions.coldstart import CollapseReason

ANSWER_SECONDS = 0.1


def note_all(*reports):
    collapses = []

    async def play():
        health = Health(
            url="http://127.0.0.1:1", clock=lambda: 7.0, on_collapse=collapses.append
        )
        for report in reports:
            health.note(report)
        health.close()
        return health

    return asyncio.run(play()), collapses


def test_an_engine_that_restarts_between_two_polls_is_cold():
    """An engine crashes and is up again before the next poll.

    It answers each poll, but its caches are empty.  Under full load it would
    crash again at once, and its callers would lose their answers again.
    """
    health, collapses = note_all(
        HealthReport(incarnation="a"), HealthReport(incarnation="b")
    )
    assert collapses == [CollapseReason.ENGINE_RESTARTED]
    assert health.restarted_at == 7.0


def test_down_and_up_again_is_a_restart():
    health, collapses = note_all(HealthReport(), EndpointDown(), EndpointDown())
    assert not health.is_up
    assert collapses == []
    assert note_all(HealthReport(), EndpointDown(), HealthReport())[1] == [
        CollapseReason.ENGINE_RESTARTED
    ]


def test_each_cold_start_is_reported_once():
    cold = HealthReport(incarnation="a", cold=True)
    warm = HealthReport(incarnation="a")
    assert (
        note_all(warm, cold, cold, warm, cold)[1] == [CollapseReason.REPORTED_COLD] * 2
    )


def test_a_missed_poll_is_not_a_restart():
    """An engine under full load answers a single poll too late.

    It hasn't restarted. If its window shrank, callers would queue for a few slots
    of an engine that can handle many.
    """
    same = HealthReport(incarnation="a")
    health, collapses = note_all(same, EndpointDown(), same)
    assert health.is_up
    assert collapses == []
    changed = note_all(same, EndpointDown(), HealthReport(incarnation="b"))[1]
    assert changed == [CollapseReason.ENGINE_RESTARTED]


class SlowHealth(http.server.BaseHTTPRequestHandler):
    """An engine's health report, a moment after the request."""

    def do_GET(self):  # noqa: N802
        time.sleep(ANSWER_SECONDS)
        body = msgspec.json.encode(HealthReport(incarnation="a"))
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *unused):
        """Log nothing."""


@contextlib.contextmanager
def serve(handler):
    """Serve from a thread, so that it answers while the event loop is held up."""
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        yield f"http://127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


async def poll_late(url):
    """Hold up the event loop in a poll; return the health and the collapses."""
    collapses = []
    health = Health(url=url, clock=time.monotonic, on_collapse=collapses.append)
    await health.poll()
    polling = asyncio.ensure_future(health.poll())
    await asyncio.sleep(ANSWER_SECONDS / 2)
    time.sleep(TIMEOUT_SECONDS + ANSWER_SECONDS)
    await polling
    health.close()
    return health, collapses


def test_an_agent_that_is_held_up_doesnt_take_its_engine_for_down():
    """Guards against an agent that refuses its queue because it was late itself.

    The engine answers a poll in time.  The agent's event loop is held up for longer
    than a poll may take, and reads the answer only then.
    """
    with serve(SlowHealth) as url:
        health, collapses = asyncio.run(poll_late(url))
    assert health.is_up
    assert collapses == []


class HangingHealth(SlowHealth):
    """No answer for longer than a poll may take."""

    def do_GET(self):  # noqa: N802
        time.sleep(2 * TIMEOUT_SECONDS)


def test_an_engine_that_hangs_is_down_after_one_poll():
    """Guards against callers that wait for an engine that doesn't answer.

    The agent isn't late, so that one poll without an answer is enough.
    """

    async def play(url):
        health = Health(url=url, clock=time.monotonic, on_collapse=print)
        began = time.monotonic()
        await health.poll()
        health.close()
        return health, time.monotonic() - began

    with serve(HangingHealth) as url:
        health, seconds = asyncio.run(play(url))
    assert not health.is_up
    assert seconds < 1.5 * TIMEOUT_SECONDS
