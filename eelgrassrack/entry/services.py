"""Requests for plain services: permission, admission, dispatch and response."""

from collections.abc import Callable

from ..decisions.stopping import DrainAction
from ..document.sections import Organisation
from ..document.snapshot import Snapshot
from .admission import AdmissionControl
from .answers import Labels, Responder, write_body, write_error
from .arrivals import ServiceArrival
from .channels import Completed
from .dispatcher import Dispatcher
from .headers import Run, is_forwarded
from .idempotency import IdempotentRunner
from .identity import Identity
from .jobs import Job
from .outcomes import judge_outcome
from .refusals import CallerError

FORBIDDEN = 403
BAD_REQUEST = 400


class ServiceFlow:
    """Answers requests for plain services."""

    __slots__ = (
        "_dispatcher",
        "_admission",
        "_identity",
        "_find_ledger",
        "_idempotent_runner",
    )

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        admission: AdmissionControl,
        identity: Identity,
        find_ledger: Callable[[], str],
        idempotent_runner: IdempotentRunner,
    ) -> None:
        self._dispatcher = dispatcher
        self._admission = admission
        self._identity = identity
        self._find_ledger = find_ledger
        self._idempotent_runner = idempotent_runner

    async def answer(
        self,
        *,
        arrival: ServiceArrival,
        organisation: Organisation,
        snapshot: Snapshot,
        responder: Responder,
    ) -> None:
        """Send the answer to a request, or an error."""
        labels = Labels(
            request=self._identity.make_request(), revision=snapshot.revision
        )
        result = self._check(arrival, organisation, snapshot)
        if isinstance(result, DrainAction):
            try:
                result = await self._run(
                    arrival, organisation, snapshot, labels.request
                )
            finally:
                self._admission.release(organisation=organisation)
        match result:
            case CallerError():
                write_error(responder=responder, labels=labels, error=result)
            case Completed(status=status, headers=fields, pieces=pieces):
                forwarded = [pair for pair in fields if is_forwarded(pair[0])]
                write_body(
                    responder=responder,
                    status=status,
                    fields=[*labels.build_headers(run=Run.RAN), *forwarded],
                    body=b"".join(pieces),
                )

    def _check(
        self, arrival: ServiceArrival, organisation: Organisation, snapshot: Snapshot
    ) -> CallerError | DrainAction:
        if arrival.service not in organisation.services:
            return CallerError(
                status=FORBIDDEN,
                code="service_not_allowed",
                text=f"This organisation may not use {arrival.service}.",
            )
        if arrival.method == "HEAD" and arrival.body:
            # An agent's HTTP library would make a PUT of it.
            return CallerError(
                status=BAD_REQUEST,
                code="head_with_body",
                text="A HEAD request can't have a body.",
            )
        if not arrival.repeatable and not arrival.options.idempotency_key:
            # Without a key a resend can't be distinguished from a new request and
            # would run a second time.
            return CallerError(
                status=BAD_REQUEST,
                code="idempotency_key_missing",
                text="This operation may not be repeated and needs Idempotency-Key.",
            )
        return self._admission.admit(
            organisation=organisation,
            snapshot=snapshot,
            tokens=arrival.tokens,
            remaining=arrival.options.remaining,
            versions=[("",)],
            service=arrival.service,
            repeatable=arrival.repeatable,
        )

    async def _run(
        self,
        arrival: ServiceArrival,
        organisation: Organisation,
        snapshot: Snapshot,
        request: str,
    ) -> Completed | CallerError:
        job = Job(
            request=request,
            organisation=organisation.name,
            snapshot=snapshot,
            deadline=self._admission.find_deadline(remaining=arrival.options.remaining),
            ledger=self._find_ledger(),
            service=arrival.service,
            priority=organisation.priority,
            tokens=arrival.tokens,
            repeatable=arrival.repeatable,
            fingerprint=arrival.fingerprint,
            method=arrival.method,
            path=arrival.path,
            headers=arrival.forwarded_headers,
            body=arrival.body,
            size=arrival.size,
        )
        if arrival.repeatable:
            return judge_outcome(await self._dispatcher.run(job=job))
        return await self._idempotent_runner.run(
            job=job,
            operation=f"{arrival.service} {arrival.method} {arrival.path}",
            key=arrival.options.idempotency_key,
        )
