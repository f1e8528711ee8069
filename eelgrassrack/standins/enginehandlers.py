"""Handlers of the stand-in engine for health, models and orders."""

from typing import TYPE_CHECKING

import msgspec
import tornado.web

from .records import Order

if TYPE_CHECKING:
    from .engine import Engine


class EngineHandler(tornado.web.RequestHandler):
    """Base of the handlers in this module."""

    def initialize(self, *, engine: "Engine") -> None:
        """Set the engine; Tornado calls this for each request."""
        self.engine = engine
        engine.notices.note(self)

    def send(self, value: object, *, status: int = 200) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))


class HealthHandler(EngineHandler):
    """Reports the engine's health, delayed by its `report_lag`."""

    def get(self) -> None:
        """Answer with the health report."""
        self.send(self.engine.report_health())


class ModelsHandler(EngineHandler):
    """Lists the versions that the engine serves."""

    def get(self) -> None:
        """Answer with the list in the format of the OpenAI models API."""
        data = [{"id": each, "object": "model"} for each in self.engine.versions]
        self.send({"object": "list", "data": data})


class OrdersHandler(EngineHandler):
    """Receives orders; the engine checks their fencing numbers if it is set to."""

    def post(self) -> None:
        """Execute an order, or answer 409 if its fencing number is too old."""
        try:
            order = msgspec.json.decode(self.request.body, type=Order)
        except msgspec.DecodeError as error:
            self.send({"error": str(error)}, status=400)
            return
        if not self.engine.execute_order(order):
            self.send({"error": "old fencing number"}, status=409)
            return
        self.send({"fence": self.engine.highest_fence})
