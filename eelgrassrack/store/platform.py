"""HTTP clients of the platform's instance list and rating service."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from ..decoding import decode_json
from ..errors import FormatError
from .budget import Backoff
from .http import Answer, HttpCaller, NoAnswer
from .instances import Listing
from .objects import Unavailable

WATCH_EXTRA_SECONDS = 2.0
MAX_INSTANCE_CALLS = 2
MAX_RATING_CALLS = 64
BACKOFF_BASE_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 4.0


class HttpInstanceList:
    """The `InstanceList` protocol over HTTP.

    After a failure the next watch first waits for a backoff with jitter.  So a
    caller in a loop neither spins while the list is unavailable nor retries at the
    same time as all others.  `jitter` returns random numbers from 0 to 1.
    """

    __slots__ = ("_backoff", "_http", "_jitter", "_pause")

    def __init__(
        self, *, url: str, jitter: Callable[[], float] = random.random
    ) -> None:
        self._http = HttpCaller(url=url, max_clients=MAX_INSTANCE_CALLS)
        self._backoff = Backoff(base=BACKOFF_BASE_SECONDS, maximum=BACKOFF_MAX_SECONDS)
        self._jitter = jitter
        self._pause = 0.0

    def close(self) -> None:
        """Close all connections; a pending watch returns `Unavailable`."""
        self._http.close()

    async def watch(self, *, version: int, timeout: float) -> Listing | Unavailable:
        """Return the list once it is newer than `version`, or at the timeout.

        `timeout` is in seconds.
        """
        if self._pause:
            await asyncio.sleep(self._pause)
        outcome = await self._http.fetch(
            path=f"/instances?watch={version}&timeout={timeout}",
            timeout=timeout + WATCH_EXTRA_SECONDS,
        )
        result = read_watch(outcome)
        match result:
            case Listing():
                self._pause = 0.0
                self._backoff.reset()
            case Unavailable():
                self._pause = self._backoff.next_delay(jitter=self._jitter())
        return result


def read_watch(outcome: Answer | NoAnswer) -> Listing | Unavailable:
    """Convert the outcome of a watch into a result."""
    match outcome:
        case NoAnswer(reason=reason):
            return Unavailable(reason=reason)
        case Answer(status=200, body=body):
            return read_listing(body)
        case Answer(status=status):
            return Unavailable(reason=f"status {status}")


def read_listing(body: bytes) -> Listing | Unavailable:
    """Decode the list of instances."""
    try:
        return msgspec.json.decode(body, type=Listing)
    except msgspec.DecodeError as error:
        return Unavailable(reason=f"a list that can't be read: {error}")


class Rated(msgspec.Struct, kw_only=True, frozen=True):
    """The answer was rated; `score` runs from 0 (bad) to 1 (good)."""

    score: float


class NotRated(msgspec.Struct, kw_only=True, frozen=True):
    """The answer wasn't rated, for this reason."""

    reason: str


class RatingRequest(msgspec.Struct, kw_only=True, frozen=True):
    """The body of a request to the rating service."""

    kind: str
    version: str
    prompt: str
    answer: str


class RatingClient:
    """Ask the rating service how good an answer is."""

    __slots__ = ("_http",)

    def __init__(self, *, url: str) -> None:
        self._http = HttpCaller(url=url, max_clients=MAX_RATING_CALLS)

    def close(self) -> None:
        """Close all connections; calls in flight return `NotRated`."""
        self._http.close()

    async def rate(
        self, *, kind: str, model: str, prompt: str, answer: str, timeout: float
    ) -> Rated | NotRated:
        """Return the rating of an answer, within `timeout` seconds.

        `model` names the model or version that generated the answer.
        """
        request = RatingRequest(kind=kind, version=model, prompt=prompt, answer=answer)
        outcome = await self._http.fetch(
            path="/ratings",
            method="POST",
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(request),
            timeout=timeout,
        )
        match outcome:
            case NoAnswer(reason=reason):
                return NotRated(reason=reason)
            case Answer(status=200, body=body):
                return read_rating(body)
            case Answer(status=status):
                return NotRated(reason=f"status {status}")


def read_rating(body: bytes) -> Rated | NotRated:
    """Decode a rating; one out of range becomes `NotRated`."""
    try:
        rated = decode_json(body, kind=Rated)
    except FormatError as error:
        return NotRated(reason=f"a rating that can't be read: {error}")
    if not 0.0 <= rated.score <= 1.0:
        return NotRated(reason=f"a rating out of range: {rated.score}")
    return rated
