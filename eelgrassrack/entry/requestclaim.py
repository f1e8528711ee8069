"""The claim of one request, kept in step with its attempts."""

import hashlib
import time

import msgspec

from ..store.claim import RETENTION_SECONDS, Claim, ClaimState
from ..store.claims import (
    ClaimAcquired,
    Claims,
    ClaimUnavailable,
    ExistingClaim,
    OutcomeRecorded,
)
from .jobs import Job, Placed
from .refusals import CallerError, refuse_unavailable


class RequestClaim:
    """Write the claim before each attempt and its outcome afterwards.

    `held` is set when another attempt has the claim; the request then
    must not be dispatched by this entry.
    """

    __slots__ = (
        "_claims",
        "_digest",
        "_entry",
        "_free",
        "_job",
        "_version",
        "claim",
        "held",
        "name",
    )

    def __init__(self, *, claims: Claims, name: str, entry: str, job: Job) -> None:
        self._claims = claims
        self._digest = hashlib.sha256(job.body).hexdigest()
        self._entry = entry
        self._free: ExistingClaim | None = None
        self._job = job
        self._version = 0
        self.claim: Claim | None = None
        self.held: ExistingClaim | None = None
        self.name = name

    @property
    def is_same_request(self) -> bool:
        """Tell whether the claim that was found is of an equal request."""
        return self.held.claim.body_digest == self._digest

    def free(self, held: ExistingClaim) -> None:
        """Let the next attempt take over a claim whose attempt can't start."""
        self._free = held
        self.held = None
        self.claim = None

    async def reserve(self, placed: Placed) -> CallerError | None:
        """Name the attempt in the claim before it is sent."""
        claim = self._build_claim(placed)
        match await self._write(claim):
            case ClaimAcquired(version=version):
                self.claim = claim
                self._version = version
                self._free = None
                return None
            case ExistingClaim() as held:
                self.held = held
                return refuse_unavailable(reason="claimed")
            case ClaimUnavailable(reason=reason, retry_after=retry_after):
                return refuse_unavailable(
                    reason=f"claims_unavailable: {reason}", retry_after=retry_after
                )

    async def release(self) -> None:
        """Record that the attempt never started; a resend may run it."""
        await self._claims.release(
            name=self.name, version=self._version, claim=self.claim
        )

    async def finish(
        self,
        *,
        state: ClaimState,
        status: int = 0,
        fields: tuple[tuple[str, str], ...] = (),
        answer: bytes = b"",
    ) -> OutcomeRecorded | ExistingClaim | ClaimUnavailable:
        """Record how the attempt ended."""
        outcome = msgspec.structs.replace(
            self.claim, state=state, status=status, headers=fields, answer=answer
        )
        return await self._claims.finish(
            name=self.name, version=self._version, claim=outcome
        )

    def adopt(self, held: ExistingClaim) -> None:
        """Record outcomes for an attempt that another entry sent."""
        self.claim = held.claim
        self._version = held.version

    async def _write(
        self, claim: Claim
    ) -> ClaimAcquired | ExistingClaim | ClaimUnavailable:
        if self._free is not None:
            return await self._claims.take_over(
                name=self.name,
                held_version=self._free.version,
                old_claim=self._free.claim,
                claim=claim,
            )
        if self.claim is not None:
            return await self._claims.reassign(
                name=self.name,
                version=self._version,
                old_claim=self.claim,
                claim=claim,
            )
        return await self._claims.acquire(name=self.name, claim=claim)

    def _build_claim(self, placed: Placed) -> Claim:
        return Claim(
            request=self._job.request,
            attempt=placed.attempt,
            entry=self._entry,
            endpoint=placed.endpoint,
            agent=placed.agent,
            body_digest=self._digest,
            expires_at=time.time() + RETENTION_SECONDS,
        )
