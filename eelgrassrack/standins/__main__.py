"""Runs a stand-in as a separate process.

Each process prints its addresses, one per line, and runs until SIGTERM.
"""

import asyncio
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from ..store.instances import Instance
from .engine import Engine
from .instancelist import InstanceListApi, InstanceTable
from .objectapi import ObjectApi
from .objects import ObjectTable
from .rating import RatingService
from .service import PlainService

ADDRESS = "127.0.0.1"


async def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await stopping.wait()


def announce(name: str, url: str) -> None:
    """Print the address of a stand-in."""
    print(f"{name} {url}", flush=True)


@cappa.command(help="The object API, the instance list and the rating service.")
@dataclass(kw_only=True, slots=True)
class Platform:
    """Arguments of `platform`; its three servers listen on consecutive ports."""

    port: Annotated[
        int, cappa.Arg(long=True, help="First port; 0 picks free ports.")
    ] = 0
    instances: Annotated[
        str, cappa.Arg(long=True, help="A JSON file with the initial instances.")
    ] = ""

    def __call__(self) -> int:
        """Run until stopped."""
        asyncio.run(self._serve())
        return 0

    async def _serve(self) -> None:
        table = InstanceTable()
        servers = {
            "objects": ObjectApi(table=ObjectTable(clock=time.monotonic)),
            "instances": InstanceListApi(table=table),
            "rating": RatingService(),
        }
        if self.instances:
            body = Path(self.instances).read_bytes()
            for instance in msgspec.json.decode(body, type=list[Instance]):
                table.join(instance)
        for offset, (name, server) in enumerate(servers.items()):
            await server.start(self.port + offset if self.port else 0, ADDRESS)
            announce(name, server.url)
        await wait_for_signal()
        for server in servers.values():
            await server.stop()


@cappa.command(name="engine", help="A model engine.")
@dataclass(kw_only=True, slots=True)
class EngineProcess:
    """Arguments of `engine`; it prints the requests it received when it stops."""

    versions: Annotated[
        str, cappa.Arg(long=True, help="Served versions, separated by commas.")
    ]
    port: Annotated[int, cappa.Arg(long=True, help="Port; 0 picks a free port.")] = 0
    slots: Annotated[int, cappa.Arg(long=True, help="Maximum concurrent requests.")] = (
        16
    )
    speed: Annotated[
        float, cappa.Arg(long=True, help="Tokens per second per request.")
    ] = 30.0

    def __call__(self) -> int:
        """Run until stopped."""
        asyncio.run(self._serve())
        return 0

    async def _serve(self) -> None:
        engine = Engine(
            name="engine",
            versions=self.versions.split(","),
            slots=self.slots,
            tokens_per_second=self.speed,
        )
        await engine.start(self.port, ADDRESS)
        announce("engine", engine.url)
        await wait_for_signal()
        await engine.stop()
        for record in engine.started:
            print(f"started {record.version} {record.at}", flush=True)


@cappa.command(name="service", help="A plain service.")
@dataclass(kw_only=True, slots=True)
class ServiceProcess:
    """Arguments of `service`."""

    port: Annotated[int, cappa.Arg(long=True, help="Port; 0 picks a free port.")] = 0
    delay: Annotated[
        float, cappa.Arg(long=True, help="Seconds before each answer.")
    ] = 0.0

    def __call__(self) -> int:
        """Run until stopped, then print the number of executions of each key."""
        asyncio.run(self._serve())
        return 0

    async def _serve(self) -> None:
        service = PlainService(name="service")
        service.delay = self.delay
        await service.start(self.port, ADDRESS)
        announce("service", service.url)
        await wait_for_signal()
        await service.stop()
        for key, count in service.effects_by_key.items():
            print(f"ran {key} {count}", flush=True)


@cappa.command(name="eelgrassrack.standins", help="Stand-ins for trials and tests.")
@dataclass(kw_only=True, slots=True)
class Standins:
    """The commands that run stand-ins as processes."""

    command: cappa.Subcommands[Platform | EngineProcess | ServiceProcess]


if __name__ == "__main__":
    sys.exit(cappa.invoke(Standins))
