"""Execution of a load plan, bounded in requests, time and concurrency."""

import asyncio
import random
import time

from .arrivals import Arrival, draw_arrivals
from .caller import DEADLINE_MARGIN_SECONDS, Call, Callers, build_body, make_unique_id
from .outcomes import (
    AttemptFailed,
    Completed,
    Outcome,
    OutcomeUnknown,
    Refused,
    Unreachable,
    find_retry_delay,
)
from .report import Report, Totals, build_report
from .tally import RequestResult, Tally, add_seconds, make_histogram
from .workload import Plan, RequestKind

# Time for the event loop to notice that the last requests have ended.
LAST_ANSWERS_SLACK_SECONDS = 5.0
UNREACHABLE = "unreachable"


async def run_plan(plan: Plan, *, entries: list[str]) -> Report:
    """Run a plan against entries and return the report."""
    run = Run(plan=plan, entries=entries)
    try:
        return await run.run()
    finally:
        run.close()


class Run:
    """One run of a plan: its callers and tallies."""

    def __init__(self, *, plan: Plan, entries: list[str]) -> None:
        self._plan = plan
        self._callers = Callers(entries=entries, most_at_once=plan.limits.most_at_once)
        self._rng = random.Random(plan.limits.seed)
        self._tool_error: BaseException | None = None
        self._lag = make_histogram()
        self._run_id = make_unique_id()
        self._most_at_once = 0
        self._seconds: dict[int, dict[RequestResult, int]] = {}
        self._tallies = {kind.name: Tally() for kind in plan.kinds}
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Close all connections."""
        self._callers.close()

    async def run(self) -> Report:
        """Send all requests, wait for their answers and return the report."""
        arrivals = draw_arrivals(plan=self._plan)
        began, cpu_began = time.monotonic(), time.process_time()
        for arrival in arrivals:
            await asyncio.sleep(max(0.0, began + arrival.at - time.monotonic()))
            self._raise_tool_error()
            self._start_request(arrival, due=began + arrival.at)
        await self._wait_for_answers()
        seconds = time.monotonic() - began
        totals = Totals(
            arrivals=len(arrivals),
            seconds=seconds,
            cpu_share=(time.process_time() - cpu_began) / seconds,
            most_at_once=self._most_at_once,
        )
        return build_report(
            plan=self._plan,
            tallies=self._tallies,
            totals=totals,
            lag=self._lag,
            seconds=self._seconds,
        )

    def _start_request(self, arrival: Arrival, *, due: float) -> None:
        """Start a request, or count it as not sent at the concurrency limit."""
        kind = arrival.kind
        second = int(arrival.at)
        add_seconds(self._lag, time.monotonic() - due)
        self._tallies[kind.name].requests += 1
        if len(self._tasks) >= self._plan.limits.most_at_once:
            self._count_result(kind, second, RequestResult.NOT_SENT)
            return
        call = self._make_call(kind, due)
        task = asyncio.create_task(self._send_until_done(call, second))
        self._tasks.add(task)
        task.add_done_callback(self._end_request)
        self._most_at_once = max(self._most_at_once, len(self._tasks))

    def _end_request(self, task: asyncio.Task[None]) -> None:
        """Remove a finished request and keep an exception of the load generator.

        Such an exception is a bug here and must end the run: counted as a
        failure of the entries, it would make their results look worse.
        """
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._tool_error = task.exception()

    def _raise_tool_error(self) -> None:
        """Raise an exception of the load generator itself, if there was one."""
        if self._tool_error is not None:
            raise self._tool_error

    async def _wait_for_answers(self) -> None:
        """Wait for the last answers; each request ends by its own deadline."""
        longest = max(kind.deadline for kind in self._plan.kinds)
        wait = longest + DEADLINE_MARGIN_SECONDS + LAST_ANSWERS_SLACK_SECONDS
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=wait)
        await self._cancel_requests()
        self._raise_tool_error()

    async def _cancel_requests(self) -> None:
        """Cancel the requests that are still in flight; they count as unknown."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_until_done(self, call: Call, second: int) -> None:
        """Send a request, with retries, until it is answered or given up."""
        tally = self._tallies[call.kind.name]
        tries = 0
        result = RequestResult.UNKNOWN
        try:
            while True:
                tries += 1
                result = RequestResult.UNKNOWN
                tally.tries += 1
                outcome = await self._callers.send(call, tally=tally)
                now = time.monotonic()
                result = record_outcome(outcome, call=call, tally=tally, now=now)
                pause = find_retry_delay(
                    outcome, kind=call.kind, tries=tries, remaining=call.ends_at - now
                )
                if pause is None:
                    return
                await asyncio.sleep(pause)
        finally:
            self._count_result(call.kind, second, result)

    def _count_result(
        self, kind: RequestKind, second: int, result: RequestResult
    ) -> None:
        self._tallies[kind.name].results[result] += 1
        counts = self._seconds.setdefault(second, dict.fromkeys(RequestResult, 0))
        counts[result] += 1

    def _make_call(self, kind: RequestKind, due: float) -> Call:
        """Return a request with a randomly drawn session and prompt size."""
        words = int(self._rng.choice(kind.prompt_words))
        number = self._rng.randrange(kind.sessions)
        in_session = self._rng.random() < kind.session_share
        unique_id = make_unique_id()
        return Call(
            kind=kind,
            due=due,
            body=build_body(kind, words=words, unique_id=unique_id),
            session=f"{self._run_id}-{kind.name}-{number}" if in_session else "",
            idempotency_key=unique_id if kind.once else "",
        )


def record_outcome(
    outcome: Outcome, *, call: Call, tally: Tally, now: float
) -> RequestResult:
    """Record the outcome of a try and return its result for the request."""
    match outcome:
        case Completed(version=version):
            tally.versions[version] += 1
            add_seconds(tally.whole, now - call.due)
            return RequestResult.IN_TIME if now <= call.ends_at else RequestResult.LATE
        case Refused(code=code, wait=wait):
            tally.add_refusal(wait)
            tally.codes[code] += 1
            return RequestResult.REFUSED
        case Unreachable():
            tally.codes[UNREACHABLE] += 1
            return RequestResult.REFUSED
        case AttemptFailed(code=code):
            tally.codes[code] += 1
            return RequestResult.BROKEN
        case OutcomeUnknown(code=code):
            tally.codes[code] += 1
    return RequestResult.UNKNOWN
