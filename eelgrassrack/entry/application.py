"""The HTTP routes of an entry, and the handlers that need no endpoint."""

import msgspec
from tornado import web

from .answers import JSON, write_body
from .callerhandler import CallerHandler
from .core import Core
from .handlers import ChatHandler, ServiceHandler
from .refusals import CallerError
from .routes import list_names


class ModelsHandler(CallerHandler):
    """`GET /v1/models`."""

    def get(self) -> None:
        """List the names that the caller's organisation may request."""
        caller = self._identify_caller()
        if isinstance(caller, CallerError):
            self._send_error(caller)
            return
        names = list_names(
            snapshot=self.core.snapshot, organisation=caller.organisation
        )
        body = ModelList(data=[ModelEntry(id=name) for name in names])
        self._send_json(msgspec.json.encode(body))

    def _send_json(self, body: bytes) -> None:
        write_body(
            responder=self.responder,
            status=200,
            fields=[("Content-Type", JSON)],
            body=body,
        )


class ModelEntry(msgspec.Struct, kw_only=True, frozen=True):
    """One model, alias, version or cascade in the list of models."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "eelgrassrack"


class ModelList(msgspec.Struct, kw_only=True, frozen=True):
    """The list of models in the format of the OpenAI-compatible API."""

    object: str = "list"
    data: list[ModelEntry]


class StatusHandler(web.RequestHandler):
    """`GET /status`, for operators."""

    def initialize(self, *, core: Core) -> None:
        """Take the entry's core."""
        self.core = core

    def get(self) -> None:
        """Send the status of this entry as JSON."""
        self.set_header("Content-Type", JSON)
        self.finish(msgspec.json.encode(self.core.describe()))


class ReadyHandler(web.RequestHandler):
    """`GET /ready`, the readiness check of the platform's load balancer."""

    def initialize(self, *, core: Core) -> None:
        """Take the entry's core."""
        self.core = core

    def get(self) -> None:
        """Answer 200 if this entry should receive new requests."""
        refusal = self.core.find_refusal(for_balancer=True)
        self.set_status(200 if refusal is None else refusal.status)
        self.finish("ready\n" if refusal is None else f"{refusal.code}\n")


def build_application(*, core: Core) -> web.Application:
    """Return the Tornado application for callers and operators."""
    given = {"core": core}
    return web.Application(
        [
            (r"/v1/chat/completions", ChatHandler, given),
            (r"/v1/models", ModelsHandler, given),
            (r"/v1/services/([^/]+)/(.*)", ServiceHandler, given),
            (r"/status", StatusHandler, given),
            (r"/ready", ReadyHandler, given),
        ],
        default_handler_class=MissingHandler,
        default_handler_args=given,
        log_function=lambda handler: None,
    )


class MissingHandler(CallerHandler):
    """Any path without a handler."""

    def prepare(self) -> None:
        """Send a 404 with the usual error body."""
        text = f"There is nothing at {self.request.path}."
        self._refuse(CallerError(status=404, code="not_found", text=text))
