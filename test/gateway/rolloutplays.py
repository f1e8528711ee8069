"""Roll-outs across gateways in virtual time, without sockets.

Callers, endpoints and what gateways tell each other are modelled; the gateways' own
`Rollouts` decide.  An endpoint's answers take longer the more requests run there.
"""

import asyncio
import itertools
import random
import types
import unittest.mock
from collections import Counter

from eelgrassrack.decisions.answertimes import AnswerTimes
from eelgrassrack.decisions.versiontrial import count_on_trial, rank_on_trial
from eelgrassrack.gateway.endpoints.endpoint import Endpoint
from eelgrassrack.gateway.endpoints.endpointstate import EndpointState
from eelgrassrack.gateway.endpoints.fleet import ANY_VERSION
from eelgrassrack.gateway.peers.updatemessages import Audience, PeerUpdate
from eelgrassrack.gateway.requests.job import Delivered, Failed, Lost, NotRun
from eelgrassrack.gateway.settings import GatewaySettings
from eelgrassrack.gateway.store.storecontact import StoreContact
from eelgrassrack.gateway.store.storeobjects import RolloutOrder
from eelgrassrack.gateway.versions.attempt import VersionAttempt
from eelgrassrack.gateway.versions.rollouts import Rollouts

from .virtualtime import AdvancingLoop, AdvancingSelector

SERVICE = "models"
OLD = "v1"
NEW = "v2"
ROUTES = ("long", "short")

ALLOWED_SHARE = 0.15
SLACK = 30
ROLLBACK_SECONDS = 5.0

# Requests run for this long before the order, and after the time limit.
BEFORE_SECONDS = 3.0
AFTER_SECONDS = 8.0

# How long a gateway that stops has requests to end.
STOP_SECONDS = 0.5

# Time until an urgent update of a gateway arrives at its peers.
HURRY_SECONDS = 0.02

# The module that reads the time of day.
WALL_CLOCK = "eelgrassrack.gateway.versions.rollouts.time"

CALLER_SECONDS = 15.0
BAD_ANSWERS = 50

SETTINGS = {
    "listen": "127.0.0.1:1",
    "readiness": "127.0.0.1:2",
    "address": "127.0.0.1",
    "news_port": 1,
    "metrics_port": 2,
    "objects_url": "http://127.0.0.1:3",
    "exposure_share": ALLOWED_SHARE,
    "exposure_slack": float(SLACK),
}


class TimeSelector(AdvancingSelector):
    """Advances the clock at once, as there are no sockets to wait for."""

    def select(self, timeout=None):
        if timeout is not None and timeout > 0:
            self.now += timeout
        return ()


class TimeLoop(AdvancingLoop):
    """An event loop in virtual time that waits for no socket."""

    def __init__(self):
        self._clock = TimeSelector()
        asyncio.SelectorEventLoop.__init__(self, self._clock)


class Fault:
    """What is wrong with some answers: all fields are those of healthy ones.

    `first`, `pace` and `whole` multiply the times to the first piece, between pieces,
    and both; `fails`, `loses` and `hangs` are shares of the answers.  It applies to a
    `share` of the requests, from `begins` seconds after the order, on one `route`, and
    at endpoints where more than `above` requests run.
    """

    def __init__(self, *, share=0.5, begins=0.0, route=None, above=0, **rest):
        self.share = share
        self.begins = begins
        self.route = route
        self.above = above
        self.first = rest.pop("first", 1.0) * rest.get("whole", 1.0)
        self.pace = rest.pop("pace", 1.0) * rest.pop("whole", 1.0)
        self.fails = rest.pop("fails", False)
        self.loses = rest.pop("loses", False)
        self.hangs = rest.pop("hangs", False)
        assert not rest

    def hits(self, rng, *, elapsed, route, running):
        return (
            rng.random() < self.share
            and elapsed >= self.begins
            and self.route in (None, route)
            and running >= self.above
        )


HEALTHY = Fault(share=0.0)


class PlayedGateway:
    """A gateway's roll-outs, with the store and peers of a play."""

    def __init__(self, play, number):
        self.play = play
        self.name = f"entry-{number}"
        self.lifetime = f"{number}-{play.now}"
        self.contact = StoreContact()
        self.is_stopping = False
        self.rollouts = Rollouts(
            fleet=play,
            store=play,
            settings=GatewaySettings(name=self.name, domain="north", **SETTINGS),
            find_write_rank=lambda: number,
            count_gateways=lambda: play.gateway_count,
            contact=self.contact,
            lifetime=self.lifetime,
            is_stopping=lambda: self.is_stopping,
            tell_peers=self._tell_soon,
        )
        self.task = asyncio.create_task(self.rollouts.run())

    def _tell_soon(self):
        asyncio.get_running_loop().call_later(HURRY_SECONDS, self.tell, Audience.NEAR)

    def tell(self, audience):
        trials, pins = self.rollouts.report(audience)
        update = PeerUpdate(
            name=self.name,
            lifetime=self.lifetime,
            port=1,
            number=1,
            configuration=1,
            knows_store=True,
            trials=trials,
            pins=pins,
        )
        for peer in self.play.gateways:
            if peer is not self:
                peer.rollouts.receive_update(update)


class RolloutPlay:
    """One roll-out: `fault` is the new version's, `broken` some endpoints' own.

    `bursts` are (begin, end, factor) in seconds after the order.  `kills` are times at
    which a gateway is replaced by a new process, `stops` those at which it stops
    first.  `unseen` are the seconds between the last view without the order and the
    order, and between the order and the first view with it.  `absent` is a span without
    the store,
    `missing` a time at which the order is missing from lists, and for how long.
    `refusing_share` of the old version's endpoints refuse connections.  Requests are of
    `sessions` different ones, of none if that is 0.
    """

    def __init__(
        self,
        *,
        seed,
        fault=HEALTHY,
        rate=70.0,
        limit=15.0,
        gateways=4,
        endpoints=9,
        broken=HEALTHY,
        broken_share=0.0,
        bursts=(),
        kills=(),
        stops=(),
        unseen=(0.0, 0.0),
        absent=(0.0, 0.0),
        missing=None,
        refusing_share=0.0,
        sessions=0,
    ):
        self.rng = random.Random(seed)
        self.fault = fault
        self.rate = rate
        self.limit = limit
        self.gateway_count = gateways
        self.broken = broken
        self.bursts = bursts
        self.kills = kills
        self.stops = stops
        self.unseen = unseen
        self.absent = absent
        self.missing = missing
        self.sessions = sessions
        self.versions = {}
        self.returned_at = []
        self.order = None
        self.statuses = {}
        self.sent = Counter()
        self.running = Counter()
        self.bad = []
        self.sent_new_at = []
        names = {
            version: [f"{version}-{number}" for number in range(endpoints)]
            for version in (OLD, NEW)
        }
        self.names = names
        self.broken_names = {
            name
            for name in itertools.chain(*names.values())
            if self.rng.random() < broken_share
        }
        self.refusing = set(names[OLD][: round(refusing_share * endpoints)])

    def run(self):
        clock = types.SimpleNamespace(time=lambda: self.now)
        with (
            asyncio.Runner(loop_factory=TimeLoop) as runner,
            unittest.mock.patch(WALL_CLOCK, clock),
        ):
            runner.run(self._play())
        return self

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    @property
    def elapsed(self):
        return self.now - BEFORE_SECONDS

    def select(self, *, service, versions=ANY_VERSION):
        """Return the endpoints as the fleet does, for `Rollouts`."""
        assert service == SERVICE
        states = [
            EndpointState(endpoint=make_endpoint(name, version), now=self.now)
            for version, names in self.names.items()
            for name in names
            if versions.allows(version)
        ]
        for state in states:
            state.own_running = self.running[state.endpoint.name]
        return states

    async def write_status(self, *, service, revision, status, timeout):
        """Write a status as the store does, unless it is absent."""
        if self.absent[0] <= self.elapsed < self.absent[1]:
            await asyncio.sleep(timeout)
            return False
        await asyncio.sleep(0.01)
        assert service == SERVICE
        assert revision == self.order.revision
        self.statuses.setdefault(status.state.value, self.elapsed)
        self.order = make_order(self.limit, revision=revision + 1, status=status)
        for gateway in self.gateways:
            gateway.rollouts.apply_changes({SERVICE: self.order})
        return True

    async def _play(self):
        self.gateways = [
            PlayedGateway(self, number) for number in range(self.gateway_count)
        ]
        for gateway in self.gateways:
            gateway.rollouts.replace_all({})
        tasks = [
            asyncio.create_task(job)
            for job in (
                self._tell(0.3, Audience.NEAR),
                self._kill(),
                self._stop(),
                self._order(),
                self._hide_order(),
            )
        ]
        ends_at = BEFORE_SECONDS + self.limit + AFTER_SECONDS
        callers = set()
        while self.now < ends_at:
            factor = next(
                (x for begin, end, x in self.bursts if begin <= self.elapsed < end), 1.0
            )
            await asyncio.sleep(self.rng.expovariate(self.rate * factor))
            callers.add(asyncio.create_task(self._call()))
        tasks += [gateway.task for gateway in self.gateways]
        for task in (*tasks, *callers):
            task.cancel()
        await asyncio.gather(*tasks, *callers, return_exceptions=True)

    async def _order(self):
        await asyncio.sleep(BEFORE_SECONDS)
        before, after = self.unseen
        made_after = self.now - before
        await asyncio.sleep(after)
        self.order = make_order(self.limit)
        for gateway in self.gateways:
            gateway.rollouts.apply_changes({SERVICE: self.order}, made_after=made_after)

    async def _hide_order(self):
        if self.missing is None:
            return
        at, seconds = self.missing
        await asyncio.sleep(at + BEFORE_SECONDS)
        for gateway in self.gateways:
            gateway.rollouts.replace_all({})
        await asyncio.sleep(seconds)
        for gateway in self.gateways:
            gateway.rollouts.replace_all({SERVICE: self.order})

    async def _tell(self, seconds, audience):
        while True:
            await asyncio.sleep(seconds)
            for gateway in self.gateways:
                gateway.tell(audience)

    async def _kill(self):
        for number, at in enumerate(self.kills):
            await asyncio.sleep(at + BEFORE_SECONDS - self.now)
            self._replace(number % self.gateway_count)

    def _replace(self, index):
        self.gateways[index].task.cancel()
        self.gateways[index] = gateway = PlayedGateway(self, index)
        gateway.rollouts.replace_all({SERVICE: self.order})

    async def _stop(self):
        """Stop gateways in turn; callers go to the others meanwhile."""
        for number, at in enumerate(self.stops):
            await asyncio.sleep(at + BEFORE_SECONDS - self.now)
            index = number % self.gateway_count
            self.gateways[index].is_stopping = True
            self.gateways[index].rollouts.stop()
            await asyncio.sleep(STOP_SECONDS)
            self._replace(index)

    async def _call(self):
        taking = [gateway for gateway in self.gateways if not gateway.is_stopping]
        gateway = self.rng.choice(taking)
        route = self.rng.choice(ROUTES)
        request = f"{self.rng.random()}"
        session = f"{self.rng.randrange(self.sessions)}" if self.sessions else ""
        choice = gateway.rollouts.choose_version(
            service=SERVICE, session=session, request=request
        )
        version = self._draw_version(choice)
        self._note_version(session, version)
        names = self.names[version]
        if version == NEW and choice.share < 1.0:
            count = count_on_trial(len(names), share=choice.share)
            names = sorted(names, key=lambda n: rank_on_trial(n, slot=choice.slot))
            names = names[:count]
        names = await self._find_open(gateway.rollouts, route, version, names)
        least = min(self.running[name] for name in names)
        name = self.rng.choice([n for n in names if self.running[n] == least])
        await self._answer(gateway.rollouts, route, version, name)

    def _note_version(self, session, version):
        """Note whether a session returns from the new version to the old one."""
        if session and self.versions.get(session) == NEW and version == OLD:
            self.returned_at.append(self.elapsed)
        self.versions[session] = version

    def _draw_version(self, choice):
        """Return a version that may get a request; only an order starts the new one.

        A draw without a choice would change what the seeds play.
        """
        known = (OLD, NEW) if self.order else (OLD,)
        allowed = [version for version in known if choice.allows(version)]
        return self.rng.choice(allowed) if len(allowed) > 1 else allowed[0]

    async def _find_open(self, rollouts, route, version, names):
        """Return the endpoints that take connections, after one attempt at another."""
        if not self.refusing.intersection(names):
            return names
        name = self.rng.choice(names)
        if name in self.refusing:
            attempt = self._make_attempt(
                route, version, name, expected=0.0, is_sent=False
            )
            rollouts.begin(attempt)
            await asyncio.sleep(0.001)
            rollouts.end(attempt, NotRun(reason="refused", is_down=True))
        return [name for name in names if name not in self.refusing]

    def _make_attempt(self, route, version, name, *, expected, is_sent=True):
        return VersionAttempt(
            service=SERVICE,
            version=version,
            route=route,
            model="",
            endpoint=name,
            times=AnswerTimes(sent_at=self.now, expected=expected),
            is_sent=is_sent,
        )

    async def _answer(self, rollouts, route, version, name):
        rng = self.rng
        pieces = max(round(rng.lognormvariate(2.5 if route == "long" else 0.5, 0.7)), 1)
        reading = rng.lognormvariate(-2.5, 0.8)
        load = 1.0 + self.running[name] / 8
        found = [
            fault
            for fault in (
                self.fault if version == NEW else HEALTHY,
                self.broken if name in self.broken_names else HEALTHY,
            )
            if fault.hits(
                rng, elapsed=self.elapsed, route=route, running=self.running[name]
            )
        ]
        self._note_sent(version, bool(found))
        attempt = self._make_attempt(route, version, name, expected=reading + 0.03)
        rollouts.begin(attempt)
        self.running[name] += 1
        outcome = None
        try:
            async with asyncio.timeout(CALLER_SECONDS):
                outcome = await self._run(attempt, found, reading, pieces, load)
        except TimeoutError:
            pass
        finally:
            self.running[name] -= 1
            rollouts.end(attempt, outcome)
            if version == NEW and found and found[0] is self.fault:
                self.bad.append(self.elapsed)

    async def _run(self, attempt, found, reading, pieces, load):
        fault = found[0] if found else HEALTHY
        if fault.fails:
            await asyncio.sleep(reading)
            return Failed(head=None, body=b"")
        if fault.loses:
            await asyncio.sleep(reading)
            return Lost(reason="reset")
        if fault.hangs:
            await asyncio.sleep(CALLER_SECONDS * 2)
        spread = self.rng.lognormvariate(0.0, 0.3) * load
        await asyncio.sleep((reading + 0.03) * fault.first * spread)
        attempt.times.note_pieces(1, now=self.now)
        for _ in range(pieces - 1):
            await asyncio.sleep(0.03 * fault.pace * spread)
            attempt.times.note_pieces(1, now=self.now)
        return Delivered()

    def _note_sent(self, version, is_bad):
        if 0.0 <= self.elapsed < self.limit:
            self.sent[version] += 1
        if version == NEW:
            self.sent_new_at.append(self.elapsed)

    @property
    def exposure(self):
        """Return how many requests the new version got, and how many it may."""
        total = self.sent[OLD] + self.sent[NEW]
        return self.sent[NEW], ALLOWED_SHARE * total + SLACK

    def count_late(self):
        """Return the requests later than allowed after the bad version was met."""
        met = sorted(self.bad)
        if len(met) < BAD_ANSWERS:
            return 0
        last = met[BAD_ANSWERS - 1] + ROLLBACK_SECONDS
        return sum(at > last for at in self.sent_new_at)


def make_order(limit, *, revision=1, status=None):
    return RolloutOrder(
        service=SERVICE,
        version=NEW,
        seconds=limit,
        revision=revision,
        created=1,
        status=status,
    )


def make_endpoint(name, version):
    return Endpoint(
        name=name,
        born=1,
        service=SERVICE,
        address=("127.0.0.1", 1),
        domain="north",
        version=version,
        slots=128,
    )
