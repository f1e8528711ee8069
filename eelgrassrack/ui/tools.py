"""What commands need from outside; tests hand in their own."""

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

# A daemon's budget is for a steady state.  A command lives for a moment and
# reads each section of the document once: with a daemon's budget it would
# fail on a document of a hundred sections.  The platform takes about two
# thousand reads a second.
CALLS_PER_SECOND = 200.0
BURST_CALLS = 1_000.0


class Tools(msgspec.Struct, kw_only=True, frozen=True):
    """Everything that a command reaches outside of its arguments."""

    connect: Callable[[str], AbstractContextManager[ObjectStore]]
    fetch: Callable[[str], Awaitable[bytes]]
    now: Callable[[], float]
    clock: Callable[[], float]
    sleep: Callable[[float], Awaitable[None]]
    environment: Mapping[str, str]
    who: str


def make_tools() -> Tools:
    """Return the tools of a real command."""
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
    """Return the platform's object API at a URL while in use."""
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
    """Return the body of a `GET`; raise `UnavailableError` if there is none."""
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
