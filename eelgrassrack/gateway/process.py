"""Runs one gateway process on the platform's store."""

import asyncio
import socket
import sys

from ..errors import UserError
from ..logs import BoundedHandler, install_bounded
from ..platform import headers
from ..platform.store import Kinds, PlatformStore
from .daemon import Gateway
from .earlystop import EarlyStop
from .settings import GatewaySettings, read_gateway_settings


def run_process(
    path: str,
    listener: socket.socket | None = None,
    early: EarlyStop | None = None,
) -> int:
    """Run with the settings at `path` until stopped; return the exit code.

    `listener` is the socket for callers if it is already open, and `early` says
    whether a stop signal has arrived in the meantime.
    """
    early = early or EarlyStop()
    try:
        settings = read_gateway_settings(path)
        handler = install_bounded(settings.log)
        asyncio.run(
            _run(settings, path=path, handler=handler, listener=listener, early=early)
        )
    except UserError as error:
        print(f"eelgrassrack: {error}", file=sys.stderr)
        return error.exit_code
    return 0


async def _run(
    settings: GatewaySettings,
    *,
    path: str,
    handler: BoundedHandler,
    listener: socket.socket | None,
    early: EarlyStop,
) -> None:
    gateway = Gateway(
        settings=settings,
        store=PlatformStore(url=settings.objects_url),
        kinds=Kinds,
        translation=headers,
        count_dropped=lambda: handler.dropped,
        read_settings=lambda: read_gateway_settings(path),
        listener=listener,
    )
    await gateway.run(early)
