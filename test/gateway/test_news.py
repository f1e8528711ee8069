"""What gateways tell each other, whom, and how often."""

import asyncio

import msgspec

from eelgrassrack.decisions.stopping import Readiness
from eelgrassrack.gateway.peerupdates import Audience, PeerUpdate, UpdateExchange
from eelgrassrack.gateway.storeobjects import Peer
from eelgrassrack.gateway.storeviews import KnownRevisions, make_path, read_path
from eelgrassrack.platform.store import Kinds

from .world import make_world, run, wait_for

ROUNDS = 16


class Line:
    """Takes datagrams down in place of a socket."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((address[0], msgspec.msgpack.decode(data, type=PeerUpdate)))

    def list_for(self, address):
        return [news for to, news in self.sent if to == address]


class Teller:
    """A gateway's news, of which a test changes parts."""

    def __init__(self):
        self.changes = {}

    def make(self, *, audience, **rest):
        news = PeerUpdate(configuration=1, knows_store=True, domain="north", **rest)
        return msgspec.structs.replace(news, **self.changes)


def make_exchange(*, near, far):
    """Return an exchange that has heard so many peers, its teller and its line."""
    teller, line = Teller(), Line()
    exchange = UpdateExchange(
        name="me",
        domain="north",
        address=("10.0.0.1", 7),
        seeds=(),
        make_update=teller.make,
        receive_update=lambda news: None,
    )
    exchange.connection_made(line)
    names = [("north", f"10.0.1.{n}") for n in range(near)]
    names += [("south", f"10.0.2.{n}") for n in range(far)]
    exchange.take_peers(
        {address: Peer(name=address, address=(address, 7)) for _, address in names}
    )
    for domain, address in names:
        news = PeerUpdate(address, "life", 7, 1, 1, True, domain=domain)
        exchange.datagram_received(msgspec.msgpack.encode(news), (address, 7))
    return exchange, teller, line


def test_peers_of_other_domains_get_fewer_news():
    """Twenty gateways would fill thin links with what each has under way."""

    async def main():
        exchange, _, line = make_exchange(near=6, far=14)
        for _ in range(ROUNDS):
            exchange.send()
        assert len(line.list_for("10.0.1.0")) == ROUNDS
        assert len(line.list_for("10.0.2.0")) == ROUNDS / 4

    run(main())


def test_a_few_peers_of_other_domains_get_all_news():
    async def main():
        exchange, _, line = make_exchange(near=1, far=2)
        for _ in range(ROUNDS):
            exchange.send()
        assert len(line.list_for("10.0.2.0")) == ROUNDS

    run(main())


def test_what_all_must_know_is_told_to_all_at_once():
    """An endpoint loses answers, and callers of other domains would meet it too."""

    async def main():
        exchange, teller, line = make_exchange(near=6, far=14)
        exchange.send()
        before = len(line.list_for("10.0.2.0"))
        exchange.send()
        assert len(line.list_for("10.0.2.0")) == before
        for change in ({"suspected": (5,)}, {"configuration": 2}, {"revisions": (9,)}):
            teller.changes |= change
            before = len(line.list_for("10.0.2.0"))
            exchange.send()
            assert len(line.list_for("10.0.2.0")) == before + 1

    run(main())


def test_peers_that_tell_seldom_aren_t_taken_for_silent():
    """Three hundred gateways tell each other once in three seconds.

    Taken for silent in between, what they have under way would count by turns.
    """

    async def main():
        exchange, _, _ = make_exchange(near=14, far=285)
        telling = asyncio.ensure_future(exchange.run())
        await asyncio.sleep(0.05)
        now = asyncio.get_running_loop().time()
        for heard in exchange._heard.values():
            heard.at = now - 3.5
        assert len(exchange.heard) == 299
        telling.cancel()

    run(main())


def test_a_peer_whose_domain_isn_t_known_gets_all_news():
    async def main():
        exchange, _, line = make_exchange(near=0, far=14)
        exchange.take_peers({"new": Peer(name="new", address=("10.0.3.1", 7))})
        for _ in range(ROUNDS):
            exchange.send()
        assert len(line.list_for("10.0.3.1")) == ROUNDS

    run(main())


def test_each_session_s_version_is_told_to_far_peers_too():
    """A session begins, and its caller moves to another domain a moment later.

    News that skip far peers must still hold what was decided since the last.
    """

    async def main():
        audiences = []
        exchange, teller, _ = make_exchange(near=6, far=14)
        make = teller.make

        def note(*, audience, **rest):
            audiences.append(audience)
            return make(audience=audience, **rest)

        exchange._make_update = note
        for _ in range(ROUNDS):
            exchange.send()
        assert audiences.count(Audience.NEAR) == ROUNDS
        assert audiences.count(Audience.FAR) == ROUNDS / 4

    run(main())


def test_a_path_says_what_the_asker_knows():
    known = KnownRevisions(configuration=7, revisions=(1, 2, 3, 4))
    assert read_path(make_path(known)) == known
    assert read_path("/beliefs") == KnownRevisions()
    assert read_path("/metrics") is None
    assert read_path("/beliefs/x.1") is None
    assert read_path("/beliefs/-1.5") is None


def test_a_peer_tells_only_what_changed():
    """An endpoint comes up, and twenty gateways ask what there is.

    With the whole configuration each time, thin links would be full of it.
    """

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            gateway = await world.start_gateway()
            await world.wait_ready()
            knowledge = gateway._store_sync
            await wait_for(lambda: all(knowledge.revisions))
            whole = knowledge.describe(KnownRevisions())
            assert whole.plan is not None
            assert [one.name for one in whole.endpoints] == ["e1"]
            known = KnownRevisions(configuration=1, revisions=knowledge.revisions)
            await world.add_engine("e2")
            await wait_for(lambda: gateway.fleet.find("e2") is not None)
            part = knowledge.describe(known)
            assert part.plan is None
            assert part.orders is None
            assert part.evacuated is None
            assert sorted(one.name for one in part.endpoints) == ["e1", "e2"]

    run(main())


def test_what_wasn_t_told_again_stays_as_it_was():
    """A gateway that the store turns away follows one kind after the other."""

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            await world.start_gateway(number=1)
            away = await world.start_gateway(number=2, objects_url="http://127.0.0.9:9")
            await wait_for(lambda: away.is_ready)
            world.configure(version=5)
            await wait_for(lambda: away.router.version == 5, seconds=2.0)
            assert away.fleet.find("e1") is not None
            world.store.put(kind=Kinds.EVACUATIONS, name="south", spec={})
            await wait_for(lambda: away.fleet.evacuated == {"south"}, seconds=3.0)
            assert away.fleet.find("e1") is not None
            assert (await world.call(number=1)).status == 200

    run(main())


def test_a_garbled_question_is_no_reason_to_stop():
    async def main():
        async with make_world() as world:
            gateway = await world.start_gateway()
            await world.wait_ready()
            for path in ("/beliefs/", "/beliefs/9.9.9.9.9.9.9", "/beliefs/..", "/"):
                status, _ = gateway._answer_inside(path)
                assert status == 200
            await asyncio.sleep(0)

    run(main())


def test_bytes_that_cross_domains_are_counted_by_kind():
    """Operators pay for them and ask which of them could be spared."""

    async def main():
        async with make_world() as world:
            await world.add_engine("far", zone="south")
            gateway = await world.start_gateway()
            await world.wait_ready()
            assert (await world.call()).status == 200
            _, page = gateway._answer_inside("/metrics")
            lines = [line for line in page.decode().splitlines() if "crossed" in line]
            assert any('kind="requests"' in line for line in lines)
            assert any('kind="answers"' in line for line in lines)

    run(main())


def test_what_is_ready_is_told_by_domain_and_at_once():
    """A stopping gateway sends callers on, and where to hangs on who is ready."""

    async def main():
        exchange, teller, line = make_exchange(near=2, far=14)
        assert exchange.readiness == Readiness(near=3, near_ready=2, far_ready=14)
        for domain, address in (("north", "10.0.1.0"), ("south", "10.0.2.0")):
            news = PeerUpdate(
                address, "life", 7, 2, 1, True, domain=domain, is_ready=False
            )
            exchange.datagram_received(msgspec.msgpack.encode(news), (address, 7))
        assert exchange.readiness == Readiness(near=3, near_ready=1, far_ready=13)
        exchange.send()
        before = len(line.list_for("10.0.2.0"))
        teller.changes = {"is_ready": False}
        exchange.send()
        assert len(line.list_for("10.0.2.0")) == before + 1

    run(main())


def test_a_stopping_gateway_tells_that_it_isnt_ready():
    """A caller is sent on to a gateway that is stopping as well."""

    async def main():
        async with make_world() as world:
            await world.add_engine("e1")
            first = await world.start_gateway()
            second = await world.start_gateway(number=2)
            await world.wait_ready()
            await world.wait_ready(1)
            await wait_for(lambda: first._news.readiness.near_ready == 1)
            stopping = asyncio.ensure_future(second.stop())
            await wait_for(lambda: first._news.readiness.near_ready == 0)
            await stopping

    run(main())
