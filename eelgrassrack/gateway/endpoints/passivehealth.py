"""Passive health checks: what the outcomes of attempts show of endpoints.

Endpoints that fail or fall silent are avoided for a while.
"""

import asyncio

from ...decisions.suspects import SUSPICION_SECONDS
from ..requests.job import NotRun
from .endpoint import Endpoint
from .endpointstate import EndpointState
from .fleet import Fleet

# How long an endpoint is avoided after a single failure, and if it fails often.  The
# latter is about as long as it takes to find out whether it has recovered.
SHORT_AVOIDANCE_SECONDS = 0.3
LONG_AVOIDANCE_SECONDS = 3.0

# Share of failures among the latest answers from which an endpoint fails often.
HIGH_FAILURE_RATE = 0.3


class PassiveHealthCheck:
    """Learns from attempts which endpoints to avoid."""

    __slots__ = ("_fleet", "_loop")

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._loop = asyncio.get_running_loop()

    def note_answer(self, endpoint: Endpoint, *, failed: bool) -> None:
        """Learn from an answer."""
        state = self._fleet.find_state(endpoint)
        if state is None:
            return
        state.note_end(failed=failed)
        if failed:
            self._avoid(state)

    def note_not_run(self, endpoint: Endpoint, outcome: "NotRun") -> None:
        """Learn from an attempt that didn't run, though its endpoint isn't down."""
        state = self._fleet.find_state(endpoint)
        if state is None:
            return
        if outcome.is_unreachable:
            state.note_end(failed=True)
        self._avoid(state)

    def note_down(self, endpoint: Endpoint) -> None:
        """Note that an endpoint accepts no connections, other endpoints do."""
        state = self._fleet.find_state(endpoint)
        if state is not None:
            state.note_end(failed=True)
            self._avoid(state)

    def note_overdue_answer(self, endpoint: Endpoint) -> None:
        """Note that an endpoint lost an answer, or doesn't send one that is due."""
        state = self._fleet.find_state(endpoint)
        if state is not None:
            state.note_end(failed=True)
            state.suspected_until = self._loop.time() + SUSPICION_SECONDS
            self._avoid(state)

    def note_unreachable(self, endpoint: Endpoint) -> None:
        """Note that an endpoint with requests in flight is unreachable."""
        self._distrust(endpoint)

    def note_endless(self, endpoint: Endpoint) -> None:
        """Note that an endpoint sent more than a response may have.

        The next request, or the next gateway, would take in as much of it.
        """
        self._distrust(endpoint)

    def _distrust(self, endpoint: Endpoint) -> None:
        """Avoid an endpoint as one that fails often, and have peers avoid it too."""
        state = self._fleet.find_state(endpoint)
        if state is not None:
            state.failure_rate = max(state.failure_rate, HIGH_FAILURE_RATE)
            state.suspected_until = self._loop.time() + SUSPICION_SECONDS
            self._avoid(state)

    def report_suspected(self) -> tuple[int, ...]:
        """Return the hashed lifetimes that lost an answer lately, for peers."""
        now = self._loop.time()
        return tuple(state.key for state in self._fleet if now < state.suspected_until)

    def _avoid(self, state: EndpointState) -> None:
        often = state.failure_rate >= HIGH_FAILURE_RATE
        seconds = LONG_AVOIDANCE_SECONDS if often else SHORT_AVOIDANCE_SECONDS
        state.avoided_until = self._loop.time() + seconds
