"""Runs one step of a chat request: picks a version and dispatches it."""

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
from .sessions import PickedVersion, Sessions
from .texts import join_pieces, read_body

# Requests that share this many leading characters of the prompt go to the same
# endpoint if it has capacity, because its engine may have the prefix cached.
AFFINITY_CHARACTERS = 256


class ChatRequest(msgspec.Struct, kw_only=True, frozen=True):
    """An admitted chat request, with the snapshot and route it uses.

    `deadline` is in the time of the event loop.
    """

    request_id: str
    arrival: ChatArrival
    organisation: Organisation
    snapshot: Snapshot
    route: Route
    deadline: float
    ledger: str

    @property
    def kind(self) -> str:
        """Return the kind of request, by which ratings are grouped."""
        return self.arrival.options.kind

    @property
    def rungs(self) -> list[Rung]:
        """Return the steps of the route as input for the cascade planner."""
        return [
            Rung(model=step.model, cost=step.cost, quality=step.quality)
            for step in self.route.steps
        ]

    @property
    def affinity(self) -> str:
        """Return the affinity key: requests with equal keys share an endpoint."""
        return self.arrival.options.session or self.arrival.prompt[:AFFINITY_CHARACTERS]


class StepAnswered(msgspec.Struct, kw_only=True, frozen=True):
    """The complete answer of one step.

    `is_sent` means that its pieces were sent already, `is_sample` that it is
    to be rated after delivery.
    """

    completed: Completed
    model: str
    labels: Labels
    stream: ChatStream
    is_sent: bool = False
    is_sample: bool = False

    def read_text(self, *, is_streamed: bool) -> str:
        """Return the answer's text."""
        if is_streamed:
            return join_pieces(self.completed.pieces)
        return read_body(b"".join(self.completed.pieces))


class StepFailed(msgspec.Struct, kw_only=True, frozen=True):
    """The error of a step without a complete answer."""

    labels: Labels
    error: CallerError


class StepRunner:
    """Runs single steps of chat requests."""

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
        self, *, request: ChatRequest, index: int, direct: bool, responder: Responder
    ) -> StepAnswered | StepFailed:
        """Run the step at `index`.

        With `direct` a streamed answer is sent to the caller as it arrives.
        """
        step = request.route.steps[index]
        labels = Labels(request=request.request_id, revision=request.snapshot.revision)
        picked = await self._sessions.pick(
            organisation=request.organisation,
            step=step,
            options=request.arrival.options,
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
                stream.abort(result)
            return StepFailed(labels=labels, error=result)
        return StepAnswered(
            completed=result,
            model=step.model,
            labels=labels,
            stream=stream,
            is_sent=is_sent,
            is_sample=is_sample,
        )

    async def _dispatch(
        self,
        request: ChatRequest,
        index: int,
        picked: PickedVersion,
        stream: ChatStream,
        is_sent: bool,
        is_sample: bool,
    ) -> Completed | CallerError:
        began = self._clock()
        result = await self._dispatcher.run(
            job=_build_job(request, index, picked),
            sink=stream.write_piece if is_sent else None,
            keeps_pieces=not is_sent or is_sample,
        )
        self._ratings.note_end(
            version=picked.version,
            result=result,
            seconds=self._clock() - began,
        )
        return judge_outcome(result)


def _build_job(request: ChatRequest, index: int, picked: PickedVersion) -> Job:
    arrival = request.arrival
    body = arrival.build_body(version=picked.version)
    return Job(
        request=request.request_id,
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
        parts=arrival.parts,
        body=body,
        size=len(body),
    )
