"""Tests of the endpoints that an entry knows."""

import msgspec

from eelgrassrack.document.sections import Domain, DomainState, Pool, Version
from eelgrassrack.document.snapshot import Snapshot
from eelgrassrack.entry.directory import (
    GONE_AFTER_SECONDS,
    SILENT_AFTER_SECONDS,
    Directory,
    NoEndpointReason,
)
from eelgrassrack.mailbox.messages import Load
from eelgrassrack.store.instances import Instance, Role

SNAPSHOT = Snapshot(
    revision=1,
    versions={"m/1": Version(name="m/1")},
    pools={
        "p": Pool(name="p", serves=("m/1",)),
        "s": Pool(name="s", service="lookup"),
    },
    domains={"out": Domain(name="out", state=DomainState.OUT)},
)


def make_instance(name: str, *, pool: str = "p", domain: str = "in") -> Instance:
    return Instance(
        name=name,
        role=Role.ENDPOINT,
        domain=domain,
        mailbox=f"tcp://127.0.0.1:{7000 + ord(name)}",
        pool=pool,
    )


def make_directory(*instances: Instance) -> tuple[Directory, list]:
    lost: list = []
    directory = Directory(on_agent_lost=lambda agent, reason: lost.append(agent))
    directory.take_listing(instances)
    return directory, lost


def beat(directory: Directory, instance: Instance, now: float, **fields) -> None:
    load = Load(
        endpoint=instance.name,
        domain=instance.domain,
        pool=instance.pool,
        revision=1,
        window=4,
        running=0,
        queued=0,
        queued_tokens=0,
    )
    load = msgspec.structs.replace(load, **fields)
    directory.take_load(load, instance.mailbox, f"{instance.name}.1", now)


def find(
    directory: Directory, now: float, *, service: str = ""
) -> set | NoEndpointReason:
    version = "" if service else "m/1"
    found = directory.find_serving(
        snapshot=SNAPSHOT, version=version, service=service, now=now
    )
    return (
        found
        if isinstance(found, NoEndpointReason)
        else {endpoint.name for endpoint in found}
    )


def test_only_reporting_endpoints_of_the_right_pool_are_found():
    a, b, c = make_instance("a"), make_instance("b"), make_instance("c", pool="s")
    directory, _ = make_directory(a, b, c)
    assert find(directory, 0.0) is NoEndpointReason.SILENT
    beat(directory, a, 0.0)
    beat(directory, c, 0.0)
    assert find(directory, 0.0) == {"a"}
    assert find(directory, 0.0, service="lookup") == {"c"}
    assert [endpoint.name for endpoint in directory.reporting] == ["a", "c"]


def test_the_reason_for_no_endpoint_comes_from_the_whole_list():
    """The only agent that sends heartbeats is in a domain taken out of service.

    Another one is in service but silent.  The reason must be the silent
    endpoint, and not that all domains are out.
    """
    a, b = make_instance("a", domain="out"), make_instance("b")
    directory, _ = make_directory(a)
    beat(directory, a, 0.0)
    assert find(directory, 0.0) is NoEndpointReason.DOMAINS_OUT
    directory.take_listing([a, b])
    assert find(directory, 0.0) is NoEndpointReason.SILENT
    assert make_directory()[0].find_serving(
        snapshot=SNAPSHOT, version="m/1", service="", now=0.0
    ) is (NoEndpointReason.NONE_KNOWN)


def test_a_silent_agent_is_lost_until_its_next_heartbeat():
    """An agent's connection is broken for ten seconds.

    Its attempts are reported as lost once, and it gets requests again after
    its next heartbeat.
    """
    a = make_instance("a")
    directory, lost = make_directory(a)
    beat(directory, a, 0.0)
    assert find(directory, SILENT_AFTER_SECONDS + 0.1) is NoEndpointReason.SILENT
    directory.drop_silent(GONE_AFTER_SECONDS)
    assert not lost
    directory.drop_silent(GONE_AFTER_SECONDS + 0.1)
    directory.drop_silent(GONE_AFTER_SECONDS + 0.2)
    assert lost == ["a.1"]
    assert not directory.reporting
    beat(directory, a, 10.0)
    assert find(directory, 10.0) == {"a"}


def test_an_unlisted_endpoint_is_removed_once_its_agent_is_silent():
    a, b = make_instance("a"), make_instance("b")
    directory, lost = make_directory(a, b)
    beat(directory, a, 0.0)
    directory.take_listing([])
    assert [endpoint.name for endpoint in directory] == ["a"]
    assert find(directory, 0.0) is NoEndpointReason.LEAVING
    directory.drop_silent(GONE_AFTER_SECONDS + 0.1)
    assert lost == ["a.1"]
    assert not list(directory)


def test_a_resting_engine_is_chosen_only_if_all_rest():
    """Guards against requests that wait at a resting engine while another is free.

    An agent reports how long its engine wants no requests.  If all rest, agents decide
    what can wait.
    """
    a, b = make_instance("a"), make_instance("b")
    directory, _ = make_directory(a, b)
    beat(directory, a, 0.0, resting=2.0)
    beat(directory, b, 0.0)
    assert find(directory, 1.9) == {"b"}
    assert find(directory, 2.1) == {"a", "b"}
    beat(directory, b, 1.0, resting=2.0)
    assert find(directory, 1.9) == {"a", "b"}
