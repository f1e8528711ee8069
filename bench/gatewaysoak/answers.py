"""Checks that running and stopping gateways answered every request as they must.

All times are in seconds, on the monotonic clock.
"""

import collections
from collections.abc import Iterable

from .callers import RequestResult
from .gateways import GatewayProcess, ProcessLifetime
from .lateness import Lateness, format_wall_time

# A request is late if it is sent this long after SIGTERM or later: by then the load
# balancer has removed the gateway, which knows when its process will end.
LATE_AFTER_SIGTERM_SECONDS = 3.0
# The longest request timeout of the routes that the soak configures.
MAX_ROUTE_SECONDS = 8.0
MS_PER_SECOND = 1000.0
# How long a caller may take to notice over a slow link that the endpoint broke off.
BREAK_DETECTION_SECONDS = 0.5


class AnswerCheck:
    """Checks the requests of a seed against what happened to their gateways.

    `broken` holds, by attempt, the time at which an endpoint last broke off its
    stream, `resets` the times at which links to endpoints were reset.
    """

    def __init__(
        self,
        *,
        results: Iterable[RequestResult],
        gateways: list[GatewayProcess],
        broken: dict[str, float],
        resets: Iterable[float] = (),
        lateness: Lateness | None = None,
    ) -> None:
        self._lateness = lateness or Lateness()
        self._results = [each for each in results if each.needs_answer]
        self._broken_at = broken
        self._reset_times = list(resets)
        self._gateways = {gateway.listen: gateway for gateway in gateways}
        self._read = {
            gateway.listen: gateway.list_read_attempts() for gateway in gateways
        }
        self._started = {
            gateway.listen: gateway.list_start_times() for gateway in gateways
        }
        # Numbers of late requests by outcome.
        self.counts: collections.Counter[str] = collections.Counter()

    def list_faults(self) -> list[str]:
        """Describe requests without a proper answer and gateways that stopped late."""
        found = [f"{one.attempt}: {self._find_fault(one)}" for one in self._results]
        overdue = [
            f"{gateway.listen} went on beyond its grace, "
            f"{self._describe_overdue(lifetime)}"
            for gateway in self._gateways.values()
            for lifetime in gateway.lifetimes
            if lifetime.exceeded_grace
        ]
        return [fault for fault in found if not fault.endswith(": ")] + overdue

    def _describe_overdue(self, lifetime: ProcessLifetime) -> str:
        ended = lifetime.ended if lifetime.killed_at is None else lifetime.killed_at
        return (
            f"process begun at {format_wall_time(lifetime.began)}, SIGTERM at "
            f"{format_wall_time(lifetime.sigterm_at)}, killed "
            f"{ended - lifetime.sigterm_at:.2f} s later, ran for "
            f"{lifetime.ran_seconds:.2f} s and waited for a processor for "
            f"{lifetime.waited_seconds:.2f} s, the soak was held up for "
            f"{self._lateness.sum_within(lifetime.sigterm_at, ended):.2f} s"
        )

    def _find_fault(self, result: RequestResult) -> str:
        """Return what is wrong with how a request ended, or an empty string."""
        lifetime = self._gateways[result.gateway].find_lifetime(result.connected_at)
        is_late = result.sent_at >= lifetime.sigterm_at + LATE_AFTER_SIGTERM_SECONDS
        if is_late:
            self.counts[
                f"late {result.status if result.is_whole else 'not whole'}"
            ] += 1
        if result.is_whole or lifetime.was_disrupted(result.sent_at, result.ended_at):
            return ""
        if result.has_partial_answer:
            if (
                not is_late
                or _used_whole_timeout(result)
                or self._lost_endpoint(result)
            ):
                return ""
            return self._describe(result, lifetime, "cut in the middle")
        if result.gave_up and not self._had_started(result, lifetime):
            # On an overloaded machine a process may take longer to load than its
            # callers wait; it has neither refused the request nor closed the
            # connection.
            self.counts["given up before the start"] += 1
            return ""
        return self._describe(result, lifetime, "no answer")

    def _had_started(self, result: RequestResult, lifetime: ProcessLifetime) -> bool:
        """Return whether the process had loaded before the request ended."""
        return any(
            lifetime.began <= at <= result.ended_at
            for at in self._started[result.gateway]
        )

    def _lost_endpoint(self, result: RequestResult) -> bool:
        """Return whether the request ended because its endpoint or link broke off.

        The gateway relayed such a request because its timeout ends before the
        process does, and it has no attempt left.  A gateway that isn't stopping
        couldn't save it either.
        """
        times = [*self._reset_times, self._broken_at.get(result.attempt, 0.0)]
        return any(
            max(result.sent_at, result.ended_at - BREAK_DETECTION_SECONDS)
            <= at
            <= result.ended_at
            for at in times
        )

    def _describe(
        self, result: RequestResult, lifetime: ProcessLifetime, what: str
    ) -> str:
        was_read = (
            "read" if result.attempt in self._read[result.gateway] else "not read"
        )
        return (
            f"{what}, {result.path} at {result.gateway}, {was_read}, sent "
            f"{result.sent_at - lifetime.sigterm_at:.2f} s from SIGTERM, over after "
            f"{result.ended_at - result.sent_at:.2f} of {_find_timeout(result):.1f} s, "
            f"{'kept' if result.is_reused else 'new'} connection of "
            f"{result.sent_at - result.connected_at:.2f} s, {result.error}, sent at "
            f"{format_wall_time(result.sent_at)}, {self._describe_break(result)}, "
            "the soak was held up for "
            f"{self._lateness.sum_within(result.connected_at, result.ended_at):.2f} s"
        )

    def _describe_break(self, result: RequestResult) -> str:
        """Describe when the endpoint broke off the request, relative to its end."""
        broken_at = self._broken_at.get(result.attempt)
        if broken_at is None:
            return "not broken off by its endpoint"
        return (
            f"broken off by its endpoint {result.ended_at - broken_at:.2f} s before "
            "it was over"
        )


def _used_whole_timeout(result: RequestResult) -> bool:
    """Return whether a request lasted for its whole timeout.

    A stopping gateway relays such a stream as any other gateway does, and cuts it at
    the timeout, however far its endpoint has got.
    """
    return result.ended_at - result.sent_at >= _find_timeout(result)


def _find_timeout(result: RequestResult) -> float:
    return min(result.timeout_ms / MS_PER_SECOND, MAX_ROUTE_SECONDS)
