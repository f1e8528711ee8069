"""The steps of a gateway's graceful stop."""

import asyncio
import socket

import logbook
from tornado.httpserver import HTTPServer

from ..listening import stop_listening
from .requests.ingress import Ingress
from .requests.serving import RequestHandler

log = logbook.Logger("gateway")

# How long new connections may arrive after the readiness check begins to fail.  The
# balancer removes an instance after two failed checks one second apart, and
# connections take a little longer over its own links.
ROTATION_SECONDS = 2.6

# The steps of a graceful stop, as seconds before the grace period ends: every
# request is answered, the listening socket is closed, open requests are no longer
# waited for, and connections are closed.  A slow instance needs time between the
# steps to send the last bytes, and some more to exit.
ANSWER_MARGIN_SECONDS = 0.7
LISTEN_MARGIN_SECONDS = 0.5
REQUEST_MARGIN_SECONDS = 0.3
CLOSE_MARGIN_SECONDS = 0.1


async def stop_gracefully(
    *,
    handler: RequestHandler,
    ingress: Ingress,
    server: HTTPServer,
    listener: socket.socket,
    grace_seconds: float,
    signalled_at: float | None,
) -> None:
    """Leave the balancer's rotation, finish open requests and stop listening.

    `signalled_at` is the loop time of the stop signal, from which the grace period of
    `grace_seconds` counts; None means now.
    """
    log.notice("gateway: stopping, {} open", ingress.open_requests)
    loop = asyncio.get_running_loop()
    began = loop.time()
    signalled_at = began if signalled_at is None else signalled_at
    log.notice(
        "gateway: stop signal came {seconds} s ago",
        seconds=round(began - signalled_at, 3),
    )
    ends_at = signalled_at + grace_seconds
    handler.set_end(ends_at - ANSWER_MARGIN_SECONDS)
    leaves_at = min(began + ROTATION_SECONDS, ends_at - ANSWER_MARGIN_SECONDS)
    await asyncio.sleep(leaves_at - began)
    # The balancer keeps sending callers here if too few other gateways are ready.
    # Serve those requests that certainly finish in time: a closed port would cost each
    # caller one attempt.
    handler.refuse_unfinishable()
    await ingress.wait_answered(ends_at - LISTEN_MARGIN_SECONDS)
    await stop_listening(
        server,
        [listener],
        make_room=ingress.make_room,
        until=ends_at - REQUEST_MARGIN_SECONDS,
    )
    await ingress.wait_answered(ends_at - REQUEST_MARGIN_SECONDS)
    await ingress.end(ends_at - CLOSE_MARGIN_SECONDS)
    log.notice("gateway: stopped, {} cut", ingress.open_requests)
