"""An engine begins to drain while a gateway reads a list of engines in pages."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from caller import call
from deployment import HOST, Deployment, find_ports, make_manifest, run_case
from engine import Engine

SERVICE = "wuno96b"
OTHER_SERVICE = "huvo11a"
ROUTE = {
    "name": "r-q7zcd7w",
    "hostname": HOST,
    "pathPrefix": "/cufi504/",
    "routeType": "idempotent",
    "timeoutMs": 2500,
    "targetLatencyMs": 200,
    "priority": 1,
    "service": SERVICE,
    "maxAttempts": 2,
    "public": False,
}
# As in `large/keelwater-cert-large`: 48 model engines and 5 of the other service.
# Its site file lets the store list 50 in a page.
MODEL_ENGINES = 48
ENGINES = 5
PAGE = 50
# `drainMs` is 2,000 on the small sites and 4,000 on the large ones.
DRAIN_SECONDS = 4.0
# The store's answers may arrive this much later than they were given.
SLACK_SECONDS = 0.5
REQUESTS = 100
AT_ONCE = 10


async def send(deployment: Deployment, number: int) -> None:
    """Send one request."""
    attempt = f"9c41d07be2a3{number:04x}"
    (gateway,) = deployment.gateways
    answer = await call(gateway.address, attempt=attempt, path="/cufi504/fi50/2f")
    deployment.note(f"caller {attempt} sent a request and got {answer.status}")


async def play(deployment: Deployment) -> bool:
    """Return whether no request reached the engine after `drainMs`."""
    store = deployment.store
    await deployment.start_store()
    engines = [
        Engine(name=f"i-0{number}7f3a91c2", service=SERVICE)
        for number in range(ENGINES)
    ]
    leaving = engines[0]
    for engine in engines:
        await engine.start("127.0.0.1", find_ports("127.0.0.1", 1)[0])
        store.put("servers", engine.name, engine.describe())
    # They get no requests in this case.
    for number, port in enumerate(find_ports("127.0.0.1", MODEL_ENGINES)):
        model = Engine(name=f"i-9{number:02}d9e6b4", service=OTHER_SERVICE)
        model.address = ("127.0.0.1", port)
        store.put("servers", model.name, model.describe())
    services = [
        {"name": name, "healthPath": "/healthz", "maxConnections": 310}
        for name in (SERVICE, OTHER_SERVICE)
    ]
    store.put("config", "main", make_manifest([ROUTE], services))
    acknowledged: list[float] = []

    def drain(kind: str, page: int, has_more: bool) -> None:
        """Let the engine drain once the first page of the list was answered."""
        if kind == "servers" and page == 1 and has_more and not acknowledged:
            leaving.state = "draining"
            store.put("servers", leaving.name, leaving.describe())
            acknowledged.append(time.monotonic())
            deployment.note(f"the store acknowledged that {leaving.name} drains")

    if deployment.trouble:
        store.after_page = drain
    gateway = deployment.make_gateway("edge-lansing-1", "127.0.0.1")
    gateway.start()
    await deployment.wait_ready(gateway)
    deployment.note("the gateway is ready")
    # The machine is in touch `contactMs` after its start, 5 s on the large sites.
    await asyncio.sleep(5.5)
    for first in range(0, REQUESTS, AT_ONCE):
        numbers = range(first, first + AT_ONCE)
        await asyncio.gather(*(send(deployment, number) for number in numbers))
    late = 0
    for engine in engines:
        for run in engine.runs:
            since = run.at - acknowledged[0] if acknowledged else 0.0
            is_late = engine is leaving and since > DRAIN_SECONDS + SLACK_SECONDS
            late += is_late
            state = f", {since:.2f} s after it began to drain" if is_late else ""
            deployment.note(f"engine {engine.name} ran {run.attempt}{state}")
    deployment.note(f"{late} of {REQUESTS} requests reached the draining engine late")
    return not late


if __name__ == "__main__":
    run_case(play, folder=pathlib.Path(__file__).resolve().parent, page=PAGE)
