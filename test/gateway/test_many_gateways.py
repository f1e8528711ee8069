"""What grows with the number of gateways or endpoints stays bounded."""

import asyncio

import logbook
import msgspec
import pytest

from eelgrassrack.gateway.endpoints import Endpoint
from eelgrassrack.gateway.fleet import MAX_LOGGED_TOGETHER, Fleet
from eelgrassrack.gateway.follower import StoreContact
from eelgrassrack.gateway.peerlist import POLL_SECONDS, find_interval
from eelgrassrack.gateway.peerupdates import PeerUpdate, UpdateExchange

from .world import run

GATEWAYS = 300
ENDPOINTS = 1_000
# A process may write 400 lines a second; those that explain requests need most of them.
MAX_START_LINES = 40


@pytest.fixture
def lines():
    """Return the messages that are logged during a test."""
    handler = logbook.TestHandler()
    with handler.applicationbound():
        yield handler


def make_endpoint(number):
    return Endpoint(
        name=f"i-{number:010x}",
        born=1,
        service="plain",
        address=("10.0.0.1", 1),
        domain="north",
        version="v1",
        slots=8,
    )


def make_fleet():
    return Fleet(
        contact=StoreContact(), clock=lambda: 0.0, forget=lambda lifetime: None
    )


def test_a_list_of_endpoints_takes_few_log_lines(lines):
    """Guards against a start that uses up the log lines which explain requests."""
    fleet = make_fleet()
    endpoints = [make_endpoint(number) for number in range(ENDPOINTS)]
    fleet.replace_from_peer(endpoints)
    messages = [record.message for record in lines.records]
    assert len(messages) == ENDPOINTS / MAX_LOGGED_TOGETHER <= MAX_START_LINES
    assert all(any(one.name in line for line in messages) for one in endpoints)


def test_one_endpoint_that_comes_up_is_described(lines):
    """An operator sees in it that an endpoint has started again."""
    fleet = make_fleet()
    fleet.replace_from_peer([make_endpoint(1)])
    (record,) = lines.records
    assert record.message == (
        "fleet: i-0000000001 of plain v1 is up in north, cold for 0.0 s"
    )


def test_peers_that_are_heard_together_take_one_log_line(lines):
    """Guards against as many lines as there are pairs of gateways."""

    async def main():
        exchange = UpdateExchange(
            name="me",
            domain="north",
            address=("10.0.0.1", 7),
            seeds=(),
            make_update=None,
            receive_update=lambda update: None,
        )
        for number in range(GATEWAYS):
            update = PeerUpdate(f"g{number}", "life", 7, 1, 1, True, domain="north")
            address = (f"10.0.{number // 250 + 1}.{number % 250}", 7)
            exchange.datagram_received(msgspec.msgpack.encode(update), address)
        sending = asyncio.ensure_future(exchange.run())
        await asyncio.sleep(0)
        sending.cancel()

    run(main())
    messages = [record.message for record in lines.records]
    assert [line for line in messages if "receiving updates" in line] == messages
    assert len(messages) == 1
    assert f"of {GATEWAYS} gateways: g0, g1, " in messages[0]


def test_reads_of_the_list_of_gateways_don_t_grow_with_their_square():
    """Guards against calls to the store that grow with pages times gateways."""
    assert find_interval(5) == find_interval(32) == POLL_SECONDS

    def count_gateways_read(gateways):
        return gateways * gateways / find_interval(gateways)

    assert count_gateways_read(600) == pytest.approx(2 * count_gateways_read(300))
