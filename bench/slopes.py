"""Measures one cost at a given size, in this process.

`python -m bench.slopes NAME SIZE` prints the figures as one JSON object.  CPU is
process time in microseconds, memory is resident memory in bytes.
"""

import asyncio
import functools
import gc
import itertools
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from eelgrassrack.decisions.candidate import Candidate
from eelgrassrack.decisions.placement import Placement
from eelgrassrack.document.facts import build_facts
from eelgrassrack.document.parser import parse_document
from eelgrassrack.document.sections import Domain, DomainState
from eelgrassrack.document.snapshot import Snapshot
from eelgrassrack.entry.directory import Directory, EndpointRecord
from eelgrassrack.entry.peers import Peers
from eelgrassrack.mailbox.codec import decode_batch, encode_batch
from eelgrassrack.mailbox.messages import AnyMessage, Bill, Load, MessageBatch, Presence
from eelgrassrack.mailbox.socket import Mailbox
from eelgrassrack.standins.objects import ObjectTable, TableStore
from eelgrassrack.store.head import DocumentHead, HeadState
from eelgrassrack.store.instances import Instance, Listing, Role
from eelgrassrack.store.pages import cut_page, make_line

from .documents import MODEL, POOL, VERSION, make_document
from .processes import read_rss

DOMAINS = 20
MODELS = 19
ENTRIES = 380

# Endpoints whose agents send heartbeats to an entry of the target size: those that it
# is a parent of and those that it works with.
REPORTING_ENDPOINTS = 136
ROUNDS = 300
REVISIONS = 20


def time_call(call: Callable[[], object], *, rounds: int = ROUNDS) -> float:
    """Return the median CPU microseconds of a single call."""
    times = []
    for _ in range(rounds):
        start = time.process_time_ns()
        call()
        times.append(time.process_time_ns() - start)
    return sorted(times)[rounds // 2] / 1000


def read_own_rss() -> float:
    """Return this process's resident memory in bytes."""
    gc.collect()
    return read_rss(Path("/proc/self/status").read_text()) * 1024 * 1024


def make_endpoints(count: int) -> list[Instance]:
    """Return endpoints spread over all domains, with one pool for each model."""
    pools = [POOL, *(f"pool-m{number}" for number in range(1, MODELS))]
    return [
        Instance(
            name=f"endpoint-{number:05}",
            role=Role.ENDPOINT,
            domain=f"d{number % DOMAINS}",
            mailbox=f"tcp://10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000",
            pool=pools[number // DOMAINS % MODELS],
        )
        for number in range(count)
    ]


def make_entries() -> list[Instance]:
    """Return as many entries as the target size has."""
    return [
        Instance(
            name=f"entry-{number:03}",
            role=Role.ENTRY,
            domain=f"d{number % DOMAINS}",
            mailbox=f"tcp://10.200.{number >> 8}.{number & 255}:7000",
        )
        for number in range(ENTRIES)
    ]


def make_load(instance: Instance, *, revision: int = 1) -> Load:
    """Return an endpoint's heartbeat."""
    return Load(
        endpoint=instance.name,
        domain=instance.domain,
        pool=instance.pool,
        revision=revision,
        serves=(VERSION,),
        window=16,
        running=11,
        queued=2,
        queued_tokens=700,
        drain=480.5,
    )


def wrap(sender: str, incarnation: str, message: AnyMessage) -> bytes:
    """Encode a batch of one message."""
    batch = MessageBatch(address=sender, incarnation=incarnation, messages=[message])
    return encode_batch(batch)


class EntryFixture:
    """The directory and peers of an entry, whose messages are only counted.

    `endpoints` endpoints are listed, and `reporting` of them have sent a heartbeat.
    """

    def __init__(self, *, endpoints: int, reporting: int) -> None:
        self.announced = 0
        self.posts = 0
        self.bytes = 0
        self.instances = make_endpoints(endpoints)
        self.directory = Directory(on_agent_lost=lambda agent, reason: None)
        self.peers = Peers(
            name="entry-000", domain="d0", directory=self.directory, post=self._post
        )
        self.directory.take_listing(self.instances)
        rng = random.Random(1)
        for instance in rng.sample(self.instances, min(reporting, endpoints)):
            self.directory.take_load(
                make_load(instance), instance.mailbox, f"{instance.name}.1", 0.0
            )

    def _post(self, to: str, message: AnyMessage) -> None:
        self.posts += 1
        self.bytes += len(wrap(to, "entry-000.1", message))


def measure_directory(size: int) -> dict[str, float]:
    """Measure an entry's work with `size` listed endpoints."""
    fixture = EntryFixture(endpoints=size, reporting=REPORTING_ENDPOINTS)
    snapshot = parse_document(
        text=make_document(models=MODELS, domains=DOMAINS), revision=1
    )
    directory, peers = fixture.directory, fixture.peers
    presence = peers.build_presence(revision=1, ledger="entry-000.1.1")
    find = functools.partial(
        directory.find_serving, snapshot=snapshot, version=VERSION, service="", now=0.1
    )
    load = make_load(fixture.instances[0])
    data = wrap(fixture.instances[0].mailbox, "endpoint-00000.1", load)

    def take() -> None:
        batch = decode_batch(data)
        endpoint = directory.take_load(
            batch.messages[0], batch.address, batch.incarnation, 0.1
        )
        peers.refresh_facts(
            endpoint=endpoint, load=load, snapshot=snapshot, quarantined=()
        )

    return {
        "find_serving us": time_call(find),
        "take load us": time_call(take),
        "beat us": time_call(functools.partial(peers.send_heartbeats, presence)),
        "watch us": time_call(functools.partial(directory.drop_silent, 0.1)),
    }


def measure_placement(size: int) -> dict[str, float]:
    """Measure the choice of an endpoint among `size` endpoints of one pool."""
    directory = Directory(on_agent_lost=lambda agent, reason: None)
    instances = [
        msgspec.structs.replace(instance, pool=POOL)
        for instance in make_endpoints(size)
    ]
    directory.take_listing(instances)
    for instance in instances:
        load = make_load(instance)
        directory.take_load(load, instance.mailbox, f"{instance.name}.1", 0.0)
    snapshot = parse_document(
        text=make_document(models=MODELS, domains=DOMAINS), revision=1
    )
    placement = Placement(domain="d0")
    rng = random.Random(1)

    def choose() -> None:
        found = directory.find_serving(
            snapshot=snapshot, version=VERSION, service="", now=0.1
        )
        chosen = placement.choose(
            candidates=[_describe(endpoint) for endpoint in found],
            affinity=f"session-{rng.random()}",
            chances=(rng.random(), rng.random()),
            now=0.1,
        )
        placement.note_sent(endpoint=chosen.name)
        placement.note_finished(
            endpoint=chosen.name, succeeded=True, seconds=0.2, now=0.2
        )

    return {"choose us": time_call(choose)}


def _describe(endpoint: EndpointRecord) -> Candidate:
    return Candidate(
        name=endpoint.name,
        domain=endpoint.domain,
        running=endpoint.load.running,
        queued=endpoint.load.queued,
        window=endpoint.load.window,
        reported_age=0.1,
        local=endpoint.running,
    )


def measure_listing(size: int) -> dict[str, float]:
    """Measure what one change of the instance list costs a daemon."""
    instances = (*make_entries(), *make_endpoints(size))
    body = msgspec.json.encode(Listing(version=1, instances=instances))
    directory = Directory(on_agent_lost=lambda agent, reason: None)
    peers = Peers(
        name="entry-000",
        domain="d0",
        directory=directory,
        post=lambda to, message: None,
    )

    def take() -> None:
        listing = msgspec.json.decode(body, type=Listing)
        directory.take_listing(listing.instances)
        peers.take_listing(listing.instances)

    return {"take listing us": time_call(take, rounds=9), "listing bytes": len(body)}


def measure_listing_memory(size: int) -> dict[str, float]:
    """Measure the memory of a listing, of listed endpoints and of their heartbeats."""
    instances = make_endpoints(size)
    body = msgspec.json.encode(Listing(version=1, instances=tuple(instances)))
    before = read_own_rss()
    listing = msgspec.json.decode(body, type=Listing)
    decoded = read_own_rss()
    directory = Directory(on_agent_lost=lambda agent, reason: None)
    directory.take_listing(listing.instances)
    loads = [msgspec.msgpack.encode(make_load(instance)) for instance in instances]
    listed = read_own_rss()
    for instance, data in zip(instances, loads, strict=True):
        load = msgspec.msgpack.decode(data, type=Load)
        directory.take_load(load, instance.mailbox, f"{instance.name}.1", 0.0)
    reported = read_own_rss()
    return {
        "listing bytes": (decoded - before) / size,
        "known bytes": (listed - decoded - sum(map(len, loads))) / size,
        "heard bytes": (reported - listed) / size,
    }


class Announcer:
    """Announces revisions to agents that have the facts of the first one."""

    def __init__(self, fixture: EntryFixture, snapshot: Snapshot) -> None:
        self.fixture = fixture
        self.numbers = itertools.count(fixture.announced + 1)
        self.snapshot = snapshot
        self.bytes = 0
        self.calls = 0
        # The agents that have sent a heartbeat get the facts of the first revision.
        for endpoint in fixture.directory.reporting:
            fixture.peers.send_facts(
                endpoint=endpoint, snapshot=snapshot, quarantined=()
            )

    def announce(self) -> None:
        """Announce a revision that doesn't change the facts."""
        self._announce(self.snapshot)

    def announce_changed(self) -> None:
        """Announce a revision that changes the facts of every pool."""
        out = Domain(name=f"gone-{self.calls}", state=DomainState.OUT)
        domains = {**self.snapshot.domains, out.name: out}
        self._announce(msgspec.structs.replace(self.snapshot, domains=domains))

    def find_bytes(self) -> float:
        """Return the mean bytes of an announcement."""
        return self.bytes / self.calls

    def _announce(self, snapshot: Snapshot) -> None:
        number = next(self.numbers)
        before = self.fixture.bytes
        self.fixture.peers.announce(
            snapshot=msgspec.structs.replace(snapshot, revision=number), quarantined=()
        )
        self.bytes += self.fixture.bytes - before
        self.calls += 1
        self.fixture.announced = number


def measure_document(size: int) -> dict[str, float]:
    """Measure a document with `size` organisations."""
    text = make_document(organisations=size, models=MODELS, domains=DOMAINS)
    before = read_own_rss()
    snapshot: Snapshot = parse_document(text=text, revision=1)
    after = read_own_rss()
    build = functools.partial(build_facts, snapshot=snapshot, pool=POOL)
    fixture = EntryFixture(endpoints=1000, reporting=REPORTING_ENDPOINTS)

    kept = Announcer(fixture, snapshot)
    kept_us = time_call(kept.announce, rounds=9)
    changed = Announcer(fixture, snapshot)
    changed_us = time_call(changed.announce_changed, rounds=9)
    return {
        "text bytes": len(text),
        "parse us": time_call(lambda: parse_document(text=text), rounds=9),
        "facts us": time_call(build),
        "facts bytes": len(wrap("tcp://10.0.0.1:7000", "entry-000.1", build())),
        "announce kept us": kept_us,
        "announce kept bytes": kept.find_bytes(),
        "announce changed us": changed_us,
        "announce changed bytes": changed.find_bytes(),
        "snapshot bytes": after - before,
    }


async def follow_revisions(size: int) -> dict[str, float]:
    """Measure what a change by an operator costs, and how an entry follows it."""
    table = ObjectTable(clock=time.monotonic)
    operator = DocumentHead(store=TableStore(table=table, caller="operator"))
    reader = DocumentHead(store=TableStore(table=table, caller="entry"))
    text = make_document(organisations=size, models=MODELS, domains=DOMAINS)
    await operator.initialise(text=text, who="bench", now=0.0)
    state = await reader.watch(known_version=0, timeout=1.0)
    calls = table.count_calls(caller="entry")
    made = table.count_calls(caller="operator")
    times = []
    for number in range(REVISIONS):
        weight = f"weight = {2 + number}"
        text = text.replace("weight = 1\n", f"{weight}\n", 1).replace(
            f"weight = {1 + number}\n", f"{weight}\n", 1
        )
        applied = await operator.apply(
            team="all", patterns=("organisation *",), proposed=text, who="b", now=0.0
        )
        start = time.process_time_ns()
        state = await reader.watch(known_version=state.version, timeout=1.0)
        times.append((time.process_time_ns() - start) / 1000)
        assert isinstance(state, HeadState), state
        assert state.revision == applied.revision, (state.revision, applied)
    return {
        "follow us": sorted(times)[REVISIONS // 2],
        "entry calls": (table.count_calls(caller="entry") - calls) / REVISIONS,
        "operator calls": (table.count_calls(caller="operator") - made) / REVISIONS,
    }


def measure_revision(size: int) -> dict[str, float]:
    """Measure revisions of a document with `size` organisations."""
    return asyncio.run(follow_revisions(size))


async def exchange_batches(size: int) -> dict[str, float]:
    """Measure sending and receiving batches of one heartbeat, with `size` receivers."""
    loop = asyncio.get_running_loop()
    arrived = 0

    def count(batch: MessageBatch) -> None:
        nonlocal arrived
        arrived += len(batch.messages)

    receivers = [
        Mailbox(address="tcp://127.0.0.1:0", incarnation=f"r.{number}", deliver=count)
        for number in range(size)
    ]
    sender = Mailbox(
        address="tcp://127.0.0.1:0", incarnation="s.1", deliver=lambda batch: None
    )
    for mailbox in (*receivers, sender):
        mailbox.open()
    presence = Presence(entry="entry-000", domain="d0", revision=1, ledger="e.1.1")
    rounds = max(600 // size, 40)

    def post() -> None:
        for receiver in receivers:
            sender.post(to=receiver.address, message=presence)

    post()
    await asyncio.sleep(1.0)
    arrived = 0
    start, began = time.process_time_ns(), loop.time()
    for _ in range(rounds):
        post()
        await asyncio.sleep(0.02)
    while arrived < rounds * size and loop.time() < began + 20:
        await asyncio.sleep(0.01)
    spent = (time.process_time_ns() - start) / 1000
    for mailbox in (*receivers, sender):
        mailbox.close()
    return {"parcel us": spent / max(arrived, 1), "lost": rounds * size - arrived}


def measure_batches(size: int) -> dict[str, float]:
    """Measure batches between one sender and `size` receivers."""
    return asyncio.run(exchange_batches(size))


def measure_messages(unused_size: int) -> dict[str, float]:
    """Return the bytes of control messages, and the bills that fit into a page."""
    address, incarnation = "tcp://10.10.10.10:7000", "entry-000.0123456789ab"
    presence = Presence(
        entry="entry-000", domain="d0", revision=27_000, ledger=f"{incarnation}.1"
    )
    load = make_load(make_endpoints(1)[0], revision=27_000)
    lines = (make_bill_line(number) for number in itertools.count())
    page = cut_page(itertools.islice(lines, 20_000))
    return {
        "presence bytes": len(wrap(address, incarnation, presence)),
        "load bytes": len(wrap(address, "endpoint-00000.0123456789ab", load)),
        "bills a page": len(page.lines),
    }


def make_bill_line(number: int) -> object:
    """Return a ledger line as an entry writes it."""
    bill = Bill(
        attempt=f"entry-000.0123456789ab.a{number}",
        request=f"entry-000.0123456789ab.r{number}",
        ledger="entry-000.0123456789ab.1",
        organisation=f"organisation-{number % 400}",
        version=f"{MODEL}/2026-05",
        prompt_tokens=300,
        completion_tokens=210,
    )
    return make_line(bill=bill, money=510_000)


SLOPES = {
    "directory": measure_directory,
    "document": measure_document,
    "listing": measure_listing,
    "listing-memory": measure_listing_memory,
    "messages": measure_messages,
    "parcels": measure_batches,
    "placement": measure_placement,
    "revision": measure_revision,
}


def main(name: str, size: str) -> None:
    """Print the figures of one measurement at a size."""
    print(msgspec.json.encode(SLOPES[name](int(size))).decode())


if __name__ == "__main__":
    main(*sys.argv[1:])
