"""Tests of the slots that are reserved for organisations that run little."""

from eelgrassrack.decisions.fairqueue import FairQueue, QueuedRequest
from eelgrassrack.decisions.reserve import LAPSE_SECONDS, SlotReserve


def wait(key, organisation):
    return QueuedRequest(key=key, organisation=organisation, deadline=1e9, arrived=0.0)


def pop(queue, reserve, *, running, now=1.0):
    may_start = reserve.judge(free=16 - running, window=16, now=now)
    return queue.pop(now=now, may_start=may_start)


def test_last_slot_is_kept_for_a_quiet_organisation():
    """A large organisation fills a window of 16 and queues more.

    A quiet organisation's request still finds a slot at once, instead of waiting until
    a long job ends.
    """
    queue, reserve = FairQueue(), SlotReserve()
    reserve.start(organisation="quiet", now=0.0)
    reserve.end(organisation="quiet")
    for number in range(20):
        queue.push(wait(f"h{number}", "hot"))
    running = 0
    while (started := pop(queue, reserve, running=running)) is not None:
        reserve.start(organisation=started.organisation, now=1.0)
        running += 1
    assert running == 15
    queue.push(wait("q", "quiet"))
    assert pop(queue, reserve, running=15).key == "q"


def test_lone_organisation_gets_the_whole_window():
    queue, reserve = FairQueue(), SlotReserve()
    for number in range(20):
        queue.push(wait(f"h{number}", "hot"))
    for _ in range(15):
        started = pop(queue, reserve, running=0)
        reserve.start(organisation=started.organisation, now=1.0)
    assert pop(queue, reserve, running=15) is None
    later = 1.0 + LAPSE_SECONDS + 0.1
    assert pop(queue, reserve, running=15, now=later) is not None


def test_cold_window_keeps_no_slot():
    queue, reserve = FairQueue(), SlotReserve()
    reserve.start(organisation="quiet", now=0.0)
    for _ in range(2):
        reserve.start(organisation="hot", now=0.0)
    queue.push(wait("h", "hot"))
    may_start = reserve.judge(free=1, window=4, now=0.0)
    assert queue.pop(now=0.0, may_start=may_start).key == "h"
