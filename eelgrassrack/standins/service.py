"""A stand-in for a plain service, which echoes requests and counts executions."""

import asyncio
import collections
import json
import secrets
from typing import NamedTuple

import tornado.web

from .notices import Notices
from .server import Standin

HEALTH_PATH = "/health"


class Execution(NamedTuple):
    """One execution and the request that it came from."""

    request: str
    method: str
    path: str
    body: str
    key: str


class PlainService(Standin):
    """A plain service; tests control it by its public attributes.

    Faults: `delay` (seconds before the effect), `answer_delay` (seconds between
    effect and answer), `crash_after_effect`, `refuse()` and `accept()`.  `notices`
    holds what it asks of its callers.

    `effects` counts executions by the `X-Request-Id` header, which holds an attempt
    id if an agent sends the request.  `effects_by_key` counts them by the caller's
    `Idempotency-Key`.  `executions` holds each execution with its body, by which a
    test identifies the caller's request.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.delay = 0.0
        self.answer_delay = 0.0
        self.crash_after_effect = False
        self.notices = Notices()
        self.executions: list[Execution] = []
        self.effects: collections.Counter[str] = collections.Counter()
        self.effects_by_key: collections.Counter[str] = collections.Counter()
        self.incarnation = secrets.token_hex(6)
        self.running = 0
        self.max_running = 0
        app = tornado.web.Application(
            [(r"/.*", ServiceHandler, {"service": self})],
            log_function=lambda handler: None,
        )
        super().__init__(app=app)

    def accept(self) -> None:
        """Accept connections again, as a restarted process does."""
        self.incarnation = secrets.token_hex(6)
        self._server.accept()

    def execute(self, execution: Execution) -> int:
        """Record an execution and return its serial number."""
        self.effects[execution.request] += 1
        self.executions.append(execution)
        if execution.key:
            self.effects_by_key[execution.key] += 1
        return len(self.executions)

    def count_executions(self, *, body: str) -> int:
        """Return the number of executions of requests with this body."""
        return sum(each.body == body for each in self.executions)


class ServiceHandler(tornado.web.RequestHandler):
    """Counts and echoes all requests except health checks."""

    def initialize(self, *, service: PlainService) -> None:
        """Set the service; Tornado calls this for each request."""
        self.service = service
        service.notices.note(self)

    async def execute(self) -> None:
        """Handle a request with any method."""
        service = self.service
        if self.request.path == HEALTH_PATH:
            self.finish({"incarnation": service.incarnation, "cold": False})
            return
        if service.notices.turn_away(self):
            return
        service.running += 1
        service.max_running = max(service.max_running, service.running)
        try:
            await asyncio.sleep(service.delay)
            await self._answer()
        finally:
            service.running -= 1

    get = head = post = delete = patch = put = options = execute

    async def _answer(self) -> None:
        execution = Execution(
            request=self.request.headers.get("X-Request-Id", ""),
            method=self.request.method,
            path=self.request.uri,
            body=self.request.body.decode(errors="replace"),
            key=self.request.headers.get("Idempotency-Key", ""),
        )
        serial = self.service.execute(execution)
        if self.service.crash_after_effect:
            self.request.connection.stream.close()
            return
        await asyncio.sleep(self.service.answer_delay)
        echo = {
            "method": execution.method,
            "path": execution.path,
            "body": execution.body,
            "serial": serial,
        }
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(echo))
