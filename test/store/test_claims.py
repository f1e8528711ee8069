"""Tests that a request that must not be repeated runs at most once."""

import itertools

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from eelgrassrack.invariants import InvariantError, Invariants
from eelgrassrack.store.claim import (
    MAX_ANSWER_BYTES,
    Claim,
    ClaimState,
    make_claim_name,
)
from eelgrassrack.store.claims import (
    SWEEP_MARGIN_SECONDS,
    ClaimAcquired,
    Claims,
    ClaimUnavailable,
    ExistingClaim,
    OutcomeRecorded,
)
from eelgrassrack.store.sweeping import PREFIX_DIGITS, Swept

from .steps import FaultyStore, Scheduler, SteppedStore, make_store, pause, run

NAME = make_claim_name(organisation="registrar", operation="issue", key="k1")
EXPIRES_AT = 1000.0
KEYS = ("issue-1", "issue-1", "issue-1", "issue-2")
AGENTS = (0, 1)


def make_claim(attempt, **values):
    return Claim(
        request=f"r-{attempt}",
        attempt=attempt,
        entry="e",
        body_digest="d",
        expires_at=EXPIRES_AT,
        **{"agent": "a", "endpoint": "0", **values},
    )


def make_done(claim):
    return msgspec.structs.replace(claim, state=ClaimState.DONE, answer=b"no. 17")


class Kit:
    """A `Claims` with its own store and a clock that the test sets."""

    def __init__(self):
        self.store = FaultyStore()
        self.now = 0.0
        self.claims = Claims(
            store=self.store,
            clock=lambda: self.now,
            invariants=Invariants(strict=True),
        )

    def acquire(self, attempt):
        return run(self.claims.acquire(name=NAME, claim=make_claim(attempt)))

    def finish(self, claim, version):
        return run(self.claims.finish(name=NAME, version=version, claim=claim))


@pytest.fixture
def kit():
    return Kit()


def test_names_differ():
    first = make_claim_name(organisation="ab", operation="c", key="d")
    assert first != make_claim_name(organisation="a", operation="bc", key="d")


def test_lost_answer_to_acquire(kit):
    """The store creates the claim, but its answer is lost.

    An entry that treated this as a failure would refuse the credential issue, and the
    stored claim would block each resend although nobody works on it.
    """
    kit.store.faults.extend(["lost"])
    assert kit.acquire("a1") == ClaimAcquired(version=1)
    assert isinstance(kit.acquire("a2"), ExistingClaim)


def test_unclear_acquire_is_taken_over(kit):
    """The claim is created, its answer is lost and the store goes down.

    The caller gets "not run", which is true as nothing was sent.  The resend asks the
    agent, which keeps a tombstone for the first attempt.  The resend must then be able
    to run.
    """
    kit.store.faults.extend(["lost", "down", "down", "down", "down", "down"])
    taken = kit.acquire("a1")
    assert isinstance(taken, ClaimUnavailable)
    assert taken.maybe_written
    kit.store.faults.clear()
    held = kit.acquire("a2")
    result = run(
        kit.claims.take_over(
            name=NAME,
            held_version=held.version,
            old_claim=held.claim,
            claim=make_claim("a2"),
        )
    )
    assert result == ClaimAcquired(version=2)


def test_paused_entry_is_overtaken(kit):
    """An entry acquires a claim and is paused; the resend runs through another entry.

    When the entry resumes, its agent refuses the old attempt.  The entry must not put
    another attempt into the claim, but get the recorded certificate number.
    """
    old = make_claim("a1")
    assert kit.acquire("a1") == ClaimAcquired(version=1)
    claim = make_claim("a2")
    taken = run(
        kit.claims.take_over(name=NAME, held_version=1, old_claim=old, claim=claim)
    )
    assert kit.finish(make_done(claim), taken.version) == OutcomeRecorded(version=3)
    moved = run(
        kit.claims.reassign(name=NAME, version=1, old_claim=old, claim=make_claim("a3"))
    )
    assert moved.claim.answer == b"no. 17"


def test_claim_of_finished_request_is_kept(kit):
    """An entry reads an outcome and still tries to take over the claim."""
    done = make_done(make_claim("a1"))
    kit.acquire("a1")
    kit.finish(done, 1)
    held = run(
        kit.claims.take_over(
            name=NAME, held_version=2, old_claim=done, claim=make_claim("a2")
        )
    )
    assert held == ExistingClaim(claim=done, version=2)


def test_lost_answer_to_finish(kit):
    """The outcome is stored, the store's answer is lost, and the entry retries."""
    kit.acquire("a1")
    done = make_done(make_claim("a1"))
    kit.store.faults.extend(["lost", "down", "down", "down", "down", "down"])
    assert isinstance(kit.finish(done, 1), ClaimUnavailable)
    assert kit.finish(done, 1) == OutcomeRecorded(version=2)


def test_outcome_replaces_unknown(kit):
    """An entry that can't reach the agent stores that the outcome is unknown.

    The entry that has the answer stores it afterwards.  A stored answer must not be
    replaced by "unknown" in turn.
    """
    kit.acquire("a1")
    unknown = make_claim("a1", state=ClaimState.UNKNOWN)
    done = make_done(make_claim("a1"))
    assert kit.finish(unknown, 1) == OutcomeRecorded(version=2)
    assert kit.finish(done, 1) == OutcomeRecorded(version=3)
    assert kit.finish(unknown, 2) == ExistingClaim(claim=done, version=3)


def test_ignored_tombstone_is_noticed(kit):
    """An agent keeps a tombstone for an attempt and runs it nevertheless."""
    kit.acquire("a1")
    run(
        kit.claims.take_over(
            name=NAME,
            held_version=1,
            old_claim=make_claim("a1"),
            claim=make_claim("a2"),
        )
    )
    with pytest.raises(InvariantError):
        kit.finish(make_done(make_claim("a1")), 1)
    kit.claims = Claims(
        store=kit.store, clock=lambda: 0.0, invariants=Invariants(strict=False)
    )
    held = kit.finish(make_done(make_claim("a1")), 1)
    assert held.claim.attempt == "a2"


def test_released_claim_is_taken(kit):
    """No endpoint accepted the request, so the caller got "not run"."""
    kit.acquire("a1")
    run(kit.claims.release(name=NAME, version=1, claim=make_claim("a1")))
    assert kit.acquire("a2") == ClaimAcquired(version=3)


def test_large_answer_leaves_outcome(kit):
    """The outcome must be stored even if the answer is too large to keep."""
    kit.acquire("a1")
    done = make_claim(
        "a1", state=ClaimState.DONE, status=200, answer=b"x" * (MAX_ANSWER_BYTES + 1)
    )
    assert kit.finish(done, 1) == OutcomeRecorded(version=2)
    claim = run(kit.claims.read(name=NAME)).claim
    assert (claim.status, claim.answer, claim.answer_kept) == (200, b"", False)


def test_sweep_removes_only_long_expired(kit):
    """A claim that expired just now stays, as an entry may still use it."""
    kit.acquire("a1")
    rounds = 16**PREFIX_DIGITS
    kit.now = EXPIRES_AT + SWEEP_MARGIN_SECONDS - 1
    swept = [run(kit.claims.sweep(limit=10)) for _ in range(rounds)]
    assert sum(sweep.looked_at for sweep in swept) == 1
    assert all(sweep.removed == 0 for sweep in swept)
    expired = run(
        kit.claims.take_over(
            name=NAME,
            held_version=1,
            old_claim=make_claim("a1"),
            claim=make_claim("a2"),
        )
    )
    assert isinstance(expired, ClaimUnavailable)
    kit.now += 1
    swept = [run(kit.claims.sweep(limit=10)) for _ in range(rounds)]
    assert sum(sweep.removed for sweep in swept) == 1


def test_sweep_is_bounded(kit):
    for number in range(5):
        name = f"00{number:062x}"
        run(kit.claims.acquire(name=name, claim=make_claim(f"a{number}")))
    kit.now = EXPIRES_AT + SWEEP_MARGIN_SECONDS
    swept = [run(kit.claims.sweep(limit=2)) for _ in range(3)]
    assert swept == [Swept(looked_at=count, removed=count) for count in (2, 2, 1)]


class Agent:
    """An agent that runs attempts or keeps tombstones; a restart loses both."""

    def __init__(self, number, ran):
        self.number = number
        self.restarts = 0
        self.started = {}
        self.tombstones = set()
        self.ran = ran

    @property
    def incarnation(self):
        return f"{self.number}.{self.restarts}"

    def start(self, key, attempt, incarnation):
        """Return the answer, or None for a tombstone."""
        if incarnation != self.incarnation or attempt in self.tombstones:
            return None
        if attempt not in self.started:
            self.started[attempt] = f"{key} by {attempt}".encode()
            self.ran.append((key, attempt))
        return self.started[attempt]

    def ask(self, attempt, incarnation):
        """Return the answer, None for a tombstone, or "gone" after a restart."""
        if incarnation != self.incarnation:
            return "gone"
        if attempt not in self.started:
            self.tombstones.add(attempt)
        return self.started.get(attempt)

    def restart(self):
        self.restarts += 1
        self.started = {}
        self.tombstones = set()


class ClaimMachine(RuleBasedStateMachine):
    """Entries, agents and a store, interleaved by the test.

    The checks compare what ran for each key with what its callers were told.
    """

    def __init__(self):
        super().__init__()
        self.numbers = itertools.count()
        self.ran = []
        self.reported = []
        self.not_run = []
        self.agents = [Agent(number, self.ran) for number in AGENTS]
        self.claims = Claims(
            store=SteppedStore(make_store()),
            clock=lambda: 0.0,
            invariants=Invariants(strict=True),
        )
        self.scheduler = Scheduler()

    def make(self, number):
        agent = self.agents[number]
        return make_claim(
            f"t{next(self.numbers)}",
            agent=agent.incarnation,
            endpoint=str(number),
        )

    async def serve(self, key, number):
        """Serve one caller as an entry does."""
        name = make_claim_name(organisation="o", operation="issue", key=key)
        claim = self.make(number)
        state = await self.claims.acquire(name=name, claim=claim)
        for _ in range(6):
            match state:
                case ClaimUnavailable():
                    self.not_run.append(claim.attempt)
                    return None
                case ExistingClaim(claim=held) if held.state is ClaimState.DONE:
                    return self.report(key, held.answer)
                case ClaimAcquired(version=version):
                    answer = await self.dispatch(key, claim)
                case ExistingClaim(claim=held, version=version):
                    await pause()
                    agent = self.agents[int(held.endpoint)]
                    answer = agent.ask(held.attempt, held.agent)
                    await pause()
            known = claim if isinstance(state, ClaimAcquired) else held
            if answer is not None:
                return await self.conclude(key, name, version, known, answer)
            fresh = self.make(number)
            state = await self.claims.take_over(
                name=name, held_version=version, old_claim=known, claim=fresh
            )
            claim = fresh
        return None

    async def dispatch(self, key, claim):
        """Send the attempt, and ask the agent for a lost answer."""
        agent = self.agents[int(claim.endpoint)]
        if await pause() == "down":
            return agent.ask(claim.attempt, claim.agent)
        answer = agent.start(key, claim.attempt, claim.agent)
        if await pause() == "lost":
            return agent.ask(claim.attempt, claim.agent)
        return answer

    async def conclude(self, key, name, version, claim, answer):
        """Store the attempt's outcome and return the answer to the caller."""
        known = answer != "gone"
        claim = msgspec.structs.replace(
            claim,
            state=ClaimState.DONE if known else ClaimState.UNKNOWN,
            answer=answer if known else b"",
        )
        result = await self.claims.finish(name=name, version=version, claim=claim)
        if isinstance(result, ExistingClaim) and result.claim.state is ClaimState.DONE:
            return self.report(key, result.claim.answer)
        return self.report(key, answer) if known else "unknown"

    def report(self, key, answer):
        self.reported.append((key, answer))
        return answer

    @rule(
        key=st.sampled_from(KEYS),
        number=st.sampled_from(AGENTS),
        steps=st.integers(0, 8),
    )
    def request(self, key, number, steps):
        """Start a caller's request and run some of its steps."""
        if len(self.scheduler.running) >= 4:
            return
        request = self.scheduler.start(self.serve(key, number))
        self.scheduler.advance(request, steps)

    @rule(
        number=st.integers(0, 3),
        steps=st.integers(1, 12),
        fault=st.sampled_from((None, None, None, "down", "lost")),
    )
    def step(self, number, steps, fault):
        self.scheduler.step(number, fault)
        for _ in range(steps - 1):
            self.scheduler.step(number, None)

    @rule(number=st.integers(0, 3), draw=st.integers(0, 3))
    def kill_entry(self, number, draw):
        if draw == 0:
            self.scheduler.kill(number)

    @rule(number=st.sampled_from(AGENTS), draw=st.integers(0, 3))
    def restart_agent(self, number, draw):
        if draw == 0:
            self.agents[number].restart()

    @invariant()
    def runs_at_most_once(self):
        keys = [key for key, _ in self.ran]
        assert len(keys) == len(set(keys)), self.ran

    @invariant()
    def answers_are_true(self):
        right = {key: f"{key} by {attempt}".encode() for key, attempt in self.ran}
        assert all(right[key] == answer for key, answer in self.reported)

    @invariant()
    def not_run_is_true(self):
        assert not {attempt for _, attempt in self.ran} & set(self.not_run)

    def teardown(self):
        """Finish all requests, then resend each key twice through other entries.

        Both resends must get the same result: the one answer, or "unknown".
        """
        self.scheduler.finish()
        for key in sorted(set(KEYS)):
            first, second = (run(self.serve(key, number)) for number in AGENTS)
            assert first is not None
            assert first == second
        self.runs_at_most_once()
        self.answers_are_true()
        self.not_run_is_true()


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=40
)
