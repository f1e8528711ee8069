"""Tests of what counts as a restart or a cold start of the endpoint."""

import asyncio

from eelgrassrack.agent.health import EndpointDown, Health, HealthReport
from eelgrassrack.decisions.coldstart import CollapseReason


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
