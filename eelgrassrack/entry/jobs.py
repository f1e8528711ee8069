"""A step of a request as dispatched to an agent, and its result."""

from collections.abc import Awaitable, Callable

import msgspec

from ..document.snapshot import Snapshot
from ..mailbox.messages import Start
from .channels import CANCEL_REPLY_SECONDS, Outcome
from .refusals import CallerError


class Job(msgspec.Struct, kw_only=True, frozen=True):
    """One step of a request, ready to be dispatched.

    `deadline` is in the time of the event loop.  `ledger` is the same for all
    attempts of a request, because the bills of two attempts at one step are
    recognised as duplicates only within one ledger.  `size` is how many bytes the body
    has to have.
    """

    request: str
    organisation: str
    snapshot: Snapshot
    deadline: float
    ledger: str = ""
    step: int = 0
    version: str = ""
    service: str = ""
    priority: int = 1
    tokens: int = 1
    stream: bool = False
    repeatable: bool = True
    affinity: str = ""
    fingerprint: str = ""
    parts: tuple[str, ...] = ()
    method: str = "POST"
    path: str = "/v1/chat/completions"
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    size: int = 0


class AttemptTarget(msgspec.Struct, kw_only=True, frozen=True):
    """An attempt's id, and the endpoint and agent that it is sent to."""

    attempt: str
    endpoint: str
    agent: str
    address: str


Reserve = Callable[[AttemptTarget], Awaitable[CallerError | None]]


class DispatchResult(msgspec.Struct, kw_only=True, frozen=True):
    """The outcome of a step, and the target of the attempt that had it."""

    outcome: Outcome
    target: AttemptTarget | None = None


def build_start(*, job: Job, target: AttemptTarget, now: float, alone: bool) -> Start:
    """Return the message that asks an agent to run an attempt.

    The agent's deadline is when this entry would cancel the attempt, which is
    before the caller's deadline.  Otherwise the agent would start attempts
    that are then cancelled before they can end.
    """
    return Start(
        attempt=target.attempt,
        request=job.request,
        agent=target.agent,
        organisation=job.organisation,
        revision=job.snapshot.revision,
        ledger=job.ledger,
        step=job.step,
        version=job.version,
        service=job.service,
        priority=job.priority,
        tokens=job.tokens,
        within=job.deadline - CANCEL_REPLY_SECONDS - now,
        stream=job.stream,
        alone=alone,
        repeatable=job.repeatable,
        fingerprint=job.fingerprint,
        parts=job.parts,
        method=job.method,
        path=job.path,
        headers=job.headers,
        body=job.body,
        size=job.size,
    )
