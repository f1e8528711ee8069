"""What must hold of a run, whatever happened in it."""

import collections
import itertools
from collections.abc import Iterator

from eelgrassrack.standins.answers import expected_text

from .calls import Call
from .faultlog import Disturbances
from .operators import OPEN, Operators
from .rig import ALLOWED, DEADLINE_SECONDS, SERVICE, Rig

IN_FORCE_SECONDS = 2.0
OK = 200
POISON = "poison"
CRASH = "crash"
STOP = "stop"
YOUNG_SECONDS = 1.0
MOST_FALLEN = 2
SERVICE_PREFIX = f"/v1/services/{SERVICE}"
NOT_RUN = "not-run"
RUNS = {NOT_RUN, "ran", "unknown"}

# A call that took this long met its deadline, which may cut an answer.
LATE_SECONDS = DEADLINE_SECONDS - 0.5

# An agent asks its engine for its state twice a second; in between it can't
# know of a cold start that came without a warning.
UNSEEN_SECONDS = 1.0


def check_calls(
    calls: list[Call], disturbances: Disturbances, rig: Rig
) -> Iterator[str]:
    """Yield what is wrong with what callers got."""
    places = find_places(rig)
    first: dict[str, float] = {}
    for call in calls:
        first.setdefault(call.key, call.began)
    for call in calls:
        # What became of the first run decides what a resend is told.
        began = first[call.key] if call.key else call.began
        served = places[name_work(call)]
        undisturbed = not disturbances.may_cut(
            began=began,
            ended=call.ended,
            places=frozenset({call.entry, *served}) if served else frozenset(),
        )
        yield from _check_call(call, undisturbed)


def find_places(rig: Rig) -> dict[str, set[str]]:
    """Return the endpoints that each prompt, path or key has reached."""
    places: dict[str, set[str]] = collections.defaultdict(set)
    for name, engine in rig.engines.items():
        for record in engine.started:
            places[record.prompt].add(name)
    for name, service in rig.services.items():
        for each in service.executions:
            places[each.key or each.path].add(name)
    return places


def name_work(call: Call) -> str:
    """Return the key, path or prompt that an endpoint sees of a call."""
    return call.key or call.path.removeprefix(SERVICE_PREFIX) or call.prompt


def _check_call(call: Call, undisturbed: bool) -> Iterator[str]:
    answer = call.answer
    if answer.status == OK and answer.is_whole:
        yield from _check_whole(call)
        return
    on_time = call.ended - call.began < LATE_SECONDS
    is_refused = answer.status != 0 and answer.run == NOT_RUN
    if undisturbed and on_time and not is_refused and not call.gave_up:
        yield f"nothing was wrong, but {describe(call)}"
    if answer.status not in (0, OK) and answer.run not in RUNS:
        yield f"no word whether it was run: {describe(call)}"


def _check_whole(call: Call) -> Iterator[str]:
    if call.path:
        return
    answer = call.answer
    if answer.version not in ALLOWED[call.organisation]:
        yield f"a version that isn't permitted: {describe(call)}"
    if answer.text != expected_text(call.prompt, answer.version, call.max_tokens):
        yield f"not the whole answer: {describe(call)}"


def check_stops(
    calls: list[Call], disturbances: Disturbances, rig: Rig
) -> Iterator[str]:
    """Yield requests that ran when their agent was stopped and were cut."""
    # Poison is sent several times, and nobody knows which of them ran.
    by_prompt = {call.prompt: call for call in calls if POISON not in call.prompt}
    for stop in disturbances.find(name=STOP):
        engine = rig.engines.get(stop.where)
        for record in engine.started if engine else ():
            call = by_prompt.get(record.prompt)
            if call is None:
                continue
            ran_then = record.at <= stop.began <= call.ended
            if not ran_then or call.gave_up or call.answer.status == OK:
                continue
            # One that waited long before it ran may meet its deadline.
            is_young = stop.began - call.began < YOUNG_SECONDS
            is_cut = disturbances.may_cut(
                began=call.began,
                ended=call.ended,
                places=frozenset({call.entry, stop.where}),
            )
            if is_young and not is_cut:
                yield f"cut by the stop of {stop.where}: {describe(call)}"


def check_sessions(calls: list[Call]) -> Iterator[str]:
    """Yield sessions that were answered by two versions of one model."""
    found = collections.defaultdict(set)
    for call in calls:
        if call.session and call.answer.status == OK and call.answer.is_whole:
            version = call.answer.version
            found[call.session, version.partition("/")[0]].add(version)
    for name, versions in found.items():
        if len(versions) > 1:
            yield f"session {name} was answered by {sorted(versions)}"


def check_runs(calls: list[Call], rig: Rig) -> Iterator[str]:
    """Yield requests that ran although a refusal said that they didn't."""
    prompts = {
        record.prompt for engine in rig.engines.values() for record in engine.started
    }
    paths = {each.path for each in _list_executions(rig)}
    by_prompt = collections.defaultdict(list)
    for call in calls:
        if call.prompt:
            by_prompt[call.prompt].append(call)
    for prompt, sent in by_prompt.items():
        if all(each.answer.run == NOT_RUN for each in sent) and prompt in prompts:
            yield f"'not run' was untrue: {describe(sent[0])}"
    for call in calls:
        is_lookup = call.path and not call.key
        path = call.path.removeprefix(SERVICE_PREFIX)
        if is_lookup and call.answer.run == NOT_RUN and path in paths:
            yield f"'not run' was untrue: {describe(call)}"


def check_poison(
    calls: list[Call], disturbances: Disturbances, rig: Rig
) -> Iterator[str]:
    """Yield requests that were given to a third engine after two crashed.

    While other faults are at work the news of a crash may come too late.
    """
    given = collections.Counter(
        record.prompt
        for engine in rig.engines.values()
        for record in engine.started
        if POISON in record.prompt
    )
    for prompt, count in given.items():
        sent = [call for call in calls if call.prompt == prompt]
        began = min(call.began for call in sent)
        ended = max(call.ended for call in sent)
        others = disturbances.list_others(
            names=frozenset({POISON, CRASH}), began=began, ended=ended
        )
        if count > MOST_FALLEN and not others:
            yield f"{prompt!r} was run {count} times"


def check_keys(calls: list[Call], rig: Rig) -> Iterator[str]:
    """Yield keys that ran twice, or were answered in two ways."""
    effects = collections.Counter(each.key for each in _list_executions(rig))
    by_key = collections.defaultdict(list)
    for call in calls:
        if call.key:
            by_key[call.key].append(call)
    for key, sent in by_key.items():
        if effects[key] > 1:
            yield f"{key} ran {effects[key]} times"
        bodies = {each.answer.body for each in sent if each.answer.status == OK}
        if len(bodies) > 1:
            yield f"{key} got {len(bodies)} answers: {bodies}"
        if bodies and not effects[key]:
            yield f"{key} was answered but never ran: {bodies}"
        if effects[key] and all(each.answer.run == NOT_RUN for each in sent):
            yield f"'not run' was untrue: {describe(sent[0])}"


def check_absences(
    operators: Operators, disturbances: Disturbances, rig: Rig
) -> Iterator[str]:
    """Yield work that began on what had been out for too long."""
    for absence in operators.absences:
        horizon = disturbances.find_horizon(
            since=absence.began, within=IN_FORCE_SECONDS
        )
        for name, at in _list_starts(rig, absence.kind, absence.name):
            if horizon < at < absence.ended:
                yield (
                    f"{name} began work {at - absence.began:.2f} s after "
                    f"{absence.kind} {absence.name} was out"
                )


def find_last_horizon(operators: Operators, disturbances: Disturbances) -> float:
    """Return when all that is out now must be out everywhere; zero for nothing."""
    horizons = (
        disturbances.find_horizon(since=absence.began, within=IN_FORCE_SECONDS)
        for absence in operators.absences
        if absence.ended == OPEN
    )
    return max(horizons, default=0.0)


def _list_starts(rig: Rig, kind: str, name: str) -> Iterator[tuple[str, float]]:
    for endpoint, engine in rig.engines.items():
        is_in = rig.endpoints[endpoint].plan.domain == name
        for record in engine.started:
            if is_in if kind == "domain" else record.version == name:
                yield endpoint, record.at


def check_overloads(rig: Rig) -> Iterator[str]:
    """Yield engines that were given too much in a cold start."""
    for name, engine in rig.engines.items():
        for at in engine.overloaded_at:
            if not any(
                0 <= at - each <= UNSEEN_SECONDS for each in engine.turned_cold_at
            ):
                yield f"{name} was given too much in a cold start"


def check_invariants(rig: Rig) -> Iterator[str]:
    """Yield the promises that the program itself saw broken."""
    for promise, count in rig.invariants.broken.items():
        yield f"{promise.value}: broken {count} times"


def _list_executions(rig: Rig) -> list:
    return list(
        itertools.chain.from_iterable(
            service.executions for service in rig.services.values()
        )
    )


def describe(call: Call) -> str:
    """Return what was asked and what came back."""
    what = call.key or call.path or f"{call.prompt!r} for {call.model}"
    answer = call.answer
    return (
        f"{what} at {call.entry} got {answer.status} {answer.code} "
        f"run={answer.run} whole={answer.is_whole} version={answer.version} "
        f"request={answer.request} after {call.ended - call.began:.2f} s"
    )
