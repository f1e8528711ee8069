"""Keep queries of death from endpoints: what crashes each that answers it.

This follows the requests of this gateway and what peers tell of theirs, and decides
whether a request may be sent.
"""

import asyncio
import collections
from collections.abc import Callable, Iterable

import logbook

from ...decisions.crashrecords import TraitReport
from ...decisions.precedence import Sharer, count_before
from ...decisions.queryofdeath import (
    Blocked,
    Clear,
    QueryOfDeathDetector,
    Suspected,
)
from ...decisions.runs import Crash, RunHistory
from ..endpoints.endpoint import Endpoint
from ..endpoints.endpointstate import hash_lifetime
from .job import Job
from .messages import Refusal
from .traits import MAX_NAMES, hash_part, list_shared_parts

log = logbook.Logger("queryguard")

REASON = "crashes the endpoints that run it"

# The last gateways send suspected requests after so many turns, however many there are.
MAX_TURNS = 6

# Pause between a suspected request that ended without a result and the next one: its
# endpoint may still crash.
TRIAL_PAUSE_SECONDS = 0.5

# Number of crashes that a log line names.
MAX_LOGGED_CRASHES = 10


class QueryGuard:
    """Decide which requests may be sent, from the crashes of endpoints.

    `list_sharers` returns the other gateways, or None while they aren't known, and
    `tell_peers` is called after a crash that they should learn of soon.
    """

    __slots__ = (
        "_detector",
        "_history",
        "_list_sharers",
        "_logged",
        "_loop",
        "_name",
        "_names",
        "_tell_peers",
        "_trials",
    )

    def __init__(
        self,
        *,
        name: str,
        list_sharers: Callable[[], tuple[Sharer, ...] | None],
        tell_peers: Callable[[], None],
    ) -> None:
        self._name = name
        self._list_sharers = list_sharers
        self._tell_peers = tell_peers
        self._detector = QueryOfDeathDetector()
        self._history = RunHistory()
        self._loop = asyncio.get_running_loop()
        # Until when no other request with a suspected trait is sent.
        self._trials: dict[int, float] = {}
        self._names: collections.OrderedDict[int, str] = collections.OrderedDict()
        self._logged: dict[frozenset[int], str] = {}

    def judge(self, job: Job) -> Clear | Suspected | Blocked:
        """Return whether and how a request may be sent."""
        return self._detector.judge(job.traits, now=self._loop.time())

    def may_send(self, job: Job) -> bool:
        """Return whether a request may be sent now: it isn't blocked nor to wait."""
        return self._may_proceed(self.judge(job))

    def find_refusal(self, job: Job) -> Refusal | None:
        """Return the refusal of a blocked request, None for all others."""
        match self.judge(job):
            case Blocked(seconds=seconds):
                return Refusal(status=503, reason=REASON, retry_after=seconds)
        return None

    def is_held(self, job: Job) -> bool:
        """Return whether a request is suspected or blocked."""
        return not isinstance(self.judge(job), Clear)

    def begin_trial(self, job: Job) -> None:
        """Note that a request is placed: if it is suspected, others wait for it."""
        match self.judge(job):
            case Suspected(traits=traits):
                job.trial = traits
                self._trials.update(dict.fromkeys(traits, float("inf")))

    def end_trial(self, job: Job) -> None:
        """Note that an attempt has ended; the next suspected request waits a little."""
        until = self._loop.time() + TRIAL_PAUSE_SECONDS
        self._trials.update(dict.fromkeys(job.trial, until))
        job.trial = frozenset()

    def note_sent(self, job: Job, endpoint: Endpoint) -> None:
        """Note that a request is sent to an endpoint."""
        lifetime = hash_lifetime(endpoint.lifetime)
        self._remember(lifetime, endpoint.name)
        for part in list_shared_parts(job.arrival):
            self._remember(hash_part(part.name), part.name)
        job.run = self._history.begin(
            lifetime=lifetime, traits=job.traits, now=self._loop.time()
        )

    def note_event(self, job: Job) -> None:
        """Note that a piece of a stream arrived."""
        now = self._loop.time()
        if job.run is not None and self._history.note_event(job.run, now=now):
            self._detector.note_answer(job.traits, at=now)

    def note_end(self, job: Job, *, has_run: bool, is_whole: bool) -> None:
        """Note that an attempt has ended, if it was sent."""
        if job.run is None:
            return
        now = self._loop.time()
        self._history.end(job.run, has_run=has_run, is_whole=is_whole, now=now)
        job.run = None

    def note_broken(self, endpoint: Endpoint) -> None:
        """Note that an endpoint broke a connection."""
        lifetime = hash_lifetime(endpoint.lifetime)
        self._history.note_broken(lifetime=lifetime, now=self._loop.time())

    def note_down(self, lifetime: tuple[str, int], *, is_abrupt: bool) -> None:
        """Note that a lifetime of an endpoint has ended.

        `is_abrupt` says that it is still listed and not draining.
        """
        crash = self._history.find_crash(
            lifetime=hash_lifetime(lifetime),
            now=self._loop.time(),
            is_abrupt=is_abrupt,
        )
        if crash is not None:
            self._note_crash(crash)
            self._tell_peers()

    def merge(self, reports: Iterable[TraitReport]) -> None:
        """Add what a peer reports, and this gateway's requests at the same crashes."""
        crashed = self._detector.merge(reports, now=self._loop.time())
        for lifetime, at in crashed.items():
            if not self._history.has_crashed(lifetime):
                crash = self._history.collect(lifetime=lifetime, at=at)
                if crash is not None:
                    self._note_crash(crash)

    def report(self) -> tuple[TraitReport, ...]:
        """Return what peers need to know."""
        return self._detector.report(now=self._loop.time())

    def sweep(self) -> None:
        """Learn from answers whose endpoints stayed up, and log what has changed."""
        now = self._loop.time()
        for run in self._history.list_survivors(now=now):
            self._detector.note_answer(run.traits, at=run.ended_at)
        self._trials = {
            trait: until for trait, until in self._trials.items() if until > now
        }
        self._log_changes()

    @property
    def blocked_count(self) -> int:
        """Return how many groups of traits are blocked."""
        return len(self._detector.guilty)

    @property
    def suspected_count(self) -> int:
        """Return how many parts are suspected."""
        return len(self._detector.suspected)

    def _may_proceed(self, verdict: Clear | Suspected | Blocked) -> bool:
        match verdict:
            case Blocked():
                return False
            case Suspected(traits=traits, since=since, turn=turn):
                now = self._loop.time()
                if any(now < self._trials.get(trait, now) for trait in traits):
                    return False
                return now >= since + turn * self._find_turn(min(traits))
        return True

    def _find_turn(self, trait: int) -> int:
        """Return after how many other gateways this one sends suspected requests."""
        sharers = self._list_sharers()
        if sharers is None:
            return MAX_TURNS
        before = count_before(
            own=Sharer(self._name, ""),
            others=(Sharer(sharer.name, "") for sharer in sharers),
            key=str(trait),
            domain="",
        )
        return min(before, MAX_TURNS)

    def _note_crash(self, crash: Crash) -> None:
        self._detector.note_crash(crash)
        log.info(
            "queryguard: {endpoint} crashed beside {count} suspected traits",
            endpoint=self._names.get(crash.lifetime, "an endpoint"),
            count=len(crash.sent_at),
        )

    def _log_changes(self) -> None:
        """Log each part or request that is suspected, blocked or released."""
        states = {frozenset({trait}): "suspected" for trait in self._detector.suspected}
        states |= {guilt.traits: "blocked" for guilt in self._detector.guilty}
        for traits, state in states.items():
            if self._logged.get(traits) != state:
                self._log_state(traits, state)
        for traits in self._logged.keys() - states.keys():
            self._log_state(traits, "released")
        self._logged = states

    def _log_state(self, traits: frozenset[int], state: str) -> None:
        crashes = {
            lifetime
            for trait in traits
            for lifetime in self._detector.find_crashes(trait)
        }
        log.notice(
            "queryguard: {traits} {state}: {count} crashes",
            traits=",".join(self._describe(trait) for trait in sorted(traits)),
            state=state,
            count=len(crashes),
            endpoints=",".join(
                self._names.get(lifetime, f"{lifetime:x}")
                for lifetime in sorted(crashes)[:MAX_LOGGED_CRASHES]
            ),
        )

    def _describe(self, trait: int) -> str:
        name = self._names.get(trait)
        return f"part {name}" if name else f"trait {trait:x}"

    def _remember(self, key: int, name: str) -> None:
        self._names[key] = name
        self._names.move_to_end(key)
        while len(self._names) > MAX_NAMES:
            self._names.popitem(last=False)
