"""Chat requests: routing, admission, the steps of a cascade and the response."""

import random
from collections.abc import Callable

from ..decisions.cascade import CascadePlan, CascadePlanner, Deliver
from ..decisions.stopping import DrainAction
from ..document.sections import Organisation
from ..document.snapshot import Snapshot
from .admission import AdmissionControl
from .answers import Labels, Responder, write_chat_body, write_error
from .arrivals import ChatArrival
from .identity import Identity
from .meter import Meter
from .ratings import Ratings
from .refusals import CallerError
from .routes import Route, find_route
from .steps import ChatRequest, StepAnswered, StepFailed, StepRunner


class ChatFlow:
    """Answers chat requests."""

    __slots__ = (
        "_planner",
        "_clock",
        "_admission",
        "_identity",
        "_find_ledger",
        "_meter",
        "_rng",
        "_ratings",
        "_steps",
    )

    def __init__(
        self,
        *,
        planner: CascadePlanner,
        admission: AdmissionControl,
        identity: Identity,
        find_ledger: Callable[[], str],
        meter: Meter,
        ratings: Ratings,
        steps: StepRunner,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._planner = planner
        self._admission = admission
        self._identity = identity
        self._find_ledger = find_ledger
        self._meter = meter
        self._ratings = ratings
        self._steps = steps
        self._rng = rng
        self._clock = clock

    async def answer(
        self,
        *,
        arrival: ChatArrival,
        organisation: Organisation,
        snapshot: Snapshot,
        responder: Responder,
    ) -> None:
        """Send the answer to a request, or an error."""
        request = self._prepare(arrival, organisation, snapshot, responder)
        if isinstance(request, StepFailed):
            write_error(responder=responder, labels=request.labels, error=request.error)
            return
        try:
            result = await self._run(request, responder)
        finally:
            self._admission.release(organisation=organisation)
        match result:
            case StepFailed(labels=labels, error=error):
                write_error(responder=responder, labels=labels, error=error)
            case StepAnswered():
                self._deliver(request, result, responder)

    def _prepare(
        self,
        arrival: ChatArrival,
        organisation: Organisation,
        snapshot: Snapshot,
        responder: Responder,
    ) -> ChatRequest | StepFailed:
        labels = Labels(
            request=self._identity.make_request(), revision=snapshot.revision
        )
        route = find_route(
            snapshot=snapshot, organisation=organisation, name=arrival.model
        )
        if isinstance(route, CallerError):
            return StepFailed(labels=labels, error=route)
        admitted = self._admit(arrival, organisation, snapshot, route)
        if isinstance(admitted, CallerError):
            return StepFailed(labels=labels, error=admitted)
        if admitted is DrainAction.HOLD:
            responder.buffer_until_complete()
        return ChatRequest(
            request_id=labels.request,
            arrival=arrival,
            organisation=organisation,
            snapshot=snapshot,
            route=route,
            deadline=self._admission.find_deadline(remaining=arrival.options.remaining),
            ledger=self._find_ledger(),
        )

    def _admit(
        self,
        arrival: ChatArrival,
        organisation: Organisation,
        snapshot: Snapshot,
        route: Route,
    ) -> CallerError | DrainAction:
        return self._admission.admit(
            organisation=organisation,
            snapshot=snapshot,
            tokens=arrival.tokens,
            remaining=arrival.options.remaining,
            versions=[
                tuple(version.name for version in step.active) for step in route.steps
            ],
        )

    async def _run(
        self, request: ChatRequest, responder: Responder
    ) -> StepAnswered | StepFailed:
        plan = self._plan(request)
        last = len(request.route.steps) - 1
        best: StepAnswered | None = None
        for index in range(plan.first, last + 1):
            result = await self._steps.run(
                request=request,
                index=index,
                direct=index == last or (plan.direct and index == plan.first),
                responder=responder,
            )
            if isinstance(result, StepFailed):
                # If a more expensive step fails, the complete answer of the cheaper
                # one is sent, unless a part of the failed answer was sent already.
                return result if best is None or responder.has_begun else best
            best = result
            if index == last or await self._is_good_enough(request, index, best):
                break
            self._meter.note_escalation()
        return best

    def _plan(self, request: ChatRequest) -> CascadePlan:
        if not request.route.is_cascade:
            return CascadePlan(first=0, direct=True)
        return self._planner.plan(
            kind=request.kind,
            target=request.organisation.quality_target,
            preference=request.organisation.preference,
            rungs=request.rungs,
            chance=self._rng.random(),
            policy=request.snapshot.policy,
        )

    async def _is_good_enough(
        self, request: ChatRequest, index: int, answered: StepAnswered
    ) -> bool:
        if answered.is_sent:
            return True
        remaining = request.deadline - self._clock()
        rating = await self._ratings.rate(
            kind=request.kind,
            model=answered.model,
            version=answered.labels.version,
            prompt=request.arrival.prompt,
            answer=answered.read_text(is_streamed=request.arrival.stream),
            timeout=min(request.snapshot.limits.rating_timeout, remaining / 2),
        )
        rungs = request.rungs
        verdict = self._planner.judge(
            rating=rating,
            target=request.organisation.quality_target,
            rung=rungs[index],
            last=index == len(rungs) - 1,
            kind=request.kind,
        )
        return isinstance(verdict, Deliver)

    def _deliver(
        self, request: ChatRequest, answered: StepAnswered, responder: Responder
    ) -> None:
        arrival = request.arrival
        if not request.route.is_cascade or answered.is_sent:
            self._sample(request, answered)
        if not arrival.stream:
            body = b"".join(answered.completed.pieces)
            error = write_chat_body(
                responder=responder, labels=answered.labels, body=body
            )
            if error is not None:
                write_error(responder=responder, labels=answered.labels, error=error)
            return
        if not answered.is_sent:
            for piece in answered.completed.pieces:
                answered.stream.write_piece(piece)
        answered.stream.finish(
            bill=answered.completed.bill, wants_usage=arrival.wants_usage
        )

    def _sample(self, request: ChatRequest, answered: StepAnswered) -> None:
        is_streamed = request.arrival.stream
        if not answered.is_sample or not answered.completed.pieces:
            return
        self._ratings.sample(
            kind=request.kind,
            model=answered.model,
            version=answered.labels.version,
            prompt=request.arrival.prompt,
            answer=answered.read_text(is_streamed=is_streamed),
        )
