"""HTTP clients of the platform's instance list and rating service."""

import asyncio
import random
from collections.abc import Callable

import logbook
import msgspec

from ..addresses import check_mailbox
from ..decoding import decode_json
from ..errors import FormatError
from ..jsonparts import NULL, cut_deep, find_name, split_array, split_object
from ..leftaside import LeftAside
from .budget import Backoff
from .http import Answer, HttpCaller, NoAnswer
from .instances import Instance, Listing
from .objects import Unavailable

log = logbook.Logger("platform")

WATCH_EXTRA_SECONDS = 2.0
MAX_INSTANCE_CALLS = 2
MAX_RATING_CALLS = 64
BACKOFF_BASE_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 4.0

# What log lines call the entries of the list.
INSTANCES = "instances"


class HttpInstanceList:
    """The `InstanceList` protocol over HTTP.

    After a failure the next watch first waits for a backoff with jitter.  So a
    caller in a loop neither spins while the list is unavailable nor retries at the
    same time as all others.  `jitter` returns random numbers from 0 to 1.
    """

    __slots__ = ("_backoff", "_http", "_jitter", "_left_aside", "_pause")

    def __init__(
        self, *, url: str, jitter: Callable[[], float] = random.random
    ) -> None:
        self._http = HttpCaller(url=url, max_clients=MAX_INSTANCE_CALLS)
        self._backoff = Backoff(base=BACKOFF_BASE_SECONDS, maximum=BACKOFF_MAX_SECONDS)
        self._jitter = jitter
        self._left_aside = LeftAside()
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
            case ListingRead(listing=listing, odd=odd):
                self._pause = 0.0
                self._backoff.reset()
                sound = {one.name for one in listing.instances}
                self._left_aside.note(kind=INSTANCES, odd=odd, sound=sound - odd.keys())
                return listing
            case Unavailable():
                self._pause = self._backoff.next_delay(jitter=self._jitter())
                return result


class ListingRead(msgspec.Struct, kw_only=True, frozen=True):
    """The instances of a list that can be used, and why others can't, by name."""

    listing: Listing
    odd: dict[str, str]


def read_watch(outcome: Answer | NoAnswer) -> ListingRead | Unavailable:
    """Convert the outcome of a watch into a result."""
    match outcome:
        case NoAnswer(reason=reason):
            return Unavailable(reason=reason)
        case Answer(status=200, body=body):
            return read_listing(body)
        case Answer(status=status):
            return Unavailable(reason=f"status {status}")


def read_listing(body: bytes) -> ListingRead | Unavailable:
    """Decode the list of instances; one that can't be read doesn't hide the others."""
    try:
        return _sort_out(decode_json(body, kind=Listing), {})
    except FormatError:
        log.debug("platform: a list of instances isn't read as a whole")
    try:
        return _read_odd_listing(body)
    except FormatError as error:
        return Unavailable(reason=f"a list that can't be read: {error}")


def _read_odd_listing(body: bytes) -> ListingRead:
    members = split_object(cut_deep(body))
    sound = []
    odd = {}
    for part in split_array(members.get("instances", NULL)):
        try:
            sound.append(decode_json(part, kind=Instance))
        except FormatError as error:
            odd[find_name(part)] = str(error)
    version = decode_json(members.get("version", NULL), kind=int)
    return _sort_out(Listing(version=version, instances=tuple(sound)), odd)


def _sort_out(listing: Listing, odd: dict[str, str]) -> ListingRead:
    """Leave out the instances whose mailbox isn't an address."""
    usable = []
    for instance in listing.instances:
        try:
            check_mailbox(instance.mailbox)
        except FormatError as error:
            odd[instance.name] = str(error)
        else:
            usable.append(instance)
    usable_only = Listing(version=listing.version, instances=tuple(usable))
    return ListingRead(listing=usable_only, odd=odd)


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
