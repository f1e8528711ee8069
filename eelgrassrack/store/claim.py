"""The claim record of a request that must not be repeated, and its object name."""

import enum
import hashlib

import msgspec

# A claim whose answer is larger keeps the outcome without the answer.
MAX_ANSWER_BYTES = 256 * 1024

# How long a resend of a request gets the outcome of the first run.
RETENTION_SECONDS = 24 * 3600.0


class ClaimState(enum.Enum):
    """What is known about the claimed request.

    `RELEASED`: its attempt never started and never will, so a resend may run it.
    `UNKNOWN`: it may have taken effect, and there is no way to find out.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


FINISHED_STATES = (ClaimState.DONE, ClaimState.FAILED)


class Claim(msgspec.Struct, kw_only=True, frozen=True):
    """The record of one request that must not be repeated.

    `agent` is the incarnation of the agent that the attempt was sent to.
    `body_digest` distinguishes a resend from a different request with the same
    key.  `expires_at` is in seconds since the epoch.  `answer_kept` is false if
    the answer was too large to keep.
    """

    request: str
    attempt: str
    entry: str
    endpoint: str
    agent: str
    body_digest: str
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    answer: bytes = b""
    answer_kept: bool = True
    expires_at: float


def make_claim_name(*, organisation: str, operation: str, key: str) -> str:
    """Return the object name of the claim for an organisation's idempotency key.

    The parts are encoded with their lengths, so different triples never produce
    the same text.
    """
    parts = msgspec.msgpack.encode((organisation, operation, key))
    return hashlib.sha256(parts).hexdigest()


def trim_answer(claim: Claim) -> Claim:
    """Return the claim, without its answer if that is too large to keep."""
    size = len(claim.answer) + sum(len(k) + len(v) for k, v in claim.headers)
    if size <= MAX_ANSWER_BYTES:
        return claim
    return msgspec.structs.replace(claim, answer=b"", headers=(), answer_kept=False)
