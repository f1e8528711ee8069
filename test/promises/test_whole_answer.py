"""A caller gets the whole answer to its own request, under failure."""

import pytest
from pytest_bdd import scenario, scenarios, then, when

from eelgrassrack.agent import attempts
from eelgrassrack.agent.answers import StreamedAnswer
from eelgrassrack.entry.channels import Channel, Completed
from eelgrassrack.mailbox.messages import Piece, Resume

from .guards import breaks_promise
from .links import match_share
from .world import check

scenarios("whole_answer.feature")

DEADLINE_SECONDS = 20.0


@pytest.fixture
def pieces_unchecked(monkeypatch):
    """Accept pieces in any order, and any end as that of a whole answer."""

    def take_piece(channel, piece, now):
        channel.begun = True
        channel.expected += 1
        channel.sink(piece.data)

    def finish(channel, ended, now):
        channel.settle(
            Completed(
                attempt=channel.attempt,
                pieces=(),
                status=ended.status,
                headers=ended.headers,
                bill=ended.bill,
            )
        )

    monkeypatch.setattr(Channel, "take_piece", take_piece)
    monkeypatch.setattr(Channel, "_finish_if_complete", finish)


@pytest.fixture
def settled_answers_forgotten(monkeypatch):
    monkeypatch.setattr(attempts.Attempt, "may_be_forgotten", lambda attempt, now: True)


@pytest.fixture
def ids_unchecked(monkeypatch):
    """Accept a chunk with any id as one of this attempt."""

    class AnyId(str):
        __slots__ = ()
        __hash__ = str.__hash__

        def __eq__(self, other):
            return True

        def __ne__(self, other):
            return False

    original = StreamedAnswer.__init__

    def init(answer, *, attempt, on_piece):
        original(answer, attempt=AnyId(attempt), on_piece=on_piece)

    monkeypatch.setattr(StreamedAnswer, "__init__", init)


@pytest.fixture
def ends_unchecked(monkeypatch):
    """Accept a stream without its end as a whole one."""
    monkeypatch.setattr(StreamedAnswer, "finish", lambda answer, headers: None)


@breaks_promise
@pytest.mark.usefixtures("pieces_unchecked")
@scenario("whole_answer.feature", "Batches are lost while answers are streamed")
def test_piece_numbers_are_needed():
    pass


@breaks_promise
@pytest.mark.usefixtures("pieces_unchecked")
@scenario("whole_answer.feature", "Batches come late, twice and out of order")
def test_piece_order_is_needed():
    pass


@breaks_promise
@pytest.mark.usefixtures("ids_unchecked")
@scenario("whole_answer.feature", "An engine gives the answer of another request")
def test_chunk_ids_are_needed():
    pass


@breaks_promise
@pytest.mark.usefixtures("ends_unchecked")
@scenario(
    "whole_answer.feature",
    "The engine ends its answers early and batches are lost",
)
def test_end_checks_are_needed():
    pass


@breaks_promise
@pytest.mark.usefixtures("settled_answers_forgotten")
@scenario(
    "whole_answer.feature",
    "Bills are settled while the entry still lacks pieces",
)
def test_keeping_settled_answers_is_needed():
    pass


@when("some pieces sent to entry 0 are lost")
def lose_pieces(world):
    world.links.fault(world.entry().address, loses=match_share(Piece))


@when("batches to entry 0 arrive out of order and twice")
def reorder(world):
    world.links.fault(world.entry().address, reorders=True)


@when("the missing pieces are not kept by the agents")
def forget_pieces(world, monkeypatch):
    monkeypatch.setattr(attempts, "MAX_KEPT_BYTES", 0)


@when("the entries' requests for missing pieces are delayed")
def hold_resumes(world):
    for endpoint in world.system.endpoints.values():
        world.links.fault(
            endpoint.agent.address, holds=lambda message: isinstance(message, Resume)
        )


@when("all bills are settled")
def wait_settled(world):
    agents = [each.agent for each in world.system.endpoints.values()]
    world.wait(lambda: sum(engine.whole for engine in world.engines) == 12)
    world.wait(lambda: not any(a._attempts.running for a in agents))
    world.wait(lambda: not any(a._attempts.unsettled for a in agents))
    assert world.links.find(world.entry().address).lost


@when("the links are restored")
def heal(world):
    for endpoint in world.system.endpoints.values():
        world.heal(endpoint.agent.address)
    world.heal(world.entry().address)


@when("the engine in the east answers with the id of another request")
def mix_up_answers(world):
    world.standin("tutor-east").answer_other_id = True


@when("the engine in the east ends its answers early")
def end_early(world):
    world.standin("tutor-east").end_early = True


@when("twelve questions come to entry 0")
def ask(world):
    world.asked_at = world.loop.time()
    for number in range(12):
        world.ask(f"question {number}", tokens=30)


@then("no caller got an answer from the east")
def check_elsewhere(world):
    answers = world.finish()
    whole = [answer for answer in answers if answer.is_whole]
    check(
        len(whole) <= world.standin("tutor-west").whole,
        f"{len(whole)} whole answers, {world.standin('tutor-west').whole} of the west",
    )


@then("no partial answer looks complete")
def check_partial(world):
    for sent, answer in zip(world.sent, world.finish(), strict=True):
        tokens = len(answer.text.split())
        check(
            not answer.is_whole or tokens == sent.tokens,
            f"{sent.prompt}: {tokens} of {sent.tokens} tokens look complete",
        )


@then("every caller was answered well before its deadline")
def check_time(world):
    seconds = world.loop.time() - world.asked_at
    check(seconds < DEADLINE_SECONDS / 2, f"took {seconds:.1f} s")
