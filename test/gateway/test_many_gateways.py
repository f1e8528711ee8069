"""What grows with the number of gateways or endpoints stays bounded."""

import asyncio

import logbook
import msgspec
import pytest

from eelgrassrack.gateway.endpoints.endpoint import Endpoint
from eelgrassrack.gateway.endpoints.fleet import MAX_LOGGED_TOGETHER, Fleet
from eelgrassrack.gateway.peers import peerlist
from eelgrassrack.gateway.peers.peerlist import POLL_SECONDS, PeerList, find_interval
from eelgrassrack.gateway.peers.peerupdates import UpdateExchange
from eelgrassrack.gateway.peers.updatemessages import PeerUpdate
from eelgrassrack.gateway.settings import GatewaySettings
from eelgrassrack.gateway.store.storecontact import StoreContact
from eelgrassrack.gateway.store.storeobjects import ListResult, Peer
from eelgrassrack.platform.store import Kinds

from .spread import StorePath, World, make_rng, play
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


def test_what_may_get_requests_is_found_once_for_many_requests():
    """Guards against time of each request that grows with the endpoints listed."""
    fleet = make_fleet()
    fleet.replace_from_peer(map(make_endpoint, range(ENDPOINTS)))
    found = fleet.select(service="plain")
    assert len(found) == ENDPOINTS
    assert fleet.select(service="plain") is found


def drain(fleet):
    endpoint = msgspec.structs.replace(make_endpoint(1), is_draining=True)
    fleet.apply_changes({endpoint.name: endpoint})


@pytest.mark.parametrize(
    ("change", "left"),
    [
        (drain, 2),
        (lambda fleet: fleet.apply_changes({make_endpoint(1).name: None}), 2),
        (lambda fleet: fleet.note_leaving(make_endpoint(1)), 2),
        (lambda fleet: fleet.replace_evacuations(["north"]), 0),
        (lambda fleet: fleet.replace_from_peer(map(make_endpoint, range(4))), 4),
    ],
    ids=["drains", "removed", "says that it leaves", "evacuated", "added"],
)
def test_a_change_of_an_endpoint_is_seen_by_the_next_request(change, left):
    """Guards against requests to an endpoint that has left, from what was kept."""
    fleet = make_fleet()
    fleet.replace_from_peer(map(make_endpoint, range(3)))
    assert len(fleet.select(service="plain")) == 3
    change(fleet)
    assert len(fleet.select(service="plain")) == left


class RecordedLists:
    """A store with a list of gateways, which may be outdated, and its reads."""

    def __init__(self, *, outdated):
        self.reads = []
        self._outdated = outdated

    async def write_peer(self, *, name, address, timeout):
        return True

    async def list(self, *, kind, timeout, allow_stale=False):
        self.reads.append("stale" if allow_stale else "fresh")
        names = self._outdated if allow_stale else ["me", "other"]
        peers = {name: Peer(name=name, address=("10.0.0.1", 7)) for name in names}
        return ListResult(revision=1, newest=1, objects=peers)


@pytest.mark.parametrize(
    ("outdated", "reads"),
    [([], ["stale", "fresh"]), (["me", "other"], ["stale"])],
    ids=["first start", "restart"],
)
def test_a_list_is_read_twice_only_by_a_gateway_that_it_lacks(
    monkeypatch, outdated, reads
):
    """Guards against calls to the store by hundreds of gateways that start again."""

    async def main():
        monkeypatch.setattr(peerlist, "START_SECONDS", 0.01)
        store = RecordedLists(outdated=outdated)
        settings = GatewaySettings(
            name="me",
            domain="north",
            listen="10.0.0.1:1",
            readiness="10.0.0.1:2",
            address="10.0.0.1",
            news_port=7,
            metrics_port=8,
            objects_url="",
        )
        peers = PeerList(
            settings=settings,
            store=store,
            kind=Kinds.PEERS,
            add_peers=lambda peers: None,
        )
        running = asyncio.ensure_future(peers.run())
        await asyncio.sleep(0.1)
        running.cancel()
        assert store.reads == reads

    run(main())


def test_gateways_that_start_together_don_t_all_watch_every_kind(monkeypatch):
    """Guards against a watch of each kind by each gateway after a loss of all power.

    None of them has heard of the others yet, so each would take itself for one of the
    few that watch.
    """
    watched = []
    watch = StorePath.watch

    async def count(self, **call):
        watched.append(call["kind"])
        return await watch(self, **call)

    async def main():
        monkeypatch.setattr(StorePath, "watch", count)
        world = World(
            rng=make_rng(4),
            count=40,
            domains=5,
            links=(20e6,),
            size=20_000,
            monkeypatch=monkeypatch,
        )
        await world.start()
        await asyncio.sleep(4.0)
        world.stop()

    play(main())
    assert 4 <= watched.count(Kinds.CONFIGURATION) <= 20
    assert 4 <= watched.count(Kinds.ROLLOUTS) <= 20
