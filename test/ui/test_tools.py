"""Tests of the real tools with a server on the loopback interface."""

import asyncio

import pytest
from tornado import web
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from eelgrassrack.ui.errors import UnavailableError
from eelgrassrack.ui.tools import fetch_body, find_user


class StatusHandler(web.RequestHandler):
    """Answers `/status` with a body, `/moved` by that, and others with a failure."""

    def get(self, path):
        if path == "moved":
            self.redirect("/status")
            return
        self.set_status(200 if path == "status" else 503)
        self.finish("body")


async def fetch_from_server(path):
    sock, port = bind_unused_port()
    server = HTTPServer(web.Application([("/(.*)", StatusHandler)]))
    server.add_sockets([sock])
    try:
        return await fetch_body(f"http://127.0.0.1:{port}/{path}")
    finally:
        server.stop()
        await server.close_all_connections()


def test_fetch_body():
    assert asyncio.run(fetch_from_server("status")) == b"body"


def test_http_errors_raise_unavailable_error():
    with pytest.raises(UnavailableError, match="503"):
        asyncio.run(fetch_from_server("other"))


def test_a_refused_connection_raises_unavailable_error():
    sock, port = bind_unused_port()
    sock.close()
    with pytest.raises(UnavailableError, match=str(port)):
        asyncio.run(fetch_body(f"http://127.0.0.1:{port}/status"))


def test_find_user(monkeypatch):
    monkeypatch.setenv("LOGNAME", "ana")
    assert find_user() == "ana"


def test_a_redirect_is_followed():
    """A balancer before the entries may send operators to another address."""
    assert asyncio.run(fetch_from_server("moved")) == b"body"
