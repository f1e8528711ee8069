"""When each fault was active, and which failures it excuses."""

import asyncio

import msgspec

LAG_CHECK_SECONDS = 0.05

# A longer lag of the event loop counts as a fault of the machine.
MAX_LAG_SECONDS = 0.3


class FaultInterval(msgspec.Struct, kw_only=True, frozen=True):
    """The time in which a fault or its after-effects may be noticed.

    `began` and `ended` are event loop times in seconds.  If `may_cut_requests` is
    true, a request that the entry or endpoint `target` serves may get no answer; an
    empty `target` stands for all of them.  If `delays_changes` is true, changes of
    the document may not reach all daemons.
    """

    name: str
    target: str = ""
    began: float
    ended: float
    may_cut_requests: bool = False
    delays_changes: bool = False


class FaultLog:
    """All faults of a run."""

    def __init__(self) -> None:
        self.all: list[FaultInterval] = []

    def record(
        self,
        *,
        name: str,
        seconds: float,
        target: str = "",
        may_cut_requests: bool = False,
        delays_changes: bool = False,
    ) -> None:
        """Record a fault that begins now and has effects for `seconds`."""
        now = asyncio.get_running_loop().time()
        self.all.append(
            FaultInterval(
                name=name,
                target=target,
                began=now,
                ended=now + seconds,
                may_cut_requests=may_cut_requests,
                delays_changes=delays_changes,
            )
        )

    def end_change_delays(self, *, at: float) -> None:
        """Record that no fault delays changes after the loop time `at`.

        The faults still excuse requests without an answer until their own end.
        """
        replace = msgspec.structs.replace
        ended = [
            replace(each, ended=min(each.ended, at), may_cut_requests=False)
            for each in self.all
            if each.delays_changes
        ]
        self.all = [replace(each, delays_changes=False) for each in self.all] + ended

    def may_have_cut(
        self, *, began: float, ended: float, daemons: frozenset[str]
    ) -> bool:
        """Return whether a fault may have cut a request between the two times.

        `daemons` are the entry and endpoints that served the request; if it is
        empty they are unknown, and a fault of any daemon counts.
        """
        return any(
            each.may_cut_requests
            and each.began <= ended
            and began <= each.ended
            and (not each.target or not daemons or each.target in daemons)
            for each in self.all
        )

    def select(self, *, name: str) -> list[FaultInterval]:
        """Return all faults with this name."""
        return [each for each in self.all if each.name == name]

    def list_other_faults(
        self, *, names: frozenset[str], began: float, ended: float
    ) -> list[str]:
        """Return the names of all faults between the two times except `names`."""
        return [
            each.name
            for each in self.all
            if each.name not in names and each.began <= ended and began <= each.ended
        ]

    def find_propagation_deadline(self, *, since: float, within: float) -> float:
        """Return the loop time at which every daemon must apply a change.

        This is `within` seconds after the change at `since`, or after the end of
        the last fault that delayed the change.
        """
        deadline = since + within
        delaying = sorted(
            (each for each in self.all if each.delays_changes),
            key=lambda each: each.began,
        )
        for each in delaying:
            if each.began <= deadline and each.ended >= since:
                deadline = max(deadline, each.ended + within)
        return deadline

    async def watch_event_loop_lag(self) -> None:
        """Record the times when the machine was too busy, until cancelled.

        A busy machine delays heartbeats and answers just as a fault does.
        """
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(LAG_CHECK_SECONDS)
            lag = loop.time() - before - LAG_CHECK_SECONDS
            if lag > MAX_LAG_SECONDS:
                self.all.append(
                    FaultInterval(
                        name="busy machine",
                        began=before,
                        ended=loop.time() + lag,
                        may_cut_requests=True,
                        delays_changes=True,
                    )
                )
