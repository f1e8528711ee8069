"""The interface to the code that knows the names of headers on the wire."""

from typing import Protocol

from .messages import Arrival, ResponseHead


class Translation(Protocol):
    """Encodes and decodes the headers of requests and responses."""

    def decode_arrival(
        self, *, method: str, target: str, pairs: object, now: float
    ) -> Arrival:
        """Return a caller's request; `now` is the event loop's time in seconds."""

    def encode_request(
        self,
        *,
        arrival: Arrival,
        endpoint: str,
        organisation: str,
        remaining: float,
        resume_after: str,
        model: str,
        priority: int | None,
    ) -> list[tuple[str, str]]:
        """Return the headers for an endpoint; `remaining` is in seconds."""

    def decode_head(self, *, status: int, reason: str, pairs: object) -> ResponseHead:
        """Return the status and headers of an endpoint's response."""
