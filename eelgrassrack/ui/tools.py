"""External dependencies of the commands, which tests replace."""

import asyncio
import getpass
import os
import time
from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager

import msgspec
from tornado.httpclient import HTTPClientError

from ..curl import make_client
from ..store.budget import CallBudget
from ..store.client import HttpObjectStore
from ..store.objects import ObjectStore
from .errors import UnavailableError

FETCH_TIMEOUT_SECONDS = 5.0

# A daemon's call budget is meant for its steady state.  A command runs only
# briefly and reads each section of the document once, so with a daemon's
# budget it would fail on a document of a hundred sections.  The platform
# handles about two thousand reads a second.
CALLS_PER_SECOND = 200.0
BURST_CALLS = 1_000.0


class Tools(msgspec.Struct, kw_only=True, frozen=True):
    """The dependencies of a command: store, HTTP, clocks and environment.

    `now` is Unix time and `clock` monotonic time, both in seconds.  `who` is
    the user's name for the audit trail.
    """

    connect: Callable[[str], AbstractContextManager[ObjectStore]]
    fetch: Callable[[str], Awaitable[bytes]]
    now: Callable[[], float]
    clock: Callable[[], float]
    sleep: Callable[[float], Awaitable[None]]
    environment: Mapping[str, str]
    who: str


def make_tools() -> Tools:
    """Return the tools that commands use outside of tests."""
    return Tools(
        connect=connect_store,
        fetch=fetch_body,
        now=time.time,
        clock=time.monotonic,
        sleep=asyncio.sleep,
        environment=os.environ,
        who=find_user(),
    )


@contextmanager
def connect_store(url: str) -> Iterator[ObjectStore]:
    """Open the platform's object API at a URL, and close it at exit."""
    store = HttpObjectStore(
        url=url.rstrip("/"),
        caller="operator",
        budget=CallBudget(per_second=CALLS_PER_SECOND, burst=BURST_CALLS),
    )
    try:
        yield store
    finally:
        store.close()


async def fetch_body(url: str) -> bytes:
    """Return the body of a `GET`; raise `UnavailableError` if it fails."""
    client = make_client(max_clients=1)
    try:
        response = await client.fetch(url, request_timeout=FETCH_TIMEOUT_SECONDS)
    except (HTTPClientError, OSError, ValueError) as error:
        raise UnavailableError(f"{url}: {error}") from error
    finally:
        client.close()
    return response.body


def find_user() -> str:
    """Return the user's name for the audit trail."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # A container's user may have no name.
        return f"uid {os.getuid()}"
