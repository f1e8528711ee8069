"""One gateway process on the platform's store, from its settings to its end."""

import asyncio
import socket
import sys

from ..errors import UserError
from ..logs import BoundedHandler, install_bounded
from ..platform import headers
from ..platform.store import Kinds, PlatformStore
from .daemon import Gateway
from .settings import GatewaySettings, read_gateway_settings


def run_process(path: str, listener: socket.socket | None = None) -> int:
    """Run until stopped, under the settings at `path`; return the exit code.

    `listener` is the socket for callers, if it is open already.
    """
    try:
        settings = read_gateway_settings(path)
    except UserError as error:
        print(f"eelgrassrack: {error}", file=sys.stderr)
        return error.exit_code
    handler = install_bounded(settings.log)
    asyncio.run(_run(settings, path=path, handler=handler, listener=listener))
    return 0


async def _run(
    settings: GatewaySettings,
    *,
    path: str,
    handler: BoundedHandler,
    listener: socket.socket | None,
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
    await gateway.run()
