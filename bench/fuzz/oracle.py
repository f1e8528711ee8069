"""The checks of a run that must pass whatever faults were injected."""

import collections
import itertools
from collections.abc import Iterator

from eelgrassrack.standins.answers import expected_text

from .calls import SentCall
from .faultlog import FaultLog
from .operators import NOT_ENDED, Operators
from .rig import ALLOWED_VERSIONS, DEADLINE_SECONDS, SERVICE, Rig

# A change of the document must reach every daemon in this time.
PROPAGATION_SECONDS = 2.0

OK = 200

# A prompt with this word crashes the engine that runs it.
QUERY_OF_DEATH = "poison"

CRASH = "crash"
STOP = "stop"

# A request sent less than this time before a stop must complete despite the stop.
RECENT_SECONDS = 1.0

# A query of death may crash this many engines before entries refuse it.
MAX_RUNS = 2

SERVICE_PREFIX = f"/v1/services/{SERVICE}"
NOT_RUN = "not-run"
RUN_VALUES = {NOT_RUN, "ran", "unknown"}

# A call that took this long may have been cut by its deadline.
NEAR_DEADLINE_SECONDS = DEADLINE_SECONDS - 0.5

# An agent polls its engine's state twice a second, so it notices an unannounced cold
# start only after some time.
COLD_DETECTION_SECONDS = 1.0


def check_calls(calls: list[SentCall], fault_log: FaultLog, rig: Rig) -> Iterator[str]:
    """Yield the faults of the answers that callers got."""
    endpoints = find_serving_endpoints(rig)
    first_began: dict[str, float] = {}
    for call in calls:
        first_began.setdefault(call.key, call.began)
    for call in calls:
        # The outcome of the first run under a key decides the answer to a resend.
        began = first_began[call.key] if call.key else call.began
        served = endpoints[get_work_key(call)]
        is_undisturbed = not fault_log.may_have_cut(
            began=began,
            ended=call.ended,
            daemons=frozenset({call.entry, *served}) if served else frozenset(),
        )
        yield from _check_call(call, is_undisturbed)


def find_serving_endpoints(rig: Rig) -> dict[str, set[str]]:
    """Return by prompt, path or key the endpoints that ran the request."""
    endpoints: dict[str, set[str]] = collections.defaultdict(set)
    for name, engine in rig.engines.items():
        for record in engine.started:
            endpoints[record.prompt].add(name)
    for name, service in rig.services.items():
        for each in service.executions:
            endpoints[each.key or each.path].add(name)
    return endpoints


def get_work_key(call: SentCall) -> str:
    """Return the key, path or prompt by which an endpoint records a call."""
    return call.key or call.path.removeprefix(SERVICE_PREFIX) or call.prompt


def _check_call(call: SentCall, is_undisturbed: bool) -> Iterator[str]:
    answer = call.answer
    if answer.status == OK and answer.is_whole:
        yield from _check_completed(call)
        return
    on_time = call.ended - call.began < NEAR_DEADLINE_SECONDS
    is_refused = answer.status != 0 and answer.run == NOT_RUN
    if is_undisturbed and on_time and not is_refused and not call.gave_up:
        yield f"nothing was wrong, but {describe(call)}"
    if answer.status not in (0, OK) and answer.run not in RUN_VALUES:
        yield f"no word whether it was run: {describe(call)}"


def _check_completed(call: SentCall) -> Iterator[str]:
    if call.path:
        return
    answer = call.answer
    if answer.version not in ALLOWED_VERSIONS[call.organisation]:
        yield f"a version that isn't permitted: {describe(call)}"
    if answer.text != expected_text(call.prompt, answer.version, call.max_tokens):
        yield f"not the whole answer: {describe(call)}"


def check_stops(calls: list[SentCall], fault_log: FaultLog, rig: Rig) -> Iterator[str]:
    """Yield requests that a stop of their agent cut while they ran."""
    # A query of death is sent several times, and it is unknown which call ran.
    by_prompt = {
        call.prompt: call for call in calls if QUERY_OF_DEATH not in call.prompt
    }
    for stop in fault_log.select(name=STOP):
        engine = rig.engines.get(stop.target)
        for record in engine.started if engine else ():
            call = by_prompt.get(record.prompt)
            if call is None:
                continue
            ran_then = record.at <= stop.began <= call.ended
            if not ran_then or call.gave_up or call.answer.status == OK:
                continue
            # A request that waited long before it ran may exceed its deadline.
            is_recent = stop.began - call.began < RECENT_SECONDS
            is_cut = fault_log.may_have_cut(
                began=call.began,
                ended=call.ended,
                daemons=frozenset({call.entry, stop.target}),
            )
            if is_recent and not is_cut:
                yield f"cut by the stop of {stop.target}: {describe(call)}"


def check_sessions(calls: list[SentCall]) -> Iterator[str]:
    """Yield sessions that two versions of one model answered."""
    found = collections.defaultdict(set)
    for call in calls:
        if call.session and call.answer.status == OK and call.answer.is_whole:
            version = call.answer.version
            found[call.session, version.partition("/")[0]].add(version)
    for name, versions in found.items():
        if len(versions) > 1:
            yield f"session {name} was answered by {sorted(versions)}"


def check_runs(calls: list[SentCall], rig: Rig) -> Iterator[str]:
    """Yield requests that ran although all their answers said "not run"."""
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


def check_queries_of_death(
    calls: list[SentCall], fault_log: FaultLog, rig: Rig
) -> Iterator[str]:
    """Yield queries of death that reached a third engine after two had crashed.

    Requests are skipped if another fault was active at the time, because it may have
    delayed the report of a crash.
    """
    runs = collections.Counter(
        record.prompt
        for engine in rig.engines.values()
        for record in engine.started
        if QUERY_OF_DEATH in record.prompt
    )
    for prompt, count in runs.items():
        sent = [call for call in calls if call.prompt == prompt]
        began = min(call.began for call in sent)
        ended = max(call.ended for call in sent)
        others = fault_log.list_other_faults(
            names=frozenset({QUERY_OF_DEATH, CRASH}), began=began, ended=ended
        )
        if count > MAX_RUNS and not others:
            yield f"{prompt!r} was run {count} times"


def check_keys(calls: list[SentCall], rig: Rig) -> Iterator[str]:
    """Yield idempotency keys with wrong runs or answers.

    A key may run only once and have only one answer.  An answer needs a run, and a
    run must not be reported as "not run" to all callers.
    """
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


def check_exclusions(
    operators: Operators, fault_log: FaultLog, rig: Rig
) -> Iterator[str]:
    """Yield endpoints that began work on an excluded version or domain.

    Work is wrong if it began after the change had to be in force everywhere.
    """
    for exclusion in operators.exclusions:
        deadline = fault_log.find_propagation_deadline(
            since=exclusion.began, within=PROPAGATION_SECONDS
        )
        for name, at in _list_starts(rig, exclusion.kind, exclusion.name):
            if deadline < at < exclusion.ended:
                yield (
                    f"{name} began work {at - exclusion.began:.2f} s after "
                    f"{exclusion.kind} {exclusion.name} was out"
                )


def find_last_propagation_deadline(operators: Operators, fault_log: FaultLog) -> float:
    """Return the loop time at which all current exclusions must be in force.

    The result is zero if nothing is excluded.
    """
    deadlines = (
        fault_log.find_propagation_deadline(
            since=exclusion.began, within=PROPAGATION_SECONDS
        )
        for exclusion in operators.exclusions
        if exclusion.ended == NOT_ENDED
    )
    return max(deadlines, default=0.0)


def _list_starts(rig: Rig, kind: str, name: str) -> Iterator[tuple[str, float]]:
    for endpoint, engine in rig.engines.items():
        is_in = rig.endpoints[endpoint].plan.domain == name
        for record in engine.started:
            if is_in if kind == "domain" else record.version == name:
                yield endpoint, record.at


def check_overloads(rig: Rig) -> Iterator[str]:
    """Yield engines that got too many requests during a cold start.

    An overload shortly after an unannounced cold start is permitted, because the
    agent can't know of the cold start yet.
    """
    for name, engine in rig.engines.items():
        for at in engine.overloaded_at:
            if not any(
                0 <= at - each <= COLD_DETECTION_SECONDS
                for each in engine.unannounced_cold_at
            ):
                yield f"{name} was given too much in a cold start"


def check_invariants(rig: Rig) -> Iterator[str]:
    """Yield the invariants that the program itself found violated."""
    for promise, count in rig.invariants.broken.items():
        yield f"{promise.value}: broken {count} times"


def _list_executions(rig: Rig) -> list:
    return list(
        itertools.chain.from_iterable(
            service.executions for service in rig.services.values()
        )
    )


def describe(call: SentCall) -> str:
    """Return a description of a call and its answer for a message."""
    what = call.key or call.path or f"{call.prompt!r} for {call.model}"
    answer = call.answer
    return (
        f"{what} at {call.entry} got {answer.status} {answer.code} "
        f"run={answer.run} whole={answer.is_whole} version={answer.version} "
        f"request={answer.request} after {call.ended - call.began:.2f} s"
    )
