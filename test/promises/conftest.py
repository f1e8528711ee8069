"""The `world` fixture and the steps that several features share."""

import pytest
from pytest_bdd import given, parsers, then, when

from .world import REGISTRY, TUTOR_EAST, TUTOR_WEST, World, check, make_serial_document


@pytest.fixture
def world(monkeypatch):
    world = World(monkeypatch)
    try:
        yield world
    finally:
        world.close()


@given("two entries and an engine in each of two failure domains")
def start_two_engines(world):
    world.start(plans=[TUTOR_EAST, TUTOR_WEST])


@given("two entries and one engine")
def start_one_engine(world):
    world.start(plans=[TUTOR_EAST])


@given("two entries and one engine that runs one request at a time")
def start_serial_engine(world):
    document = make_serial_document()
    world.start(plans=[TUTOR_EAST], document=document)


@given("two entries and two engines that run one request at a time")
def start_serial_engines(world):
    document = make_serial_document()
    world.start(plans=[TUTOR_EAST, TUTOR_WEST], document=document)


@given("two entries and a credential service")
def start_registry(world):
    world.start(plans=[REGISTRY])


@when("the object API goes down")
def start_outage(world):
    world.system.table.outage = True


@when(parsers.parse("the answers to the next {count:d} writes get lost"))
def lose_answers(world, count):
    world.system.table.lose_answers = count


@when(parsers.parse("entry {number:d} is killed"))
def kill_entry(world, number):
    world.kill_entry(number)


@when("the object API comes back")
@then("the object API comes back")
def end_outage(world):
    world.system.table.outage = False


@when("every caller has an answer")
def finish(world):
    world.finish()


@then("each caller got its own whole answer")
def check_whole(world):
    answers = world.finish()
    failed = [a for a in answers if a.status != 200 or not (a.is_whole or a.text)]
    check(not failed, f"{failed[:2]}")


@then("every answer, refusal and bill is correct")
def check_all(world):
    world.finish()
    world.check_all()
