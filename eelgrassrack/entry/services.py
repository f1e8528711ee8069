"""A request for a plain service from its arrival to its answer."""

from collections.abc import Callable

from ..decisions.stopping import DrainAction
from ..document.sections import Organisation
from ..document.snapshot import Snapshot
from .admission import Door
from .answers import Labels, Responder, write_body, write_error
from .arrivals import ServiceArrival
from .channels import Completed
from .dispatcher import Dispatcher
from .headers import Run, is_passed_on
from .idempotency import IdempotentRunner
from .identity import Identity
from .jobs import Job
from .outcomes import judge_outcome
from .refusals import CallerError

FORBIDDEN = 403
BAD_REQUEST = 400


class ServiceFlow:
    """Answer requests for plain services."""

    __slots__ = ("_dispatcher", "_door", "_identity", "_ledger", "_once")

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        door: Door,
        identity: Identity,
        ledger: Callable[[], str],
        once: IdempotentRunner,
    ) -> None:
        self._dispatcher = dispatcher
        self._door = door
        self._identity = identity
        self._ledger = ledger
        self._once = once

    async def answer(
        self,
        *,
        arrival: ServiceArrival,
        organisation: Organisation,
        snapshot: Snapshot,
        responder: Responder,
    ) -> None:
        """Send a request's answer, or the error in its place."""
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
                self._door.release(organisation=organisation)
        match result:
            case CallerError():
                write_error(responder=responder, labels=labels, error=result)
            case Completed(status=status, headers=fields, pieces=pieces):
                passed = [pair for pair in fields if is_passed_on(pair[0])]
                write_body(
                    responder=responder,
                    status=status,
                    fields=[*labels.build_headers(run=Run.RAN), *passed],
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
        if not arrival.repeatable and not arrival.terms.idempotency_key:
            # A resend without a key can't be told from a new request, and
            # would run a second time.
            return CallerError(
                status=BAD_REQUEST,
                code="idempotency_key_missing",
                text="This operation may not be repeated and needs Idempotency-Key.",
            )
        return self._door.admit(
            organisation=organisation,
            snapshot=snapshot,
            tokens=arrival.tokens,
            within=arrival.terms.within,
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
            deadline=self._door.find_deadline(within=arrival.terms.within),
            ledger=self._ledger(),
            service=arrival.service,
            priority=organisation.priority,
            tokens=arrival.tokens,
            repeatable=arrival.repeatable,
            fingerprint=arrival.fingerprint,
            method=arrival.method,
            path=arrival.path,
            headers=arrival.passed_headers,
            body=arrival.body,
        )
        if arrival.repeatable:
            return judge_outcome(await self._dispatcher.run(job=job))
        return await self._once.run(
            job=job,
            operation=f"{arrival.service} {arrival.method} {arrival.path}",
            key=arrival.terms.idempotency_key,
        )
