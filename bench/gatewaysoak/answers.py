"""What a caller must be told by a gate that stops, and which requests weren't."""

import collections
import time
from collections.abc import Iterable

from .callers import Told
from .gateways import GatewayProcess, Life
from .lateness import Lateness

# From so long after SIGTERM on a request is late: the balancer has taken the
# gate out, and the gate knows when its process ends.
LATE_SECONDS = 3.0
# The most that any route of the soak gives a request.
ROUTE_SECONDS = 8.0
MILLISECONDS = 1000.0
# In which a caller sees that its endpoint broke off, over a slow link.
BREAK_SECONDS = 0.5


class Answers:
    """The requests of a seed, judged by the lives of the gates that got them."""

    def __init__(
        self,
        *,
        told: Iterable[Told],
        gates: list[GatewayProcess],
        broken: dict[str, float],
        resets: Iterable[float] = (),
        lateness: Lateness | None = None,
    ) -> None:
        self._lateness = lateness or Lateness()
        self._told = list(told)
        # When endpoints last broke off an attempt's stream.
        self._broken = broken
        # When links to endpoints were reset.
        self._resets = list(resets)
        self._gates = {gate.listen: gate for gate in gates}
        self._read = {gate.listen: gate.list_read() for gate in gates}
        self._started = {gate.listen: gate.list_started() for gate in gates}
        # Late requests by what became of them.
        self.counts: collections.Counter[str] = collections.Counter()

    def list_faults(self) -> list[str]:
        """Return which requests weren't answered as they must be."""
        found = [f"{one.attempt}: {self._judge(one)}" for one in self._told]
        overdue = [
            f"{gate.listen} went on beyond its grace"
            for gate in self._gates.values()
            for life in gate.lives
            if life.is_overdue
        ]
        return [fault for fault in found if not fault.endswith(": ")] + overdue

    def _judge(self, told: Told) -> str:
        """Return what is wrong with how a request ended, if anything is."""
        life = self._gates[told.gate].find_life(told.connected_at)
        is_late = told.sent_at >= life.told_at + LATE_SECONDS
        if is_late:
            self.counts[f"late {told.status if told.is_whole else 'not whole'}"] += 1
        if told.is_whole or life.was_hit(told.sent_at, told.ended_at):
            return ""
        if told.has_part:
            if not is_late or _had_its_time(told) or self._was_broken(told):
                return ""
            return self._describe(told, life, "cut in the middle")
        if told.gave_up and not self._had_started(told, life):
            # On an overloaded machine a process may load for longer than its
            # callers wait; nothing has refused or closed what they sent.
            self.counts["given up before the start"] += 1
            return ""
        return self._describe(told, life, "no answer")

    def _had_started(self, told: Told, life: Life) -> bool:
        """Tell whether the process had loaded when the request was over."""
        return any(life.began <= at <= told.ended_at for at in self._started[told.gate])

    def _was_broken(self, told: Told) -> bool:
        """Tell whether the request ended because its endpoint or link broke off.

        It was relayed, as its own limit lay before the end, and no other attempt
        was left: then a gate that goes on can do nothing else either.
        """
        times = [*self._resets, self._broken.get(told.attempt, 0.0)]
        return any(
            max(told.sent_at, told.ended_at - BREAK_SECONDS) <= at <= told.ended_at
            for at in times
        )

    def _describe(self, told: Told, life: Life, what: str) -> str:
        was_read = "read" if told.attempt in self._read[told.gate] else "not read"
        return (
            f"{what}, {told.path} at {told.gate}, {was_read}, sent "
            f"{told.sent_at - life.told_at:.2f} s from SIGTERM, over after "
            f"{told.ended_at - told.sent_at:.2f} of {_find_limit(told):.1f} s, "
            f"{'kept' if told.is_kept else 'new'} connection of "
            f"{told.sent_at - told.connected_at:.2f} s, {told.error}, sent at "
            f"{_tell_time(told.sent_at)}, the soak was held up for "
            f"{self._lateness.sum_within(told.connected_at, told.ended_at):.2f} s"
        )


def _tell_time(at: float) -> str:
    """Return a steady time as that of the gates' logs."""
    return f"{time.time() - time.monotonic() + at:.3f}"


def _had_its_time(told: Told) -> bool:
    """Tell whether a request had all the time that its caller gave it.

    Such a stream is relayed as by a gate that goes on, and breaks off when its
    own time is over, wherever its endpoint is by then.
    """
    return told.ended_at - told.sent_at >= _find_limit(told)


def _find_limit(told: Told) -> float:
    return min(told.patience_ms / MILLISECONDS, ROUTE_SECONDS)
