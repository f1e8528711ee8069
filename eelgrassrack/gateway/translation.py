"""What the gateway asks of the code that knows the wire's names."""

from typing import Protocol

from .messages import Arrival, ResponseHead


class Translation(Protocol):
    """Headers of the wire."""

    def decode_arrival(
        self, *, method: str, target: str, pairs: object, now: float
    ) -> Arrival:
        """Return a caller's request."""

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
        """Return the header fields for an endpoint; `remaining` is in seconds."""

    def decode_head(self, *, status: int, reason: str, pairs: object) -> ResponseHead:
        """Return the head of an endpoint's answer."""
