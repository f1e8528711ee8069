"""Runs one role of a measurement: `python -m bench.roles ROLE JSON`.

A role prints one JSON object when it is ready and carries out commands from its
standard input.  It ends with the input or after `MAX_SECONDS`.

Each role imports only what it runs, because memory is measured too.  The daemons
also import the command line interface, as they do when it starts them.
"""

import asyncio
import contextlib
import gc
import io
import sys

import logbook
import msgspec

MAX_SECONDS = 150.0
ANY_LISTEN = "127.0.0.1:0"
ANY_MAILBOX = f"tcp://{ANY_LISTEN}"
PROFILE_LINES = 45


def print_object(**values: object) -> None:
    """Print one JSON object as a line."""
    print(msgspec.json.encode(values).decode(), flush=True)


async def read_lines() -> asyncio.StreamReader:
    """Return a reader of the standard input."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    return reader


async def wait_for_input_end(reader: asyncio.StreamReader) -> None:
    """Wait for the end of the input; run a profile for each `profile SECONDS` line."""
    while line := (await reader.readline()).decode().split():
        if line[0] == "profile":
            await run_profile(float(line[1]))


async def run_profile(seconds: float) -> None:
    """Profile this process for some seconds and print the most expensive functions."""
    import cProfile
    import pstats

    profile = cProfile.Profile()
    profile.enable()
    await asyncio.sleep(seconds)
    profile.disable()
    text = io.StringIO()
    pstats.Stats(profile, stream=text).sort_stats("tottime").print_stats(PROFILE_LINES)
    print_object(profile=text.getvalue())


async def run_engines(
    reader: asyncio.StreamReader, *, count: int, slots: int, speed: float, version: str
) -> None:
    """Run stand-in engines."""
    from eelgrassrack.standins.engine import Engine

    engines = [
        Engine(
            name=f"e{number}", versions=(version,), slots=slots, tokens_per_second=speed
        )
        for number in range(count)
    ]
    for number, engine in enumerate(engines):
        await engine.start()
        # Engines on separate instances don't send their tokens at the same moment.
        await asyncio.sleep(number * 0.001)
    print_object(urls=[engine.url for engine in engines])
    await wait_for_input_end(reader)


async def run_services(reader: asyncio.StreamReader) -> None:
    """Run a stand-in plain service."""
    from eelgrassrack.standins.service import PlainService

    from .documents import SERVICE

    service = PlainService(name=SERVICE)
    await service.start()
    print_object(urls=[service.url])
    await wait_for_input_end(reader)


async def run_agents(
    reader: asyncio.StreamReader, *, urls: list[str], pool: str, instances_url: str
) -> None:
    """Run an agent for each of these endpoints."""
    import eelgrassrack.ui  # noqa: F401
    from eelgrassrack.agent.agent import Agent
    from eelgrassrack.invariants import Invariants
    from eelgrassrack.settings import AgentSettings
    from eelgrassrack.store.platform import HttpInstanceList

    mailboxes = {}
    for url in urls:
        name = f"{pool}-{url.rpartition(':')[2]}"
        agent = Agent(
            settings=AgentSettings(
                name=name,
                domain="d0",
                pool=pool,
                mailbox=ANY_MAILBOX,
                endpoint_url=url,
                instances_url=instances_url,
            ),
            instances=HttpInstanceList(url=instances_url),
            invariants=Invariants(strict=False),
        )
        await agent.start()
        mailboxes[name] = agent.address
    print_object(mailboxes=mailboxes)
    await wait_for_input_end(reader)


async def run_entry(
    reader: asyncio.StreamReader, *, objects_url: str, instances_url: str
) -> None:
    """Run one entry."""
    import eelgrassrack.ui  # noqa: F401
    from eelgrassrack.entry.entry import EntryDaemon
    from eelgrassrack.invariants import Invariants
    from eelgrassrack.settings import EntrySettings
    from eelgrassrack.store.client import HttpObjectStore
    from eelgrassrack.store.platform import HttpInstanceList

    entry = EntryDaemon(
        settings=EntrySettings(
            name="entry-0",
            domain="d0",
            listen=ANY_LISTEN,
            mailbox=ANY_MAILBOX,
            objects_url=objects_url,
            instances_url=instances_url,
        ),
        store=HttpObjectStore(url=objects_url, caller="entry-0"),
        instances=HttpInstanceList(url=instances_url),
        invariants=Invariants(strict=False),
    )
    await entry.start()
    print_object(url=entry.url, mailbox=entry.address)
    await wait_for_input_end(reader)


async def run_curl_relay(reader: asyncio.StreamReader, *, urls: list[str]) -> None:
    """Run the bare tornado relay."""
    from .relays import start_curl_relay

    server = await start_curl_relay(urls)
    print_object(url=server.url)
    await wait_for_input_end(reader)


async def run_byte_relay(reader: asyncio.StreamReader, *, urls: list[str]) -> None:
    """Run the bare byte relay."""
    from .relays import start_byte_relay

    print_object(url=await start_byte_relay(urls))
    await wait_for_input_end(reader)


async def run_streams(
    reader: asyncio.StreamReader,
    *,
    targets: list[dict],
    streams: int,
    settle: float,
    seconds: float,
) -> None:
    """Open streams, count tokens for some seconds and print the result.

    Prints an object when counting begins and one when it ends.
    """
    from .clients import Tally, Target, open_streams

    print_object()
    tally = Tally()
    opened = await open_streams(
        msgspec.convert(targets, list[Target]), streams=streams, tally=tally
    )
    await asyncio.sleep(settle)
    gc.collect()
    gc.freeze()
    tally.counting = True
    print_object(begun=tally.begun)
    await asyncio.sleep(seconds)
    tally.counting = False
    find = tally.gaps.get_value_at_percentile
    print_object(
        tokens=tally.tokens,
        lost=tally.lost,
        p50=find(50) / 1000,
        p95=find(95) / 1000,
        p99=find(99) / 1000,
    )
    await reader.read()
    for stream in opened:
        stream.transport.abort()


async def run_shorts(
    reader: asyncio.StreamReader,
    *,
    targets: dict[str, dict],
    rate: float,
    seconds: float,
) -> None:
    """Send short requests to all targets in parallel; print latencies by target."""
    from .clients import Target, send_short

    print_object()
    known = {name: msgspec.convert(each, Target) for name, each in targets.items()}
    for target in known.values():
        await send_short(target, rate=rate, seconds=1.0, connections=32)
    gc.collect()
    gc.freeze()
    print_object(begun=True)
    runs = (
        send_short(target, rate=rate, seconds=seconds, connections=32)
        for target in known.values()
    )
    found = await asyncio.gather(*runs)
    print_object(
        results={
            name: {
                "failures": failures,
                "count": latencies.get_total_count(),
                "p50": latencies.get_value_at_percentile(50) / 1000,
                "p99": latencies.get_value_at_percentile(99) / 1000,
            }
            for name, (latencies, failures) in zip(known, found, strict=True)
        }
    )
    await reader.read()


ROLES = {
    "agents": run_agents,
    "byte-relay": run_byte_relay,
    "curl-relay": run_curl_relay,
    "engines": run_engines,
    "entry": run_entry,
    "services": run_services,
    "shorts": run_shorts,
    "streams": run_streams,
}


async def main(role: str, options: str) -> None:
    """Run a role until the input ends."""
    reader = await read_lines()
    job = ROLES[role](reader, **msgspec.json.decode(options))
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(job, MAX_SECONDS)


if __name__ == "__main__":
    with logbook.StderrHandler(level=logbook.WARNING):
        asyncio.run(main(*sys.argv[1:]))
