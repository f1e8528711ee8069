"""An endpoint in a cold start gets no more than it bears, under failure."""

import asyncio

import pytest
from pytest_bdd import given, scenario, scenarios, then, when

from eelgrassrack.agent import agent
from eelgrassrack.decisions.coldstart import Window

from .guards import breaks
from .world import LOOK_SECONDS, TUTOR_EAST, check

scenarios("cold_start.feature")

WARM = 8
WARM_UP_SECONDS = 10.0
COLD_COMPLETIONS = 4
RESTART_SECONDS = 0.3
POISON = "poison"
NEVER_SECONDS = 600.0


@pytest.fixture
def window_open(monkeypatch):
    monkeypatch.setattr(Window, "size", property(lambda window: window.ceiling))


@pytest.fixture
def collapse_unheeded(monkeypatch):
    monkeypatch.setattr(Window, "collapse", lambda window, *, now, reason: None)


@breaks
@pytest.mark.usefixtures("window_open")
@scenario(
    "cold_start.feature",
    "A burst meets an engine and an agent that have just started",
)
def test_window_is_needed():
    pass


@breaks
@pytest.mark.usefixtures("collapse_unheeded")
@scenario(
    "cold_start.feature",
    "A warm engine crashes under full load and comes back cold",
)
def test_collapse_is_needed():
    pass


@given("two entries and one engine in a cold start")
def start_cold(world):
    world.start(
        plans=[TUTOR_EAST],
        cold_completions=COLD_COMPLETIONS,
        restart_seconds=RESTART_SECONDS,
    )


@when("sixteen questions come at once")
def ask(world):
    for number in range(16):
        world.ask(f"question {len(world.sent)}", entry=number % 2)


@when("the engine has become warm")
def warm_up(world):
    engine = world.standin("tutor-east")
    while engine.cold:
        ask(world)
        world.finish()
    # The window opens with time too.
    world.clocks["tutor-east"].ahead += WARM_UP_SECONDS
    window = world.agent("tutor-east")._core.window
    while window.size < WARM:
        ask(world)
        world.finish()


@when("sixteen long questions come and eight of them run")
def ask_long(world):
    engine = world.standin("tutor-east")
    for number in range(16):
        world.ask(f"long {number}", entry=number % 2, tokens=400)
    world.wait(lambda: engine.running == WARM)


@when("the engine crashes")
def crash(world):
    world.crash_engine()


@when("the engine crashes and its agent is replaced")
def crash_both(world):
    world.crash_engine()
    world.run(world.system.kill_agent("tutor-east"))
    world.run(world.system.start_agent("tutor-east"))


@when("the engine is up again and sixteen questions come at once")
def ask_again(world):
    world.finish()
    entries = world.system.entries.values()

    def is_up():
        found = [entry.directory.find("tutor-east") for entry in entries]
        return all(known.agent and known.load.engine_up for known in found)

    world.wait(lambda: world.standin("tutor-east").cold)
    world.wait(is_up)
    ask(world)


@when("the engine turns cold and sixteen questions come at once")
def turn_cold(world, monkeypatch):
    monkeypatch.setattr(agent, "POLL_SECONDS", NEVER_SECONDS)
    world.run(asyncio.sleep(2 * LOOK_SECONDS))
    world.standin("tutor-east").make_cold()
    ask(world)


@when("a poison request is sent five times while others ask")
def ask_poison(world):
    for engine in world.engines:
        engine.crash_text = POISON
    for number in range(5):
        poison = world.ask(POISON, entry=number % 2)
        world.ask(f"question {number}", entry=number % 2)
        world.finish(poison)


@then("the poison request crashed at most four engines")
def check_poison(world):
    world.finish()
    crashes = sum(engine.crashes for engine in world.engines)
    check(crashes <= 4, f"{crashes} crashes")


@then("the engine never fell over")
def check_overloads(world):
    overloads = sum(engine.overloads for engine in world.engines)
    check(overloads == 0, f"fell over {overloads} times")
