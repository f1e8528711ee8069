"""A small deployment for a case: free ports, a manifest, a record and the clean-up."""

import asyncio
import os
import pathlib
import socket
import sys
import tempfile
import time

from gateway import Gateway
from store import Store

HELD = 0
BROKEN = 1
NOT_RUN = 2

KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
TENANT = "hule930"


def find_ports(ip: str, count: int) -> list[int]:
    """Return free ports of a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((ip, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def make_manifest(
    routes: list[dict], services: list[dict], version: int = 7
) -> dict[str, object]:
    """Return a manifest with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


class Deployment:
    """The parts of one case, and its record."""

    def __init__(self, *, page: int = 500) -> None:
        self.store = Store(page=page)
        self.store_address = ""
        self.gateways: list[Gateway] = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self._began = time.monotonic()
        self._lines: list[str] = []

    async def start_store(self) -> None:
        """Start the store."""
        (port,) = find_ports("127.0.0.1", 1)
        await self.store.start("127.0.0.1", port)
        self.store_address = f"127.0.0.1:{port}"

    def make_gateway(
        self,
        name: str,
        ip: str,
        *,
        ports: list[int] | None = None,
        **options: object,
    ) -> Gateway:
        """Return a gateway that isn't started yet.

        Gateways that are to hear each other need the same `ports`.
        """
        gateway = Gateway(
            name=name,
            ip=ip,
            ports=ports or find_ports(ip, 4),
            store=self.store_address,
            folder=self.folder,
            **options,
        )
        self.gateways.append(gateway)
        return gateway

    async def wait_ready(self, gateway: Gateway, seconds: float = 20.0) -> None:
        """Wait until a gateway says that it is ready; raise `RuntimeError`."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(*gateway.readiness)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("a gateway didn't become ready")

    def note(self, text: str) -> None:
        """Add a line to the record, with the seconds since the start."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        self._lines.append(line)

    def close(self, record: pathlib.Path) -> None:
        """End all processes and write the record."""
        for gateway in self.gateways:
            gateway.end()
        record.write_text("\n".join(self._lines) + "\n")
        if os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways:
                print(gateway.log.read_text(), file=sys.stderr)
        self._folder.cleanup()


def run_case(play, *, folder: pathlib.Path, page: int = 500) -> None:
    """Play a case, write its record and exit with its result.

    `play` gets the deployment and returns whether the rule held.
    """

    async def run() -> int:
        deployment = Deployment(page=page)
        try:
            held = await asyncio.wait_for(play(deployment), 100.0)
            deployment.note("the rule held" if held else "the rule was broken")
            return HELD if held else BROKEN
        except Exception as error:
            deployment.note(f"the case couldn't run: {error!r}")
            return NOT_RUN
        finally:
            deployment.close(folder / "record.txt")

    sys.exit(asyncio.run(run()))
