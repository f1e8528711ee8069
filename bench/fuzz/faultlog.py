"""When faults were at work, and what they excuse."""

import asyncio

import msgspec

TICK_SECONDS = 0.05
LONGEST_LAG = 0.3


class Disturbance(msgspec.Struct, kw_only=True, frozen=True):
    """A fault between two moments, with the time that its effects last.

    One that `cuts` may leave a request without its answer, if that is
    served by the entry or endpoint `where` (empty: anywhere).  One that
    `hinders` keeps news of the document from daemons.
    """

    name: str
    where: str = ""
    began: float
    ended: float
    cuts: bool = False
    hinders: bool = False


class Disturbances:
    """All faults of a run."""

    def __init__(self) -> None:
        self.all: list[Disturbance] = []

    def note(
        self,
        *,
        name: str,
        seconds: float,
        where: str = "",
        cuts: bool = False,
        hinders: bool = False,
    ) -> None:
        """Note a fault that begins now."""
        now = asyncio.get_running_loop().time()
        self.all.append(
            Disturbance(
                name=name,
                where=where,
                began=now,
                ended=now + seconds,
                cuts=cuts,
                hinders=hinders,
            )
        )

    def end_hindrance(self, *, at: float) -> None:
        """Let no fault keep news from spreading after this moment."""
        replace = msgspec.structs.replace
        ended = [
            replace(each, ended=min(each.ended, at), cuts=False)
            for each in self.all
            if each.hinders
        ]
        self.all = [replace(each, hinders=False) for each in self.all] + ended

    def may_cut(self, *, began: float, ended: float, places: frozenset[str]) -> bool:
        """Tell whether a fault may have cut a request of that time.

        `places` is where it was served; with none nobody knows.
        """
        return any(
            each.cuts
            and each.began <= ended
            and began <= each.ended
            and (not each.where or not places or each.where in places)
            for each in self.all
        )

    def find(self, *, name: str) -> list[Disturbance]:
        """Return the faults of a name."""
        return [each for each in self.all if each.name == name]

    def list_others(
        self, *, names: frozenset[str], began: float, ended: float
    ) -> list[str]:
        """Return the names of all faults of that time but these."""
        return [
            each.name
            for each in self.all
            if each.name not in names and each.began <= ended and began <= each.ended
        ]

    def find_horizon(self, *, since: float, within: float) -> float:
        """Return when a change made then must be in force everywhere.

        That is `within` seconds later, not counting the time in which
        faults kept news from spreading.
        """
        horizon = since + within
        hindering = sorted(
            (each for each in self.all if each.hinders), key=lambda each: each.began
        )
        for each in hindering:
            if each.began <= horizon and each.ended >= since:
                horizon = max(horizon, each.ended + within)
        return horizon

    async def watch_loop(self) -> None:
        """Note when the machine itself was too busy, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(TICK_SECONDS)
            lag = loop.time() - before - TICK_SECONDS
            if lag > LONGEST_LAG:
                self.all.append(
                    Disturbance(
                        name="busy machine",
                        began=before,
                        ended=loop.time() + lag,
                        cuts=True,
                        hinders=True,
                    )
                )
