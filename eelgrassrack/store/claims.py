"""Claims, by which a request that must not be repeated runs at most once.

Before an entry dispatches such a request, it creates an object under the
request's idempotency key.  An entry that finds the object already there doesn't
dispatch.  It returns the recorded outcome, waits for it, or reports that the
outcome is unknown.

A claim names the only attempt that may run.  Another attempt replaces it only by
conditional update, and only once the old attempt can't start any more: its agent
keeps a tombstone for it, or the entry that claimed it never sent it.  An entry
that is paused meanwhile does no harm when it resumes: the agent refuses the old
attempt, and the entry's next write to the claim conflicts.

Store calls: one write to acquire, one to finish, one to reassign, and one read
for each resend.  An object takes at most `MAX_ANSWER_BYTES` plus some hundred
bytes, and is removed `SWEEP_MARGIN_SECONDS` after it expires.
"""

from collections.abc import Callable

import logbook
import msgspec

from ..invariants import Invariants, Promise
from .claim import FINISHED_STATES, Claim, ClaimState, trim_answer
from .objects import Absent, ObjectStore, Unavailable, Written
from .records import (
    NEW,
    RecordConflict,
    RecordWritten,
    VersionedRecord,
    put_record,
    read_record,
)
from .sweeping import Cursor, Swept

log = logbook.Logger("claims")

KIND = "claims"

# How long an expired claim stays before it is removed.  Entries ignore expired
# claims.  As long as their clocks differ by less than this, none of them replaces
# a new claim that was created under the same key after the removal.
SWEEP_MARGIN_SECONDS = 3600.0

# How often `finish` retries when other entries write to the same claim.
FINISH_TRIES = 4


class ClaimAcquired(msgspec.Struct, kw_only=True, frozen=True):
    """The claim names this attempt, which may now be dispatched."""

    version: int


class ExistingClaim(msgspec.Struct, kw_only=True, frozen=True):
    """The claim as it is stored, which names another attempt or has an outcome."""

    claim: Claim
    version: int


class OutcomeRecorded(msgspec.Struct, kw_only=True, frozen=True):
    """The claim's outcome is stored."""

    version: int


class ClaimUnavailable(msgspec.Struct, kw_only=True, frozen=True):
    """The store didn't confirm that the call took effect.

    Nothing was dispatched, so "not run" is true.  With `maybe_written` the stored
    claim may name an attempt that will never be sent.  A resend asks that
    attempt's agent, which keeps a tombstone for it, and takes the claim over.
    """

    reason: str
    maybe_written: bool = False
    retry_after: float = 1.0


class Claims:
    """Acquire, reassign, finish and read claims; `clock` is the wall clock."""

    __slots__ = ("_clock", "_cursor", "_invariants", "_store")

    def __init__(
        self,
        *,
        store: ObjectStore,
        clock: Callable[[], float],
        invariants: Invariants,
    ) -> None:
        self._store = store
        self._clock = clock
        self._invariants = invariants
        self._cursor = Cursor(store=store, kind=KIND)

    async def read(self, *, name: str) -> ExistingClaim | Absent | ClaimUnavailable:
        """Return the stored claim."""
        match await read_record(store=self._store, kind=KIND, name=name, record=Claim):
            case VersionedRecord(record=claim, version=version):
                return ExistingClaim(claim=claim, version=version)
            case Absent() as absent:
                return absent
            case Unavailable(reason=reason, retry_after=retry_after):
                return ClaimUnavailable(reason=reason, retry_after=retry_after)

    async def acquire(
        self, *, name: str, claim: Claim
    ) -> ClaimAcquired | ExistingClaim | ClaimUnavailable:
        """Claim a request before it is first dispatched."""
        result = await self._put(name, claim, NEW)
        if not isinstance(result, ExistingClaim):
            return result
        if result.claim.state is not ClaimState.RELEASED:
            return result
        if result.claim.attempt == claim.attempt:
            return result
        return await self.take_over(
            name=name, held_version=result.version, old_claim=result.claim, claim=claim
        )

    async def take_over(
        self, *, name: str, held_version: int, old_claim: Claim, claim: Claim
    ) -> ClaimAcquired | ExistingClaim | ClaimUnavailable:
        """Replace an attempt that can't start any more.

        Call this only once the old attempt's agent keeps a tombstone for it, or if
        the old attempt was never sent and never will be.
        """
        if old_claim.state in FINISHED_STATES:
            return ExistingClaim(claim=old_claim, version=held_version)
        if self._clock() >= old_claim.expires_at:
            return ClaimUnavailable(reason="the claim has expired")
        self._invariants.check(
            Promise.AT_MOST_ONCE,
            old_claim.attempt != claim.attempt,
            f"attempt {claim.attempt} would take over from itself",
        )
        result = await self._put(name, claim, held_version)
        if isinstance(result, ClaimAcquired):
            log.info("claims: taken over: {}: {}", name, claim.attempt)
        return result

    async def reassign(
        self, *, name: str, version: int, old_claim: Claim, claim: Claim
    ) -> ClaimAcquired | ExistingClaim | ClaimUnavailable:
        """Name a new attempt by the same entry, after `NotStarted`.

        The claim must name the new attempt before that is sent.  Otherwise an
        entry that finds the old attempt would ask the wrong agent, get a tombstone
        for an attempt that no longer matters, and run the request again.
        """
        return await self.take_over(
            name=name, held_version=version, old_claim=old_claim, claim=claim
        )

    async def release(
        self, *, name: str, version: int, claim: Claim
    ) -> OutcomeRecorded | ExistingClaim | ClaimUnavailable:
        """Record that the attempt never started and never will.

        The object stays.  If it were removed, the next claim could get the same
        version, and a paused entry that read the old claim could replace the new
        one while its request runs.
        """
        released = msgspec.structs.replace(claim, state=ClaimState.RELEASED)
        return _as_finished(await self._put(name, released, version))

    async def finish(
        self, *, name: str, version: int, claim: Claim
    ) -> OutcomeRecorded | ExistingClaim | ClaimUnavailable:
        """Record the outcome of the claim's attempt.

        `ExistingClaim` holds a better outcome that another entry stored meanwhile.
        After `ClaimUnavailable`, call again with the same arguments.  Until that
        succeeds, a resend learns from the agent that the attempt has started, and
        isn't run.
        """
        claim = trim_answer(claim)
        for _ in range(FINISH_TRIES):
            result = await self._put(name, claim, version)
            if not isinstance(result, ExistingClaim):
                return _as_finished(result)
            if not self._may_replace(stored=result.claim, outcome=claim):
                return result
            version = result.version
        return ClaimUnavailable(reason="the claim keeps changing")

    def _may_replace(self, *, stored: Claim, outcome: Claim) -> bool:
        """Return whether an outcome may replace what another entry stored.

        An entry that can't reach the agent stores that the outcome is unknown.
        The entry that has the answer may still replace that.
        """
        has_run = outcome.state in FINISHED_STATES
        is_same = stored.attempt == outcome.attempt
        must_not_run = not is_same or stored.state is ClaimState.RELEASED
        self._invariants.check(
            Promise.AT_MOST_ONCE,
            not (has_run and must_not_run),
            f"attempt {outcome.attempt} ran, its claim is "
            f"{stored.state.value} for {stored.attempt}",
        )
        return is_same and has_run and stored.state not in FINISHED_STATES

    async def sweep(self, *, limit: int) -> Swept | Unavailable:
        """Remove claims that expired long ago, after checking at most `limit`.

        Each sweep continues where the last one ended.
        """
        names = await self._cursor.read_names(limit=limit)
        if isinstance(names, Unavailable):
            return names
        removed = [await self._remove_expired(name) for name in names]
        return Swept(looked_at=len(names), removed=sum(removed))

    async def _remove_expired(self, name: str) -> bool:
        """Remove a claim if it expired long ago."""
        held = await self.read(name=name)
        if not isinstance(held, ExistingClaim):
            return False
        if self._clock() < held.claim.expires_at + SWEEP_MARGIN_SECONDS:
            return False
        result = await self._store.remove(kind=KIND, name=name, version=held.version)
        return isinstance(result, Written)

    async def _put(
        self, name: str, claim: Claim, version: int
    ) -> ClaimAcquired | ExistingClaim | ClaimUnavailable:
        """Write a claim and return whether the store now holds it."""

        def is_own(found: Claim) -> bool:
            return (found.attempt, found.state) == (claim.attempt, claim.state)

        result = await put_record(
            store=self._store,
            kind=KIND,
            name=name,
            record=claim,
            version=version,
            is_own=is_own,
        )
        match result:
            case RecordWritten(version=written):
                return ClaimAcquired(version=written)
            case RecordConflict(found=VersionedRecord(record=found, version=at)):
                return ExistingClaim(claim=found, version=at)
            case RecordConflict():
                return ClaimUnavailable(reason="the claim was removed")
            case Unavailable():
                return ClaimUnavailable(
                    reason=result.reason,
                    maybe_written=result.maybe_written,
                    retry_after=result.retry_after,
                )


def _as_finished(
    result: ClaimAcquired | ExistingClaim | ClaimUnavailable,
) -> OutcomeRecorded | ExistingClaim | ClaimUnavailable:
    """Convert the result of a write into that of storing an outcome."""
    if isinstance(result, ClaimAcquired):
        return OutcomeRecorded(version=result.version)
    return result
