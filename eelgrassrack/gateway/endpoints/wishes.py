"""What endpoints ask of this gateway in their answers: rest, or no more requests."""

import asyncio

from ...decisions.rest import RestPeriods
from ..requests.messages import ResponseHead
from .endpoint import Endpoint
from .fleet import Fleet


class EndpointWishes:
    """Keeps which endpoints rest, and tells the fleet which leave."""

    __slots__ = ("_fleet", "_loop", "_rest")

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._loop = asyncio.get_running_loop()
        self._rest = RestPeriods()

    def note_head(self, endpoint: Endpoint, head: ResponseHead) -> None:
        """Note what an answer of an endpoint asks for."""
        if head.is_leaving:
            self._note_leaving(endpoint, head)
        if head.rest is not None:
            self._rest.note(
                lifetime=endpoint.lifetime, seconds=head.rest, now=self._loop.time()
            )

    def _note_leaving(self, endpoint: Endpoint, head: ResponseHead) -> None:
        """Note that the endpoint which sent an answer leaves.

        At a reused address that is another one than the endpoint that was meant.
        """
        if head.is_misdirected:
            state = self._fleet.find(head.sender)
            if state is None:
                return
            endpoint = state.endpoint
        self._fleet.note_leaving(endpoint)

    def is_resting(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint wants no requests for now."""
        return self._rest.is_resting(endpoint.lifetime, self._loop.time())

    def find_rest_end(self, endpoint: Endpoint) -> float:
        """Return the loop time at which an endpoint's rest ends, or ended."""
        return self._rest.find_end(endpoint.lifetime)
