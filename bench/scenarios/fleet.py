"""A fleet of simulated entries and endpoints, and its callers."""

import dataclasses
import functools
import itertools
import math
import pathlib
import random
from collections.abc import Callable, Sequence

from eelgrassrack.document.parser import parse_document
from eelgrassrack.document.sections import Organisation
from eelgrassrack.document.snapshot import Snapshot

from .calls import Call, Job, SendOutcome, SendRecord
from .endpoint import SECONDS_PER_TOKEN, SimulatedEndpoint
from .entry import SimulatedEntry
from .events import Timeline
from .results import Result
from .rules import Rules

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"

# The median time to read a prompt, and the log-normal spread of this time and of the
# length of answers.
PREFILL_SECONDS = 0.25
PREFILL_SPREAD = 0.4
LENGTH_SPREAD = 0.5

# Callers request this many times the tokens that the answer has.
REQUESTED_TOKENS_FACTOR = 1.3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Flow:
    """Requests of one organisation and kind that arrive as a Poisson process.

    `rate` is in requests a second, from the second `start` to `stop`.  `tokens` is
    the median length of an answer, `within` the seconds until the deadline.
    `affinity` is a prompt prefix that all requests share.
    """

    organisation: Organisation
    kind: str
    rate: float
    tokens: float
    within: float
    start: float = 0.0
    stop: float = math.inf
    resends: int = 0
    affinity: str | None = None


# The time in seconds at which to call a function with the fleet.
Change = tuple[float, Callable[["Fleet"], None]]


class Fleet:
    """Three failure domains with `per_domain` endpoints and `entries` entries each.

    `slow` holds the indices of endpoints that are `slowness` times slower, `cold`
    those of endpoints that begin cold.
    """

    def __init__(
        self,
        *,
        rules: Rules,
        seed: int,
        per_domain: int = 3,
        entries: int = 1,
        slow: Sequence[int] = (),
        slowness: float = 10.0,
        cold: Sequence[int] = (),
    ) -> None:
        self.timeline = Timeline()
        self.rules = rules
        self._rng = random.Random(seed)
        self._keys = itertools.count()
        self.records: list[SendRecord] = []
        self.attempts = 0
        self.retries = 0
        self.domains = ("a", "b", "c")
        self.endpoints = [
            SimulatedEndpoint(
                timeline=self.timeline,
                name=f"{domain}{number}",
                domain=domain,
                rules=rules,
                rng=self._rng,
                slowness=slowness if position in slow else 1.0,
                is_warm=position not in cold,
            )
            for position, (number, domain) in enumerate(
                itertools.product(range(per_domain), self.domains)
            )
        ]
        self.entries = [
            SimulatedEntry(
                timeline=self.timeline,
                domain=domain,
                endpoints=self.endpoints,
                rules=rules,
                rng=self._rng,
            )
            for domain in self.domains * entries
        ]

    @property
    def speed(self) -> float:
        """Return the tokens a second of all endpoints, without prefill times."""
        return sum(
            one.ceiling / SECONDS_PER_TOKEN / one.slowness for one in self.endpoints
        )

    def set_domain(self, domain: str, is_in: bool) -> None:
        """Take a failure domain out of service or back in."""
        for entry in self.entries:
            entry.note_domain(domain=domain, is_in=is_in)
        for one in self.endpoints:
            if one.domain == domain:
                one.bring_back() if is_in else one.take_out()

    def play(
        self,
        *,
        flows: Sequence[Flow],
        seconds: float,
        warm_up: float = 0.0,
        changes: Sequence[Change] = (),
    ) -> Result:
        """Run the flows for some seconds and return what callers received."""
        # Each flow has its own random generator, so that all rules face the same
        # calls.
        for number, flow in enumerate(flows):
            rng = random.Random(self._rng.random() + number)
            self._arrive(flow, rng, max(flow.start, 0.0), seconds)
        for time, change in changes:
            self.timeline.at(time, lambda change=change: change(self))
        self.timeline.run(until=seconds)
        mean_tokens = _find_mean_tokens(flows)
        per_answer = mean_tokens * SECONDS_PER_TOKEN
        # 1.08 is the mean of the log-normal prefill factor, exp(PREFILL_SPREAD**2 / 2).
        useful = per_answer / (per_answer + PREFILL_SECONDS * 1.08)
        return Result(
            records=self.records,
            capacity=self.speed * useful * (seconds - warm_up),
            seconds=seconds,
            warm_up=warm_up,
            attempts=self.attempts,
            retries=self.retries,
            crashes=sum(one.crashes for one in self.endpoints),
        )

    def _arrive(self, flow: Flow, rng: random.Random, start: float, end: float) -> None:
        time = start + rng.expovariate(flow.rate)
        if time >= min(flow.stop, end):
            return

        def arrive() -> None:
            self._send(self._make_call(flow, rng), is_resend=False)
            self._arrive(flow, rng, time, end)

        self.timeline.at(time, arrive)

    def _make_call(self, flow: Flow, rng: random.Random) -> Call:
        tokens = max(round(flow.tokens * rng.lognormvariate(0, LENGTH_SPREAD)), 1)
        return Call(
            key=next(self._keys),
            created_at=self.timeline.now,
            organisation=flow.organisation,
            kind=flow.kind,
            requested_tokens=max(round(tokens * REQUESTED_TOKENS_FACTOR), 1),
            tokens=tokens,
            prefill=PREFILL_SECONDS * rng.lognormvariate(0, PREFILL_SPREAD),
            within=flow.within,
            resends=flow.resends,
            affinity=flow.affinity,
        )

    def _send(self, call: Call, is_resend: bool) -> None:
        entry = self._rng.choice(self.entries)

        def on_done(job: Job, end: SendOutcome, retry_after: float) -> None:
            self._note(job, end, retry_after, is_resend)
            if end is SendOutcome.WHOLE or call.resends <= 0:
                return
            call.resends -= 1
            pause = retry_after if end is SendOutcome.REFUSED else 0.0
            self.timeline.after(pause, lambda: self._send(call, is_resend=True))

        entry.receive(call, on_done, call.within)

    def _note(
        self, job: Job, end: SendOutcome, retry_after: float, is_resend: bool
    ) -> None:
        call = job.call
        wait = None if job.started is None else job.started - job.sent
        self.attempts += job.tries
        self.retries += max(job.tries - 1, 0)
        self.records.append(
            SendRecord(
                call=call.key,
                created_at=call.created_at,
                organisation=call.organisation.name,
                kind=call.kind,
                end=end,
                sent=job.sent,
                ended=self.timeline.now,
                tokens=call.tokens,
                wait=wait,
                first=None if wait is None else wait + call.prefill,
                retry_after=retry_after,
                runs=job.runs,
                endpoint=job.endpoint,
                is_resend=is_resend,
            )
        )


@functools.cache
def read_sample(name: str) -> Snapshot:
    """Return the parsed document of one of the users' samples in `examples`."""
    path = EXAMPLES / f"{name}.ini"
    return parse_document(text=path.read_text(encoding="utf-8"), file=path.name)


def _find_mean_tokens(flows: Sequence[Flow]) -> float:
    weights = [flow.rate for flow in flows]
    factor = math.exp(LENGTH_SPREAD**2 / 2)
    total = sum(flow.rate * flow.tokens * factor for flow in flows)
    return total / max(sum(weights), 1e-9)
