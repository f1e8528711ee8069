"""Tests of when attempts start and of the messages that entries receive."""

import asyncio

import msgspec
import pytest

from eelgrassrack.agent.outcomes import AnswerFailed, ConnectionBroken, NotConnected
from eelgrassrack.agent.runner import NEXT_TOKEN_SECONDS
from eelgrassrack.decisions.coldstart import CollapseReason
from eelgrassrack.mailbox.messages import (
    Ask,
    Begun,
    Cancel,
    Cleared,
    Crash,
    Ended,
    FactsKept,
    Finish,
    Hello,
    NotStarted,
    Piece,
    Quarantined,
    Refusal,
    Resume,
    Settle,
    UnknownAttempt,
    Waits,
)

from .fakes import AGENT, FACTS, OTHER, Station, make_presence, make_start

OUT = msgspec.structs.replace(FACTS, revision=2, domains_out=("d",))
WITHDRAWN = msgspec.structs.replace(FACTS, revision=2, withdrawn=("m/1",))
DRAINING = msgspec.structs.replace(FACTS, revision=2, endpoints_out=("x",))


def run(scenario):
    async def play():
        station = Station()
        await station.take(FACTS)
        await scenario(station)

    asyncio.run(play())


def refusals(said):
    return {m.attempt: m.refusal for m in said if isinstance(m, NotStarted)}


def finishes(said):
    return {m.attempt: m.finish for m in said if isinstance(m, Ended)}


def test_whole_answer_is_relayed_in_order_and_billed():
    async def scenario(station):
        assert await station.take(make_start("a", stream=True)) == [Begun(attempt="a")]
        station.engine.calls["a"].on_piece(b"one")
        station.engine.calls["a"].on_piece(b"two")
        *pieces, ended = await station.end("a")
        assert [(p.number, p.data) for p in pieces] == [(0, b"one"), (1, b"two")]
        assert (ended.finish, ended.pieces) == (Finish.WHOLE, 2), ended.reason
        assert ended.bill.ledger == "e.1.1"
        assert (ended.bill.prompt_tokens, ended.bill.completion_tokens) == (3, 5)

    run(scenario)


@pytest.mark.parametrize("connected", [True, False])
@pytest.mark.parametrize(
    ("facts", "refusal"),
    [
        (WITHDRAWN, Refusal.WITHDRAWN),
        (OUT, Refusal.DOMAIN_OUT),
        (DRAINING, Refusal.LEAVING),
    ],
)
def test_queued_work_is_refused_after_a_change(facts, refusal, connected):
    """Work waits at a full endpoint while an operator changes the document.

    The version is withdrawn, the failure domain taken out or the endpoint drained.
    Otherwise a bad version would go on answering callers until the queue is empty.
    Callers must be told at once that their requests didn't run. Attempts that
    already run may end.
    """

    async def scenario(station):
        await station.take(make_start("a"), make_start("b"))
        station.engine.connects = connected
        await station.end("a")
        await station.take(make_start("c"), make_start("d"))
        said = await station.take(facts)
        station.engine.connects = True
        for call in station.engine.calls.values():
            call.connected.set()
        said += await station.end("b")
        waited = {"d": refusal} if connected else {"c": refusal, "d": refusal}
        assert refusals(said) == waited
        assert finishes(said)["b"] is Finish.WHOLE
        assert station.engine.ran == (["a", "b", "c"] if connected else ["a", "b"])

    run(scenario)


def test_start_of_a_newer_revision_waits_for_its_facts():
    """An entry has a newer document than the agent.

    The version may be withdrawn in that document. The agent must ask for newer
    facts and defer the start; without an answer it must refuse the start, and the
    caller is served by another endpoint.
    """

    async def scenario(station):
        said = await station.take(make_start("a", revision=2))
        assert said == [Hello()]
        assert await station.take(Ask(attempt="a", agent=AGENT)) == [Waits(attempt="a")]
        assert refusals(await station.take(WITHDRAWN)) == {"a": Refusal.WITHDRAWN}
        await station.take(make_start("b", revision=3))
        assert refusals(await station.advance(1.5)) == {"b": Refusal.STALE}
        await station.take(FACTS)
        assert station.standing.facts.revision == 2

    run(scenario)


def test_nothing_starts_after_a_pause_until_the_revision_is_confirmed():
    """The instance is frozen for a minute with work queued.

    The version is withdrawn meanwhile. When the agent resumes, its socket still
    holds a presence message from before the pause. If that confirmed the facts, the
    queued work would start and callers would get answers of a withdrawn version.
    """

    async def scenario(station):
        await station.take(make_start("a"), make_start("b"), make_start("c"))
        station.now += 40.0
        said = await station.take(make_presence("e.1.1"))
        assert Hello(question=station.standing.question) in said
        await station.end("a")
        await station.advance(0.5)
        assert station.engine.ran == ["a", "b"]
        said = await station.take(WITHDRAWN, station.answer(2))
        assert refusals(said) == {"c": Refusal.WITHDRAWN}
        assert station.engine.ran == ["a", "b"]

    run(scenario)


def test_messages_from_before_a_pause_never_confirm_the_facts():
    """Messages sent before a withdrawal arrive after the agent has asked.

    The agent's instance was frozen for a minute, and its peers' messages from the
    first second of the pause are resent long after it resumed. They arrive after
    its question but don't answer it.
    """

    async def scenario(station):
        await station.take(make_start("a"), make_start("b"), make_start("c"))
        station.now += 40.0
        await station.end("a")
        await station.advance(0.5)
        assert any(isinstance(message, Hello) for _, message in station.sent)
        await station.take(make_presence("e.1.1"))
        await station.take(FACTS)
        await station.take(FactsKept(revision=1, since=1))
        assert station.engine.ran == ["a", "b"]

    run(scenario)


def test_queued_work_starts_once_the_facts_are_confirmed():
    async def scenario(station):
        await station.take(make_start("a"), make_start("b"), make_start("c"))
        station.now += 40.0
        await station.end("a")
        await station.advance(0.5)
        await station.take(station.answer())
        assert station.engine.ran == ["a", "b", "c"]

    run(scenario)


def test_duplicates_and_late_starts_run_once():
    """A start arrives twice, after its cancellation, or after its end.

    If any of these ran again, a credential would be issued twice.
    """

    async def scenario(station):
        await station.take(make_start("a"), make_start("a"))
        await station.end("a")
        assert await station.take(make_start("a")) == []
        await station.take(Settle(attempts=("a",)))
        assert await station.take(make_start("a")) == []
        await station.take(Cancel(attempt="b", agent=AGENT))
        await station.take(Ask(attempt="c", agent=AGENT))
        said = await station.take(make_start("b"), make_start("c"))
        assert refusals(said) == {"b": Refusal.CANCELLED, "c": Refusal.NEVER_SEEN}
        assert station.engine.ran == ["a"]

    run(scenario)


def test_a_restarted_agent_never_answers_for_its_earlier_incarnation():
    """The agent was restarted while an attempt ran.

    Its entry asks the new incarnation for the attempt's state, or cancels it. The
    answer "not run" would be wrong, and the caller would resend a price submission
    that ran.
    """

    async def scenario(station):
        unknown = [UnknownAttempt(attempt="a")]
        assert await station.take(Ask(attempt="a", agent="x.0")) == unknown
        assert await station.take(Cancel(attempt="a", agent="x.0")) == unknown
        assert await station.take(Ask(attempt="a", agent="x.0")) == unknown
        assert await station.take(Resume(attempt="a", offset=0)) != []
        said = await station.take(make_start("b", agent="x.0"))
        assert refusals(said) == {"b": Refusal.OTHER_INCARNATION}
        assert station.engine.ran == []

    run(scenario)


def test_cancel_stops_a_running_attempt_and_bills_its_tokens():
    async def scenario(station):
        await station.take(make_start("a", stream=True))
        station.engine.calls["a"].on_piece(b"one")
        said = await station.take(Cancel(attempt="a", only_waiting=True))
        assert Begun(attempt="a") in said
        said = await station.take(Cancel(attempt="a"))
        assert finishes(said) == {"a": Finish.CANCELLED}
        assert said[-1].bill.completion_tokens == 1
        assert len(station.core.slots) == 0

    run(scenario)


def test_the_window_limits_running_attempts():
    """The engine reports a cold start while its queue is long.

    Under the full load of a warm engine it would crash, and all callers would lose
    their answers.
    """

    async def scenario(station):
        facts = msgspec.structs.replace(FACTS, revision=2, cold_concurrency=1)
        await station.take(*(make_start(f"a{n}") for n in range(6)))
        await station.take(facts)
        station.core.collapse(CollapseReason.REPORTED_COLD)
        await station.end("a0")
        assert len(station.engine.ran) == 2
        await station.end("a1")
        assert len(station.engine.ran) == 3

    run(scenario)


def test_changes_while_the_connection_is_made_are_respected():
    """The endpoint is slow to accept connections, and the situation changes.

    It reports a cold start, or the agent is paused.  An attempt that could start
    before might now overload the endpoint, or run a withdrawn version.
    """

    async def scenario(station):
        station.engine.connects = False
        await station.take(make_start("a"), make_start("b"))
        cold = msgspec.structs.replace(FACTS, revision=2, cold_concurrency=1)
        await station.take(cold)
        station.core.collapse(CollapseReason.REPORTED_COLD)
        said = await station.watch(lambda: connect_all(station))
        assert refusals(said) == {"b": Refusal.FULL}
        await station.end("a")
        await station.take(make_start("c"))
        station.now += 40.0
        said = await station.watch(lambda: connect_all(station))
        assert refusals(said) == {"c": Refusal.STALE}
        assert station.engine.ran == ["a"]

    run(scenario)


def connect_all(station):
    for call in station.engine.calls.values():
        call.connected.set()


def test_an_attempt_that_runs_alone_has_no_concurrent_ones():
    async def scenario(station):
        await station.take(make_start("a"))
        await station.take(make_start("b", alone=True, fingerprint="f"))
        await station.take(make_start("c"))
        assert station.engine.ran == ["a"]
        await station.end("a")
        assert station.engine.ran == ["a", "b"]
        await station.end("b")
        assert station.engine.ran == ["a", "b", "c"]
        assert station.announced == [Cleared(fingerprints=("f",))]

    run(scenario)


def test_a_crash_report_names_all_running_attempts():
    """One request crashes the engine and cuts off all concurrent ones.

    Unless all of them are reported, a resend of that request crashes the next
    endpoint, and the one after that.
    """

    async def scenario(station):
        await station.take(make_start("a", fingerprint="f"))
        await station.take(make_start("b", fingerprint="g"))
        station.alive = False
        said = await station.end("a", ConnectionBroken(reason="reset"))
        said += await station.end("b", ConnectionBroken(reason="reset"))
        assert set(finishes(said).values()) == {Finish.ENGINE_CRASHED}
        assert station.announced == [Crash(endpoint="x", fingerprints=("f", "g"))]
        assert refusals(await station.take(make_start("c"))) == {
            "c": Refusal.ENGINE_DOWN
        }
        station.standing.engine_up = True
        await station.take(Quarantined(fingerprints=("f",)))
        said = await station.take(make_start("d", fingerprint="f"))
        assert refusals(said) == {"d": Refusal.QUARANTINED}

    run(scenario)


def test_one_broken_connection_is_not_reported_as_a_crash():
    async def scenario(station):
        await station.take(make_start("a", fingerprint="f"), make_start("b"))
        said = await station.end("a", ConnectionBroken(reason="reset"))
        assert finishes(said) == {"a": Finish.CUT}
        assert station.announced == []

    run(scenario)


def test_without_a_connection_an_attempt_has_not_run():
    """The engine is down but its last health report was good.

    Nothing was sent, so the request may run at another endpoint, even if it is not
    repeatable.
    """

    async def scenario(station):
        station.engine.refuses = True
        said = await station.take(make_start("a"))
        assert refusals(said) == {"a": Refusal.ENGINE_DOWN}
        assert station.engine.ran == []

    run(scenario)


def test_late_and_silent_attempts_are_ended():
    """An engine never answers, or stops in the middle of an answer.

    Without timeouts its caller would wait forever and the slot would never be freed.
    """

    async def scenario(station):
        await station.take(
            make_start("a", within=2.0), make_start("b", within=90.0, stream=True)
        )
        said = await station.take(make_start("c", within=1.0))
        station.engine.calls["b"].on_piece(b"one")
        said += await station.advance(2.5)
        assert refusals(said) == {"c": Refusal.DEADLINE}
        assert finishes(said) == {"a": Finish.DEADLINE}
        said = await station.advance(NEXT_TOKEN_SECONDS)
        assert finishes(said) == {"b": Finish.ENGINE_FAILED}
        assert len(station.core.slots) == 0

    run(scenario)


def test_an_answer_can_be_taken_over_without_its_bill():
    """The entry that relayed an answer is lost and another entry takes over.

    The other entry needs all pieces that it lacks. The bill stays with the ledger of
    the first entry: if both had it, the request would be billed twice.
    """

    async def scenario(station):
        await station.take(make_start("a", stream=True))
        station.engine.calls["a"].on_piece(b"one")
        station.engine.calls["a"].on_piece(b"two")
        await station.take(Resume(attempt="a", offset=1), sender=OTHER)
        begin = len(station.sent)
        station.engine.calls["a"].on_piece(b"three")
        await station.end("a")
        later = station.sent[begin:]
        numbers = [m.number for to, m in station.sent if to == OTHER and is_piece(m)]
        assert numbers == [1, 2]
        bills = {to: m.bill is not None for to, m in later if isinstance(m, Ended)}
        assert bills == {OTHER: False, "tcp://127.0.0.1:1": True}

    run(scenario)


def is_piece(message):
    return isinstance(message, Piece)


def test_a_failed_answer_is_not_complete():
    async def scenario(station):
        await station.take(make_start("a"), make_start("b"))
        said = await station.end("a", AnswerFailed(reason="early", cut=True))
        said += await station.end("b", NotConnected(reason="unused"))
        assert finishes(said) == {"a": Finish.CUT, "b": Finish.ENGINE_FAILED}
        assert all(m.bill is None for m in said if isinstance(m, Ended))

    run(scenario)
