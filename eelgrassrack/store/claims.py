"""Claims: what lets a request that may not be repeated run at most once.

Before such a request is dispatched, an entry makes an object under the
request's key.  Whoever finds the object there doesn't dispatch: it gives
the caller the outcome on record, waits for it, or says that the outcome
is unknown.

A claim names the only attempt that may run.  Another attempt may take
its place only by conditional update, and only once the old one can't
start any more: its agent vowed so, or the entry that claimed it never
sent it.  So an entry that is paused and wakes after it was overtaken does
no harm: its agent refuses the old attempt, and its next write to the claim
conflicts.

Store calls: one write to take, one to finish, one for each move, and one
read for each resend.  An object is at most `MAX_ANSWER_BYTES` and some
hundred bytes, and is removed `SWEEP_MARGIN` after it expired.
"""

from collections.abc import Callable

import logbook
import msgspec

from ..invariants import Invariants, Promise
from .claim import RAN, Claim, ClaimState, trim_answer
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

# A claim is removed this long after it expired.  Nobody acts on an expired
# claim, so clocks that differ by less than this can't lead an entry to
# replace a successor that was made under the same key after the removal.
SWEEP_MARGIN = 3600.0

# Rounds of `finish` against other entries' writes to the same claim.
FINISH_ROUNDS = 4


class ClaimAcquired(msgspec.Struct, kw_only=True, frozen=True):
    """The claim names the caller's attempt, which alone may be dispatched."""

    version: int


class ExistingClaim(msgspec.Struct, kw_only=True, frozen=True):
    """Another attempt has the claim."""

    claim: Claim
    version: int


class OutcomeRecorded(msgspec.Struct, kw_only=True, frozen=True):
    """The outcome is on record."""

    version: int


class ClaimUnavailable(msgspec.Struct, kw_only=True, frozen=True):
    """The store didn't tell whether the write took effect.

    Nothing was dispatched, so "not run" is true.  With `maybe_written`
    the claim may stand with an attempt that will never be sent; a resend
    asks its agent, which vows so, and takes it over.
    """

    reason: str
    maybe_written: bool = False
    retry_after: float = 1.0


class Claims:
    """Take, move, finish and read claims; `clock` is the wall clock."""

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
        """Return the claim on record."""
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
        """Claim a request before its first dispatch."""
        taken = await self._put(name, claim, NEW)
        if not isinstance(taken, ExistingClaim):
            return taken
        if taken.claim.state is not ClaimState.RELEASED:
            return taken
        if taken.claim.attempt == claim.attempt:
            return taken
        return await self.take_over(
            name=name, held_version=taken.version, old_claim=taken.claim, claim=claim
        )

    async def take_over(
        self, *, name: str, held_version: int, old_claim: Claim, claim: Claim
    ) -> ClaimAcquired | ExistingClaim | ClaimUnavailable:
        """Put an attempt in the place of one that can't start any more.

        Call this only after the old attempt's agent vowed never to start
        it, or if the old attempt was never sent and never will be.
        """
        if old_claim.state in RAN:
            return ExistingClaim(claim=old_claim, version=held_version)
        if self._clock() >= old_claim.expires_at:
            return ClaimUnavailable(reason="the claim has expired")
        self._invariants.check(
            Promise.AT_MOST_ONCE,
            old_claim.attempt != claim.attempt,
            f"attempt {claim.attempt} would take over from itself",
        )
        taken = await self._put(name, claim, held_version)
        if isinstance(taken, ClaimAcquired):
            log.info("claims: taken over: {}: {}", name, claim.attempt)
        return taken

    async def reassign(
        self, *, name: str, version: int, old_claim: Claim, claim: Claim
    ) -> ClaimAcquired | ExistingClaim | ClaimUnavailable:
        """Name a new attempt of the same entry after `NotStarted`.

        It has to be on record before it is sent.  Otherwise an entry that
        finds the old attempt's name asks the wrong agent, gets a vow for
        an attempt that no longer matters, and runs the request again.
        """
        return await self.take_over(
            name=name, held_version=version, old_claim=old_claim, claim=claim
        )

    async def release(
        self, *, name: str, version: int, claim: Claim
    ) -> OutcomeRecorded | ExistingClaim | ClaimUnavailable:
        """Record that the attempt never started and never will.

        The object stays: were it removed, the next claim could get the
        same version again, and a paused entry that read the old claim
        would replace the new one while it runs.
        """
        released = msgspec.structs.replace(claim, state=ClaimState.RELEASED)
        return _as_finished(await self._put(name, released, version))

    async def finish(
        self, *, name: str, version: int, claim: Claim
    ) -> OutcomeRecorded | ExistingClaim | ClaimUnavailable:
        """Record the outcome of the claim's attempt.

        `ExistingClaim` is the better outcome that another entry put on record
        meanwhile.  After `ClaimUnavailable` call it again with the same
        arguments; until it succeeds, a resend that asks the agent learns
        that the attempt has started and isn't run.
        """
        claim = trim_answer(claim)
        for _ in range(FINISH_ROUNDS):
            result = await self._put(name, claim, version)
            if not isinstance(result, ExistingClaim):
                return _as_finished(result)
            if not self._may_improve(on_record=result.claim, outcome=claim):
                return result
            version = result.version
        return ClaimUnavailable(reason="the claim keeps changing")

    def _may_improve(self, *, on_record: Claim, outcome: Claim) -> bool:
        """Tell whether an outcome may replace another entry's record.

        An entry cut off from the agent records that the outcome is
        unknown; the one that has the answer may still put it there.
        """
        has_run = outcome.state in RAN
        is_same = on_record.attempt == outcome.attempt
        is_vowed = not is_same or on_record.state is ClaimState.RELEASED
        self._invariants.check(
            Promise.AT_MOST_ONCE,
            not (has_run and is_vowed),
            f"attempt {outcome.attempt} ran, its claim is "
            f"{on_record.state.value} for {on_record.attempt}",
        )
        return is_same and has_run and on_record.state not in RAN

    async def sweep(self, *, limit: int) -> Swept | Unavailable:
        """Remove claims that expired long ago, looking at `limit` at most.

        Each sweep goes on where the last one ended.
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
        if self._clock() < held.claim.expires_at + SWEEP_MARGIN:
            return False
        result = await self._store.remove(kind=KIND, name=name, version=held.version)
        return isinstance(result, Written)

    async def _put(
        self, name: str, claim: Claim, version: int
    ) -> ClaimAcquired | ExistingClaim | ClaimUnavailable:
        """Write a claim and tell whether it stands."""

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
    """Return the result of a write as that of an outcome's record."""
    if isinstance(result, ClaimAcquired):
        return OutcomeRecorded(version=result.version)
    return result
