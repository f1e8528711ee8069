"""Tests that a session keeps its version."""

import base64

import pytest

from eelgrassrack.invariants import Invariants
from eelgrassrack.store.errors import StoreError
from eelgrassrack.store.pins import (
    REFRESH_SECONDS,
    UNUSED_SECONDS,
    PinnedTo,
    Pins,
    PinUnavailable,
)
from eelgrassrack.store.sweeping import PREFIX_DIGITS
from eelgrassrack.store.tokens import BadToken, TokenRead, read_token, sign_token

from .steps import FaultyStore, Scheduler, SteppedStore, run

SECRET = b"s" * 32


class Clock:
    """A wall clock that the test sets."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def store():
    return FaultyStore()


@pytest.fixture
def clock():
    return Clock()


def make_pins(store, clock, **values):
    invariants = Invariants(strict=True)
    return Pins(store=store, clock=clock, invariants=invariants, **values)


async def pin(pins, version, session="exam-7"):
    return await pins.pin(
        organisation="keelwater", session=session, model="assess", version=version
    )


def test_session_keeps_its_version_everywhere(store, clock):
    """A second version rolls out while a session is active.

    The session's next request reaches an entry that doesn't know it and picks the new
    version.  A candidate's scores would then change in the middle of an exam.
    """
    first, second = make_pins(store, clock), make_pins(store, clock)
    assert run(pin(first, "assess/1")) == PinnedTo(version="assess/1")
    assert run(pin(second, "assess/2")) == PinnedTo(version="assess/1")
    calls = store.calls.total()
    assert run(pin(second, "assess/2")) == PinnedTo(version="assess/1")
    assert store.calls.total() == calls


def test_two_entries_pin_at_once(store, clock):
    """A session's first two requests reach two entries at the same time."""
    stepped = SteppedStore(store.store)
    scheduler = Scheduler()
    first = scheduler.start(pin(make_pins(stepped, clock), "assess/1"))
    second = scheduler.start(pin(make_pins(stepped, clock), "assess/2"))
    for number in (1, 0, 0, 0, 0, 0):
        scheduler.step(number, None)
    scheduler.finish()
    assert first.result == second.result


@pytest.mark.parametrize("faults", [["lost"], ["lost", "down"]])
def test_lost_answer_to_a_pin(store, clock, faults):
    """The pin is created but the answer lost; another choice must not replace it."""
    store.faults.extend(faults)
    run(pin(make_pins(store, clock), "assess/1"))
    store.faults.clear()
    later = run(pin(make_pins(store, clock), "assess/2"))
    assert later == PinnedTo(version="assess/1")


def test_outage_pins_nothing(store, clock):
    """The store is down: cached sessions continue, a new one gets no version."""
    pins = make_pins(store, clock, capacity=1)
    run(pin(pins, "assess/1"))
    store.faults.extend(["down"] * 9)
    assert run(pin(pins, "assess/2")) == PinnedTo(version="assess/1")
    assert isinstance(run(pin(pins, "assess/2", session="new")), PinUnavailable)


def test_cache_is_bounded(store, clock):
    pins = make_pins(store, clock, capacity=1)
    run(pin(pins, "assess/1"))
    run(pin(pins, "assess/1", session="other"))
    calls = store.calls.total()
    assert run(pin(pins, "assess/2")) == PinnedTo(version="assess/1")
    assert store.calls.total() > calls


def test_sweep_leaves_sessions_in_use(store, clock):
    """A session lasts longer than unused pins are kept."""
    pins = make_pins(store, clock)
    run(pin(pins, "assess/1"))
    run(pin(pins, "assess/1", session="over"))
    for _ in range(5):
        clock.now += REFRESH_SECONDS + 1
        run(pin(pins, "assess/2"))
    assert clock.now > UNUSED_SECONDS
    swept = [run(pins.sweep(limit=10)) for _ in range(16**PREFIX_DIGITS)]
    assert sum(sweep.looked_at for sweep in swept) == 2
    assert sum(sweep.removed for sweep in swept) == 1
    anew = run(pin(make_pins(store, clock), "assess/2"))
    assert anew == PinnedTo(version="assess/1")


def sign(**values):
    parts = {
        "secret": SECRET,
        "organisation": "keelwater",
        "session": "s",
        "model": "assess",
        "version": "assess/1",
    }
    return sign_token(**{**parts, **values})


def read(token, **values):
    parts = {
        "secret": SECRET,
        "organisation": "keelwater",
        "session": "s",
        "model": "assess",
    }
    return read_token(token=token, **{**parts, **values})


def test_token_says_its_version():
    assert read(sign()) == TokenRead(version="assess/1")


def test_forged_tokens_are_bad():
    """A caller modifies a token to get a version that it wasn't assigned."""
    data = bytearray(base64.urlsafe_b64decode(sign()))
    data[-1] ^= 1
    forged = base64.urlsafe_b64encode(bytes(data)).decode()
    texts = [forged, "", "x", "=", "\u00e9", "A" * 5000]
    assert all(isinstance(read(text), BadToken) for text in texts)
    for part in ("organisation", "session", "model"):
        assert isinstance(read(sign(), **{part: "other"}), BadToken)
    assert isinstance(read(sign(), secret=b"other"), BadToken)
    assert isinstance(read(sign(), secret=b""), BadToken)
    with pytest.raises(StoreError):
        sign(secret=b"")
