"""The idempotency claim of one request, updated with each of its attempts."""

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
from .jobs import AttemptTarget, Job
from .refusals import CallerError, refuse_unavailable


class RequestClaim:
    """Writes the claim before each attempt and its outcome afterwards.

    `existing` is set when another attempt has the claim; the request then
    must not be dispatched by this entry.
    """

    __slots__ = (
        "_claims",
        "_digest",
        "_entry",
        "_available",
        "_job",
        "_version",
        "claim",
        "existing",
        "name",
    )

    def __init__(self, *, claims: Claims, name: str, entry: str, job: Job) -> None:
        self._claims = claims
        self._digest = hashlib.sha256(job.body).hexdigest()
        self._entry = entry
        self._available: ExistingClaim | None = None
        self._job = job
        self._version = 0
        self.claim: Claim | None = None
        self.existing: ExistingClaim | None = None
        self.name = name

    @property
    def is_same_request(self) -> bool:
        """Whether the existing claim is for a request with the same body."""
        return self.existing.claim.body_digest == self._digest

    def allow_takeover(self, existing: ExistingClaim) -> None:
        """Let the next attempt take over a claim whose attempt can't start."""
        self._available = existing
        self.existing = None
        self.claim = None

    async def reserve(self, target: AttemptTarget) -> CallerError | None:
        """Write the claim for an attempt before it is sent, or refuse it."""
        claim = self._build_claim(target)
        match await self._write(claim):
            case ClaimAcquired(version=version):
                self.claim = claim
                self._version = version
                self._available = None
                return None
            case ExistingClaim() as existing:
                self.existing = existing
                return refuse_unavailable(reason="claimed")
            case ClaimUnavailable(reason=reason, retry_after=retry_after):
                return refuse_unavailable(
                    reason=f"claims_unavailable: {reason}", retry_after=retry_after
                )

    async def release(self) -> None:
        """Record that the attempt never started, so that a resend may run."""
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
        """Record the outcome of the attempt."""
        outcome = msgspec.structs.replace(
            self.claim, state=state, status=status, headers=fields, answer=answer
        )
        return await self._claims.finish(
            name=self.name, version=self._version, claim=outcome
        )

    def adopt(self, existing: ExistingClaim) -> None:
        """Continue a claim that another entry wrote, to record its outcome."""
        self.claim = existing.claim
        self._version = existing.version

    async def _write(
        self, claim: Claim
    ) -> ClaimAcquired | ExistingClaim | ClaimUnavailable:
        if self._available is not None:
            return await self._claims.take_over(
                name=self.name,
                held_version=self._available.version,
                old_claim=self._available.claim,
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

    def _build_claim(self, target: AttemptTarget) -> Claim:
        return Claim(
            request=self._job.request,
            attempt=target.attempt,
            entry=self._entry,
            endpoint=target.endpoint,
            agent=target.agent,
            body_digest=self._digest,
            expires_at=time.time() + RETENTION_SECONDS,
        )
