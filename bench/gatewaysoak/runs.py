"""Compares what ran at the endpoints with what callers sent."""

import collections
from collections.abc import Iterable, Iterator

import msgspec

from eelgrassrack.standins.directengine import DirectEngine, RunRecord

from ..bodies import BodyCheck, Difference, make_body
from ..leaving import Leaving
from .callers import RequestResult
from .requests import METHOD


class ComparingEngine(DirectEngine):
    """An endpoint that compares each request's body, and keeps none."""

    __slots__ = ("_bodies",)

    def __init__(self, *, bodies: BodyCheck, **rest: object) -> None:
        super().__init__(**rest)
        self._bodies = bodies

    async def _read(self, *args: object) -> RunRecord | None:
        run = await super()._read(*args)
        if run is None:
            return None
        self._bodies.note(request=run.attempt, endpoint=self.name, content=run.body)
        return msgspec.structs.replace(run, body=b"")


class RunCheck:
    """Checks that only what callers sent whole has run, and has run unchanged."""

    def __init__(
        self,
        *,
        results: Iterable[RequestResult],
        runs: list[RunRecord],
        differences: list[Difference],
    ) -> None:
        self._results = {each.attempt: each for each in results}
        self._runs = runs
        self._differences = differences

    def list_faults(self) -> Iterator[str]:
        """Describe runs of what nobody sent."""
        for each in self._differences:
            kind = "the begin of it" if each.is_prefix else "other bytes"
            yield (
                f"{each.request}: {each.endpoint} got a body of {each.size} bytes, "
                f"{kind}, {self._describe(each.request)}"
            )
        for run in self._runs:
            sent = self._results.get(run.attempt)
            if sent is None:
                yield f"{run.attempt} was asked by nobody"
            elif sent.is_cut or sent.must_not_run:
                yield f"{run.attempt}: ran, {self._describe(run.attempt)}"
            elif (run.method, run.target) != (METHOD, sent.path):
                yield (
                    f"{run.attempt}: ran as {run.method} {run.target}, "
                    f"{self._describe(run.attempt)}"
                )

    def count_leavers(self) -> dict[str, int]:
        """Count the requests of callers that left, and what became of them."""
        ran = {run.attempt for run in self._runs}
        counts: collections.Counter[str] = collections.Counter()
        for each in self._results.values():
            if each.needs_answer:
                continue
            what = f"{each.leaving.value} {'early' if each.is_cut else 'after the end'}"
            if each.is_behind:
                what += ", behind the last answer"
            counts[what] += 1
            counts[f"{what}, ran"] += each.attempt in ran
            if each.leaving is Leaving.HALF_CLOSE and not each.is_behind:
                counts[f"{what}, answered"] += each.status != 0
        return dict(sorted(counts.items()))

    def _describe(self, attempt: str) -> str:
        result = self._results.get(attempt)
        if result is None:
            return "of no request"
        body = make_body(attempt)
        return (
            f"of {len(body.content)} bytes with {body.framing}, {result.path}, "
            f"the caller {result.leaving.value} "
            f"{'before' if result.is_cut else 'after'} the last byte"
            f"{', behind the last answer' if result.is_behind else ''}, "
            f"{'a later' if result.is_reused else 'the first'} request of a connection "
            f"to {result.gateway}, status {result.status}"
        )
