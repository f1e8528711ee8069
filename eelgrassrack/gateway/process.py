"""Runs one gateway process on the platform's store."""

import asyncio
import sys

from ..errors import UserError
from ..logs import BoundedHandler, install_bounded
from ..platform import headers
from ..platform.store import Kinds, PlatformStore
from .daemon import Gateway
from .settings import GatewaySettings, read_gateway_settings
from .stopsignals import StopSignals


def run_process(path: str, signals: StopSignals | None = None) -> int:
    """Run with the settings at `path` until stopped; return the exit code.

    `signals` are the process's stop signals, with the socket for callers if it is
    already open.
    """
    signals = signals or StopSignals()
    try:
        settings = read_gateway_settings(path)
        handler = install_bounded(settings.log)
        asyncio.run(_run(settings, path=path, handler=handler, signals=signals))
    except UserError as error:
        print(f"eelgrassrack: {error}", file=sys.stderr)
        return error.exit_code
    return 0


async def _run(
    settings: GatewaySettings,
    *,
    path: str,
    handler: BoundedHandler,
    signals: StopSignals,
) -> None:
    gateway = Gateway(
        settings=settings,
        store=PlatformStore(url=settings.objects_url),
        kinds=Kinds,
        translation=headers,
        count_dropped=lambda: handler.dropped,
        read_settings=lambda: read_gateway_settings(path),
        listener=signals.listener,
    )
    await gateway.run(signals)
