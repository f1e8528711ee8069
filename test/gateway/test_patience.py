"""Timeouts of a gateway whose own event loop is held up."""

import asyncio
import socket
import time

import pytest

from eelgrassrack.gateway.endpoints.connection import open_connection
from eelgrassrack.gateway.errors import ConnectError
from eelgrassrack.gateway.patience import wait_unless_late

from .world import run

TIMEOUT_SECONDS = 0.05
HELD_UP_SECONDS = 0.3


def test_an_endpoint_isn_t_blamed_for_time_that_the_gateway_lost_itself():
    """Guards against sound endpoints that are avoided by a gateway that is slow."""

    async def main():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            opening = asyncio.ensure_future(
                open_connection(address=listener.getsockname(), timeout=TIMEOUT_SECONDS)
            )
            await asyncio.sleep(0)
            time.sleep(HELD_UP_SECONDS)
            (await opening).close()

    run(main())


def test_an_endpoint_that_doesn_t_answer_is_given_up_in_time():
    """Guards against requests that wait for an endpoint that is out of reach."""

    async def main():
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
            address = listener.getsockname()
            # It fills the queue, so that the kernel answers no other.
            with socket.create_connection(address):
                began = loop.time()
                with pytest.raises(ConnectError):
                    await open_connection(address=address, timeout=TIMEOUT_SECONDS)
                assert loop.time() - began < 10 * TIMEOUT_SECONDS

    run(main())


def test_a_wait_begins_again_only_after_a_delay_of_the_event_loop():
    """Guards against a wait without end, and one that ends by the loop's own delay."""

    async def main():
        loop = asyncio.get_running_loop()
        never = loop.create_future()
        with pytest.raises(TimeoutError):
            await wait_unless_late(never, TIMEOUT_SECONDS)
        late = loop.create_future()
        waiting = asyncio.ensure_future(wait_unless_late(late, TIMEOUT_SECONDS))
        await asyncio.sleep(0)
        time.sleep(HELD_UP_SECONDS)
        loop.call_later(TIMEOUT_SECONDS / 2, late.set_result, "done")
        assert await waiting == "done"

    run(main())
