"""The paths of the stand-in engine beside the chat itself."""

from typing import TYPE_CHECKING

import msgspec
import tornado.web

from .records import Order

if TYPE_CHECKING:
    from .engine import Engine


class EngineHandler(tornado.web.RequestHandler):
    """Base of the handlers of the engine's side paths."""

    def initialize(self, *, engine: "Engine") -> None:
        """Keep the engine."""
        self.engine = engine

    def send(self, value: object, *, status: int = 200) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))


class HealthHandler(EngineHandler):
    """Report the engine's health, with its lag."""

    def get(self) -> None:
        """Answer with the report."""
        self.send(self.engine.report_health())


class ModelsHandler(EngineHandler):
    """List the versions that the engine serves."""

    def get(self) -> None:
        """Answer with the list in the usual shape."""
        data = [{"id": each, "object": "model"} for each in self.engine.versions]
        self.send({"object": "list", "data": data})


class OrdersHandler(EngineHandler):
    """Take orders, with or without a look at their fencing number."""

    def post(self) -> None:
        """Carry out an order or refuse an old one with 409."""
        try:
            order = msgspec.json.decode(self.request.body, type=Order)
        except msgspec.DecodeError as error:
            self.send({"error": str(error)}, status=400)
            return
        if not self.engine.take_order(order):
            self.send({"error": "old fencing number"}, status=409)
            return
        self.send({"fence": self.engine.highest_fence})
