"""One step of a chat request: pick a version, dispatch, judge the end."""

from collections.abc import Callable

import msgspec

from ..decisions.cascade import Rung
from ..document.sections import Organisation
from ..document.snapshot import Snapshot
from .answers import ChatStream, Labels, Responder
from .arrivals import ChatArrival
from .channels import Completed
from .dispatcher import Dispatcher
from .jobs import Job
from .outcomes import judge_outcome
from .ratings import Ratings
from .refusals import CallerError
from .routes import Route
from .sessions import Picked, Sessions
from .texts import join_pieces, read_body

# A prompt's first characters name the prefix that an engine may have
# cached; requests that share them go to the same endpoint if it has room.
AFFINITY_CHARACTERS = 256


class Request(msgspec.Struct, kw_only=True, frozen=True):
    """One chat request with what it was admitted under."""

    identity: str
    arrival: ChatArrival
    organisation: Organisation
    snapshot: Snapshot
    route: Route
    deadline: float
    ledger: str

    @property
    def kind(self) -> str:
        """Return the kind of request that ratings are kept by."""
        return self.arrival.terms.kind

    @property
    def rungs(self) -> list[Rung]:
        """Return the route's steps as the cascade's decision sees them."""
        return [
            Rung(model=step.model, cost=step.cost, quality=step.quality)
            for step in self.route.steps
        ]

    @property
    def affinity(self) -> str:
        """Return what should go to one endpoint together."""
        return self.arrival.terms.session or self.arrival.prompt[:AFFINITY_CHARACTERS]


class StepAnswered(msgspec.Struct, kw_only=True, frozen=True):
    """A whole answer of one step.

    `is_sent` tells that its pieces went out already, `is_sample` that it
    is to be rated after delivery.
    """

    whole: Completed
    model: str
    labels: Labels
    stream: ChatStream
    is_sent: bool = False
    is_sample: bool = False

    def read_text(self, *, is_streamed: bool) -> str:
        """Return the answer's text."""
        if is_streamed:
            return join_pieces(self.whole.pieces)
        return read_body(b"".join(self.whole.pieces))


class StepFailed(msgspec.Struct, kw_only=True, frozen=True):
    """A step without a whole answer."""

    labels: Labels
    error: CallerError


class StepRunner:
    """Run single steps."""

    __slots__ = ("_clock", "_dispatcher", "_ratings", "_sessions")

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        ratings: Ratings,
        sessions: Sessions,
        clock: Callable[[], float],
    ) -> None:
        self._dispatcher = dispatcher
        self._ratings = ratings
        self._sessions = sessions
        self._clock = clock

    async def run(
        self, *, request: Request, index: int, direct: bool, responder: Responder
    ) -> StepAnswered | StepFailed:
        """Run the step at `index`; a direct one streams as it comes."""
        step = request.route.steps[index]
        labels = Labels(request=request.identity, revision=request.snapshot.revision)
        picked = await self._sessions.pick(
            organisation=request.organisation,
            step=step,
            terms=request.arrival.terms,
            policy=request.snapshot.policy,
            now=self._clock(),
        )
        if isinstance(picked, CallerError):
            return StepFailed(labels=labels, error=picked)
        labels = msgspec.structs.replace(
            labels,
            model=step.model,
            version=picked.version,
            session_token=picked.token,
        )
        stream = ChatStream(responder=responder, labels=labels)
        is_sent = direct and request.arrival.stream
        is_sample = self._ratings.wants_sample(share=picked.sample_share)
        result = await self._dispatch(
            request, index, picked, stream, is_sent, is_sample
        )
        if isinstance(result, CallerError):
            if responder.has_begun:
                stream.break_off(result)
            return StepFailed(labels=labels, error=result)
        return StepAnswered(
            whole=result,
            model=step.model,
            labels=labels,
            stream=stream,
            is_sent=is_sent,
            is_sample=is_sample,
        )

    async def _dispatch(
        self,
        request: Request,
        index: int,
        picked: Picked,
        stream: ChatStream,
        is_sent: bool,
        is_sample: bool,
    ) -> Completed | CallerError:
        began = self._clock()
        dispatched = await self._dispatcher.run(
            job=_build_job(request, index, picked),
            sink=stream.write_piece if is_sent else None,
            keeps=not is_sent or is_sample,
        )
        self._ratings.note_end(
            version=picked.version,
            dispatched=dispatched,
            seconds=self._clock() - began,
        )
        return judge_outcome(dispatched)


def _build_job(request: Request, index: int, picked: Picked) -> Job:
    arrival = request.arrival
    return Job(
        request=request.identity,
        organisation=request.organisation.name,
        snapshot=request.snapshot,
        deadline=request.deadline,
        ledger=request.ledger,
        step=index,
        version=picked.version,
        priority=request.organisation.priority,
        tokens=arrival.tokens,
        stream=arrival.stream,
        affinity=request.affinity,
        fingerprint=arrival.fingerprint,
        body=arrival.build_body(version=picked.version),
    )
