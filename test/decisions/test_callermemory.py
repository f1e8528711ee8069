"""Load: thousands of callers that hold most of a request, beside ordinary ones."""

from hypothesis import given
from hypothesis import strategies as st

from eelgrassrack.decisions.callermemory import (
    CONNECTION_BYTES,
    LEAST_BYTES,
    LITTLE_BYTES,
    REST_BYTES,
    CallerMemory,
    MemoryBounds,
    Phase,
    find_caller_bounds,
)

# The smallest instances of the users' sites, and the largest request that operators
# allow by default.
SMALLEST_MB = 128.0
LARGEST_BODY = 4_194_304

BOUNDS = MemoryBounds(total=2_000_000, large=1_500_000)


def make_memory(bounds=BOUNDS):
    return CallerMemory(bounds=bounds)


def add(memory, *, now, body=0, since=None):
    """Add a caller that holds a body; `since` is when it last sent something."""
    place = memory.open(now if since is None else since)
    place.note_read(1, buffered=0, now=place.since)
    place.note_head(200, lines=6)
    place.hold(body)
    return place


def make_room(memory, asking, now):
    """Let callers leave, as the room of a process does; return them."""
    leaving = memory.choose_leaving(asking, now) if memory.exceeds(asking) else []
    for place in leaving:
        memory.close(place)
    return leaving


def test_a_crowd_of_any_size_stays_within_the_bound():
    memory = make_memory()
    for number in range(3_500):
        place = add(memory, now=number * 0.001, body=60_000)
        make_room(memory, place, number * 0.001)
        assert memory.total <= BOUNDS.total


def test_a_request_that_comes_whole_displaces_callers_that_stopped():
    """A crowd that holds everything must not turn ordinary callers away."""
    memory = make_memory()
    crowd = [add(memory, now=0.0, body=60_000) for _ in range(25)]
    ordinary = add(memory, now=0.5, body=800)
    leaving = make_room(memory, ordinary, 0.5)
    assert ordinary.is_open
    assert set(leaving) <= set(crowd)


def test_who_held_most_for_longest_gives_way_first():
    memory = make_memory()
    old = add(memory, now=0.0, body=400_000)
    small = add(memory, now=0.0, body=1_000)
    going_on = add(memory, now=0.0, body=400_000)
    going_on.note_read(400_000, buffered=0, now=4.0)
    asking = add(memory, now=4.0, body=600_000)
    assert make_room(memory, asking, 4.0) == [old]
    assert small.is_open
    assert going_on.is_open


def test_a_trickle_is_no_progress():
    """A byte now and then must not keep a caller's place for it."""
    memory = make_memory()
    place = add(memory, now=0.0, body=60_000)
    for second in range(1, 11):
        place.note_read(1, buffered=0, now=float(second))
    assert place.weigh(10.0) > 9.9 * 60_000


def test_a_request_that_an_endpoint_has_begun_never_gives_way():
    memory = make_memory()
    served = [add(memory, now=0.0, body=300_000) for _ in range(4)]
    for place in served:
        place.phase = Phase.SERVED
    asking = add(memory, now=60.0, body=600_000)
    assert make_room(memory, asking, 60.0) == [asking]


def test_an_answer_that_nobody_reads_gives_way():
    memory = make_memory()
    place = add(memory, now=0.0)
    place.phase = Phase.SERVED
    place.note_unsent(1_500_000, has_sent=True, now=0.0)
    asking = add(memory, now=2.0, body=400_000)
    assert make_room(memory, asking, 2.0) == [place]


def test_an_answer_that_was_read_is_served_to_its_end():
    memory = make_memory()
    place = add(memory, now=0.0)
    place.phase = Phase.SERVED
    place.note_unsent(500_000, has_sent=True, now=0.0)
    place.note_unsent(0, has_sent=True, now=1.0)
    assert place.phase is Phase.SERVED


def test_descriptors_are_left_for_what_is_served():
    memory = make_memory(MemoryBounds(total=10**9, large=10**9))
    memory.set_descriptors(100)
    for number in range(200):
        make_room(memory, memory.open(number * 0.01), number * 0.01)
        assert len(memory) <= 75


def test_one_request_inside_the_limits_has_room_on_the_smallest_instance():
    for memory_mb in (0.0, SMALLEST_MB):
        memory = make_memory(find_caller_bounds(memory_mb=memory_mb))
        place = add(memory, now=0.0, body=LARGEST_BODY)
        assert not memory.exceeds(place)


def test_what_callers_may_take_leaves_the_process_its_own():
    for memory_mb in (128.0, 150.0, 160.0, 232.0, 300.0):
        bounds = find_caller_bounds(memory_mb=memory_mb)
        assert bounds.total + REST_BYTES < memory_mb * 1_000_000
    assert find_caller_bounds(memory_mb=1.0).total == LEAST_BYTES


def test_some_room_is_for_callers_that_hold_little():
    memory = make_memory()
    place = add(memory, now=0.0, body=BOUNDS.large - CONNECTION_BYTES)
    assert memory.exceeds(place)
    little = add(memory, now=0.0, body=100)
    assert little.cost <= LITTLE_BYTES
    assert not memory.exceeds(little)


STEP = st.tuples(st.integers(0, 5), st.integers(0, 6), st.integers(0, 90_000))


@given(st.lists(STEP, max_size=80))
def test_the_total_is_what_the_callers_hold(steps):
    """Whatever callers do, each gives back exactly what it held."""
    memory = make_memory()
    places = [memory.open(0.0) for _ in range(6)]
    for now, (index, step, size) in enumerate(steps):
        # A place may still be used after its connection is closed.
        place = places[index]
        match step:
            case 0:
                place.begin(float(now))
            case 1:
                place.note_read(size, buffered=size, now=float(now))
            case 2:
                place.note_head(size, lines=size // 20)
            case 3:
                place.hold(size)
            case 4:
                place.release()
            case 5:
                place.note_unsent(size, has_sent=True, now=float(now))
            case 6:
                memory.close(place)
        held = [place.cost for place in places if place.is_open]
        assert memory.total == sum(held)
        assert memory.total >= len(held) * CONNECTION_BYTES
