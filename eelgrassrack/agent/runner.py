"""Run attempts at the endpoint: start them when a slot is free, and end them.

Attempts start only here.  An attempt is running from the moment when the
connection to the endpoint is established and before the first byte is sent.  Until
then it can still be refused as not run.
"""

import asyncio
from collections.abc import Callable

import logbook

from ..bodysize import BodyFaults, IncompleteBodyError
from ..decisions.coldstart import CollapseReason
from ..invariants import Promise
from ..logs import bind_request
from ..mailbox.messages import (
    AnyMessage,
    Begun,
    Bill,
    Cancel,
    Cleared,
    Finish,
    Refusal,
    UnknownAttempt,
)
from .admission import Deferred, Refused
from .attempts import Attempt, Phase
from .bills import bill_cancelled, bill_completed
from .core import Core
from .crashes import CrashDetector, IsAlive
from .engine import Engine
from .intake import Intake
from .outcomes import (
    AnswerFailed,
    Completed,
    ConnectionBroken,
    NotConnected,
    Outcome,
    Stopped,
)
from .records import AttemptRecord, ExpiredRecord
from .transfer import Exchange

log = logbook.Logger("runner")

# A stream has failed if it is silent for this long.  The first token takes longer,
# because of the engine's own queue and of long prompts.
FIRST_TOKEN_SECONDS = 30.0
NEXT_TOKEN_SECONDS = 10.0


class Runner:
    """Runs attempts from their start to their end."""

    __slots__ = (
        "_announce",
        "_body_faults",
        "_core",
        "_crashes",
        "_engine",
        "_intake",
        "_is_alive",
        "_probe",
    )

    def __init__(
        self,
        *,
        core: Core,
        intake: Intake,
        engine: Engine,
        is_alive: IsAlive,
        announce: Callable[[AnyMessage], None],
    ) -> None:
        """Create a runner; `announce` sends a message to all entries."""
        self._body_faults = BodyFaults()
        self._core = core
        self._intake = intake
        self._engine = engine
        self._announce = announce
        self._is_alive = is_alive
        self._probe: asyncio.Task[None] | None = None
        self._crashes = CrashDetector(
            endpoint=core.state.endpoint,
            attempts=core.attempts,
            is_alive=is_alive,
            announce=announce,
            on_crash=self._handle_crash,
        )

    def pump(self) -> None:
        """Start queued attempts while slots are free."""
        while (attempt := self._intake.choose()) is not None:
            exchange = Exchange()
            self._core.pace.note_start(self._core.clock())
            job = self._run(attempt, exchange)
            self._core.slots.take(attempt, exchange, job)
            self._core.reserve.start(
                organisation=attempt.start.organisation, now=self._core.clock()
            )
        if self._core.rest_seconds:
            return
        if self._core.window.needs_probe and len(self._core.queue):
            self._start_probe()

    def begin_rest(self, seconds: float) -> None:
        """Send the endpoint nothing for some seconds, and refuse what can't wait.

        Since health polls stop too, a restart is noticed only afterwards.  Until the
        endpoint was probed then, it gets no more requests than a cold one.
        """
        core = self._core
        core.rest.note(seconds=seconds, now=core.clock())
        self._probe = None
        core.window.is_unprobed = True
        self._intake.refuse_late()

    def tick(self) -> None:
        """End attempts that take too long and start queued ones."""
        now = self._core.clock()
        for attempt in list(self._core.attempts.running.values()):
            self._check_timeouts(attempt, now)
        self.pump()

    def cancel(self, cancel: Cancel, sender: str) -> None:
        """Cancel an attempt in whatever state it is."""
        match self._core.attempts.find(key=cancel.attempt):
            case None:
                self._cancel_unseen(cancel, sender)
            case ExpiredRecord():
                message = UnknownAttempt(attempt=cancel.attempt)
                self._core.relay.send(sender, message)
            case AttemptRecord(message=message):
                self._core.relay.send(sender, message)
            case Attempt(phase=Phase.QUEUED) as attempt:
                self._core.refuse(attempt, Refusal.CANCELLED)
            case Attempt(phase=Phase.RUNNING) if cancel.only_waiting:
                self._core.relay.send(sender, Begun(attempt=cancel.attempt))
            case Attempt(phase=Phase.RUNNING) as attempt:
                bill = bill_cancelled(attempt)
                self._stop(attempt, Finish.CANCELLED, "cancelled", bill)
            case Attempt() as attempt:
                self._core.relay.report_end(attempt, sender)

    def cut_all(self, reason: str) -> None:
        """End all running attempts."""
        for attempt in list(self._core.attempts.running.values()):
            self._stop(attempt, Finish.CUT, reason)

    def _start_probe(self) -> None:
        if self._probe is None or self._probe.done():
            self._probe = asyncio.get_running_loop().create_task(self._probe_endpoint())

    async def _probe_endpoint(self) -> None:
        """Poll the endpoint's health, then start what may start."""
        await self._is_alive(self._core.clock())
        if self._probe is asyncio.current_task():
            self._probe = None
            self._core.window.is_unprobed = False
            self.pump()

    def _free(self, attempt: Attempt) -> None:
        self._core.slots.free(attempt)
        if not len(self._core.slots):
            # A probe in progress began before the endpoint was idle and doesn't count.
            self._probe = None
            self._core.window.is_unprobed = True

    async def _run(self, attempt: Attempt, exchange: Exchange) -> None:
        bind_request(attempt.start.request)
        try:
            outcome = await self._engine.run(
                start=attempt.start,
                exchange=exchange,
                timeout=attempt.cut_at - self._core.clock(),
                on_begun=lambda: self._begin(attempt),
                on_piece=lambda data: self._relay_piece(attempt, data),
            )
            await self._handle_outcome(attempt, outcome)
        except IncompleteBodyError as error:
            now = self._core.clock()
            self._body_faults.note(error, request=attempt.key, now=now)
            self._abandon(attempt, str(error), refusal=Refusal.BODY_INCOMPLETE)
        except Exception as error:
            size = len(attempt.start.body)
            log.exception("runner: attempt of {} bytes failed: {}", size, attempt.key)
            self._abandon(attempt, str(error))
        finally:
            self._free(attempt)
            self._core.reserve.end(organisation=attempt.start.organisation)
            self.pump()

    def _begin(self, attempt: Attempt) -> bool:
        """Check the attempt once more and mark it as running if it may start."""
        core = self._core
        if core.attempts.live.get(attempt.key) is not attempt:
            return False
        refusal = self._find_last_refusal(attempt)
        if refusal is not None:
            core.refuse(attempt, refusal)
            return False
        if core.rest_seconds:
            # It isn't sent, and `Intake.take_back` queues it again.
            return False
        self._check_start(attempt)
        begun = core.attempts.begin(attempt, now=core.clock())
        if not core.invariants.check(Promise.AT_MOST_ONCE, begun, attempt.key):
            return False
        core.relay.begin(attempt)
        return True

    def _find_last_refusal(self, attempt: Attempt) -> Refusal | None:
        match self._core.check_admission(attempt):
            case Refused(refusal=refusal):
                return refusal
            case Deferred():
                return Refusal.STALE
        if self._core.rest_seconds:
            return None
        # The window may have shrunk while the connection was established.
        if len(self._core.attempts.running) >= self._core.window.limit:
            return Refusal.FULL
        return None

    def _check_start(self, attempt: Attempt) -> None:
        check = self._core.invariants.check
        state = self._core.state
        version = attempt.start.version
        running = len(self._core.attempts.running)
        fits = running < self._core.window.limit
        check(Promise.WITHDRAWN, not state.is_withdrawn(attempt.start), version)
        check(Promise.DOMAIN_OUT, not state.is_out(), state.domain)
        check(Promise.LEAVING, not state.is_leaving(), state.endpoint)
        check(Promise.COLD_START, fits, f"{running} run")

    def _relay_piece(self, attempt: Attempt, data: bytes) -> None:
        if attempt.phase is not Phase.RUNNING:
            return
        attempt.last_piece_at = self._core.clock()
        self._core.relay.relay_piece(attempt, data)

    async def _handle_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        match outcome:
            case Completed():
                self._end_completed(attempt, outcome)
            case AnswerFailed(reason=reason, status=status, cut=cut):
                finish = Finish.CUT if cut else Finish.ENGINE_FAILED
                self._end(attempt, finish, reason=reason, status=status)
            case ConnectionBroken(reason=reason):
                crashed = await self._crashes.has_crashed(attempt)
                finish = Finish.ENGINE_CRASHED if crashed else Finish.CUT
                self._end(attempt, finish, reason=reason)
            case NotConnected(reason=reason):
                self._core.state.engine_up = False
                self._abandon(attempt, reason)
            case Stopped():
                self._intake.take_back(attempt)

    def _abandon(
        self, attempt: Attempt, reason: str, *, refusal: Refusal = Refusal.ENGINE_DOWN
    ) -> None:
        """End a failed attempt: refuse it if it hasn't started."""
        if self._core.attempts.live.get(attempt.key) is not attempt:
            return
        if attempt.phase is Phase.QUEUED:
            self._core.refuse(attempt, refusal)
            return
        self._end(attempt, Finish.ENGINE_FAILED, reason=reason)

    def _end_completed(self, attempt: Attempt, outcome: Completed) -> None:
        if attempt.phase is not Phase.RUNNING:
            return
        core = self._core
        now = core.clock()
        start = attempt.start
        core.window.complete(now=now, began=attempt.began)
        core.queue.drain_rate.observe(tokens=start.tokens, seconds=now - attempt.began)
        self._end(
            attempt,
            Finish.WHOLE,
            status=outcome.status,
            headers=outcome.headers,
            bill=bill_completed(attempt, outcome.usage),
        )
        if start.alone and start.fingerprint:
            cleared = Cleared(fingerprints=(start.fingerprint,), parts=start.parts)
            self._announce(cleared)

    def _end(
        self,
        attempt: Attempt,
        finish: Finish,
        *,
        reason: str = "",
        status: int = 200,
        headers: tuple[tuple[str, str], ...] = (),
        bill: Bill | None = None,
    ) -> None:
        if attempt.phase is not Phase.RUNNING:
            return
        self._core.relay.end(
            attempt,
            finish,
            now=self._core.clock(),
            reason=reason,
            status=status,
            headers=headers,
            bill=bill,
        )

    def _check_timeouts(self, attempt: Attempt, now: float) -> None:
        """End a running attempt after its deadline or a too long silence."""
        if now >= attempt.cut_at:
            self._stop(attempt, Finish.DEADLINE, "the deadline has passed")
            return
        if not attempt.start.stream:
            return
        timeout = NEXT_TOKEN_SECONDS if attempt.pieces else FIRST_TOKEN_SECONDS
        if now - attempt.last_piece_at > timeout:
            self._stop(attempt, Finish.ENGINE_FAILED, f"no token for {timeout:g} s")

    def _stop(
        self, attempt: Attempt, finish: Finish, reason: str, bill: Bill | None = None
    ) -> None:
        self._end(attempt, finish, reason=reason, bill=bill)
        self._core.slots.stop(attempt)

    def _handle_crash(self) -> None:
        self._core.state.engine_up = False
        self._core.collapse(CollapseReason.ENGINE_FAILED)

    def _cancel_unseen(self, cancel: Cancel, sender: str) -> None:
        core = self._core
        now = core.clock()
        if cancel.agent == core.state.incarnation:
            core.relay.send_tombstone(
                sender, cancel.attempt, Refusal.CANCELLED, now=now
            )
            return
        # An earlier incarnation may have run the attempt.  This one can only make
        # sure not to start it, which doesn't tell the entry whether it ran.
        core.attempts.add_tombstone(
            key=cancel.attempt, refusal=Refusal.CANCELLED, now=now
        )
        core.relay.send(sender, UnknownAttempt(attempt=cancel.attempt))
