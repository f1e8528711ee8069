"""A stand-in for the rating service, which detects bad answers by their marker."""

import asyncio
from collections.abc import Iterable

import msgspec
import tornado.web

from .answers import BAD_MARKER, HARD_MARKER
from .server import Standin

GOOD_SCORE = 0.9
WEAK_SCORE = 0.4
BAD_SCORE = 0.1


class RatingRequest(msgspec.Struct, kw_only=True, frozen=True):
    """The body of a request: an answer to rate."""

    kind: str
    version: str
    prompt: str
    answer: str


class RatingService(Standin):
    """A rating service; tests control it by its public attributes.

    Answers with the bad marker get the bad score.  Answers of a model in `cheap` to a
    prompt that contains "hard" get the weak score, and all others the good score.
    Faults: `silent` (never answers), `delay` (seconds before the answer), `wrong`
    (inverts all scores).
    """

    def __init__(self, *, cheap: Iterable[str] = ()) -> None:
        self.cheap = frozenset(cheap)
        self.silent = False
        self.delay = 0.0
        self.wrong = False
        self.rated: list[RatingRequest] = []
        app = tornado.web.Application(
            [(r"/ratings", RatingsHandler, {"service": self})],
            log_function=lambda handler: None,
        )
        super().__init__(app=app)

    def rate(self, request: RatingRequest) -> float:
        """Return the score of an answer, from 0 to 1."""
        self.rated.append(request)
        score = self._score(request)
        return 1.0 - score if self.wrong else score

    def _score(self, request: RatingRequest) -> float:
        model = request.version.partition("/")[0]
        if BAD_MARKER in request.answer:
            return BAD_SCORE
        if HARD_MARKER in request.prompt and model in self.cheap:
            return WEAK_SCORE
        return GOOD_SCORE


class RatingsHandler(tornado.web.RequestHandler):
    """Receives answers and returns their scores."""

    def initialize(self, *, service: RatingService) -> None:
        """Set the service; Tornado calls this for each request."""
        self.service = service
        self.disconnected = asyncio.Event()

    def on_connection_close(self) -> None:
        """End a silent call when its caller has disconnected."""
        self.disconnected.set()

    async def post(self) -> None:
        """Rate one answer."""
        try:
            rating_request = msgspec.json.decode(self.request.body, type=RatingRequest)
        except msgspec.DecodeError as error:
            self.set_status(400)
            self.finish({"error": str(error)})
            return
        if self.service.silent:
            await self.disconnected.wait()
            return
        await asyncio.sleep(self.service.delay)
        self.finish({"score": self.service.rate(rating_request)})
