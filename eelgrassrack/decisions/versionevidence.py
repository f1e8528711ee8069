"""Evidence for and against a service version on trial, from the answers of all entries.

A new version may fail, lose answers, or be slower in its first piece, its pace or the
whole answer.  Callers of a version that is taken over can't be given the old one back,
so that being taken over asks for evidence too.

The signals are the rate of bad answers, and the mean slowness of first pieces, of the
pace of the others and of whole answers: the logarithm of the time that they took
against what their size lets expect.  Lengths differ by a factor of fifty, so that a
threshold of the plain times would neither meet a slow short answer nor spare a long
one.  Each is compared with the other versions' answers of the same period.

The answers of one endpoint resemble each other: one that is slow or broken for its own
reasons is so for all of its requests.  A version is therefore judged by several of its
endpoints, and the uncertainty follows from how much these differ.
"""

import enum
import itertools
import math
from collections.abc import Callable, Iterable, Sequence

import msgspec

# Minimum number of bad answers, and of endpoints that answered, for a verdict; a
# version with fewer endpoints needs answers of all of them.
MIN_BAD_ANSWERS = 6
MIN_ENDPOINTS = 4

# From this number of bad or timed answers a single endpoint suffices, unless the
# version's other endpoints gave at least as many good ones.  Otherwise a version whose
# other endpoints get no requests would never be found bad.  The number leaves time
# before the fiftieth bad answer.
MIN_ANSWERS_ALONE = 25

# A version is bad if its rate of bad answers exceeds the others' by the margin, is at
# least this multiple of it, and can't be a run of bad luck at their rate.
RATE_MARGIN = 0.15
RATE_FACTOR = 2.0
RATE_ERRORS = 3.5
MIN_RATE = 0.01

# A version is bad if its answers take this much longer (in logarithms: 1.28 times), and
# this many standard errors beyond it.
SLOW_MARGIN = 0.25
ERRORS = 3.0

# Number of the others' latest answers below which all of theirs stand for them: once
# all requests have moved, there are none.
MIN_OTHER_ANSWERS = 20

# Minimum number of timed answers of each version for a comparison of their times.
MIN_TIMED_ANSWERS = 8

# A version is good if no signal comes near what makes it bad: bad answers by the
# standard errors, slowness at its typical endpoint.
GOOD_ERRORS = 2.0
GOOD_SLOWNESS = 0.3

# Under the full load the others' answers are of an earlier time, and the caches of the
# version are cold: only all routes together, more answers and a larger margin show it
# as bad, and the margin grows with the requests against that time.
MIN_MOVED_ANSWERS = 30
MOVED_MARGIN = 0.35
MOVED_SLOWNESS = 0.35
MOVED_ROUTE_SLOWNESS = 0.5

# A route with this number of answers is also looked at alone.
MIN_ROUTE_ANSWERS = 5
MIN_ROUTE_BAD_ANSWERS = 3

# A gateway doubts a version that has all requests if so many of its own latest answers,
# and this share of them, are bad.
MIN_LATEST_BAD = 2
LATEST_BAD_SHARE = 0.25

# Number of timed answers from which an endpoint's mean counts, and of endpoints from
# which the one with most bad answers is left out in favour of the version.
MIN_ENDPOINT_ANSWERS = 3
MIN_OTHER_ENDPOINTS = 3

# Slowness is reported in whole hundredths, which are encoded shorter than fractions.
HUNDREDTHS = 100


class TimeSums(msgspec.Struct, frozen=True, array_like=True):
    """How many answers were timed, the sum of their slowness and that of its squares.

    Both sums are in hundredths.
    """

    answers: int = 0
    slowness: int = 0
    squares: int = 0

    @classmethod
    def make(cls, slowness: float) -> "TimeSums":
        """Return the sums of one answer."""
        scaled = slowness * HUNDREDTHS
        return cls(1, round(scaled), round(scaled * slowness))

    def __add__(self, other: "TimeSums") -> "TimeSums":
        """Return the sums of the answers of both."""
        return TimeSums(
            self.answers + other.answers,
            self.slowness + other.slowness,
            self.squares + other.squares,
        )

    def __sub__(self, earlier: "TimeSums") -> "TimeSums":
        """Return the sums of the answers that are not in `earlier`.

        Answers under way count in one total and may not in a later one.
        """
        answers = self.answers - earlier.answers
        if answers <= 0:
            return NO_TIMES
        squares = max(self.squares - earlier.squares, 0)
        return TimeSums(answers, self.slowness - earlier.slowness, squares)

    @property
    def mean(self) -> float:
        """Return the mean slowness, 0 without answers."""
        return self.slowness / HUNDREDTHS / self.answers if self.answers else 0.0

    @property
    def variance(self) -> float:
        """Return the variance of the slowness, 0 without answers."""
        if not self.answers:
            return 0.0
        return max(self.squares / HUNDREDTHS / self.answers - self.mean**2, 0.0)


NO_TIMES = TimeSums()


class Tally(msgspec.Struct, frozen=True, array_like=True):
    """The answers of a version on a route at an endpoint, and how many were bad.

    `whole`, `first` and `pace` are the times of whole answers, of their first pieces,
    and from one piece to the next.
    """

    version: str
    route: str
    endpoint: str
    answers: int
    bad: int
    whole: TimeSums = NO_TIMES
    first: TimeSums = NO_TIMES
    pace: TimeSums = NO_TIMES

    @property
    def key(self) -> tuple[str, str, str]:
        """Return what the answers have in common: version, route and endpoint."""
        return (self.version, self.route, self.endpoint)

    def __add__(self, other: "Tally") -> "Tally":
        """Return the tally of the answers of both."""
        return Tally(
            *self.key,
            self.answers + other.answers,
            self.bad + other.bad,
            self.whole + other.whole,
            self.first + other.first,
            self.pace + other.pace,
        )

    def __sub__(self, earlier: "Tally") -> "Tally":
        """Return the tally of the answers that are not in `earlier`."""
        return Tally(
            *self.key,
            max(self.answers - earlier.answers, 0),
            max(self.bad - earlier.bad, 0),
            self.whole - earlier.whole,
            self.first - earlier.first,
            self.pace - earlier.pace,
        )


class Verdict(enum.Enum):
    """What the evidence says of a version."""

    OPEN = "open"
    GOOD = "good"
    BAD = "bad"


class TimeComparison(msgspec.Struct, frozen=True, kw_only=True):
    """The comparison of a version's times with the others'.

    `excess` is by how much its mean slowness exceeds theirs, `error` the standard error
    of that, `typical` the excess at the version's typical endpoint of the `endpoints`
    that have enough answers.
    """

    answers: int = 0
    endpoints: int = 0
    excess: float = 0.0
    error: float = math.inf
    typical: float = 0.0


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """The comparison of a version with the others; `route` is empty for all routes.

    `endpoints` is the number of the version's endpoints that answered.  `is_doubted`
    says that a part of the answers speaks against the version, without showing that it
    is bad.
    """

    verdict: Verdict
    route: str = ""
    signal: str = ""
    answers: int = 0
    bad: int = 0
    other_answers: int = 0
    other_bad: int = 0
    whole: TimeComparison = TimeComparison()
    first: TimeComparison = TimeComparison()
    pace: TimeComparison = TimeComparison()
    endpoints: int = 0
    is_doubted: bool = False

    @property
    def times(self) -> tuple[TimeComparison, ...]:
        """Return the comparisons of times."""
        return (self.whole, self.first, self.pace)


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """What a verdict asks for.

    `endpoints` is the number of the version's endpoints, `answers` how many of its
    answers it takes to call it good, `full_load` how many of them under the full load.
    `has_moved` says that all requests use the version, so that only its failures can be
    compared with the others' latest answers; `growth` is by how much more requests come
    to an endpoint since than before, at least 1.
    """

    endpoints: int
    answers: int = 20
    full_load: int = 12
    has_moved: bool = False
    growth: float = 1.0


def judge(
    *,
    tallies: Iterable[Tally],
    recent: Iterable[Tally],
    version: str,
    demand: Demand,
) -> Evidence:
    """Return the evidence on a version from its whole trial and from its latest time.

    A version that turns bad late has many good answers before; its latest ones alone
    show it sooner.
    """
    tallies = tuple(tallies)
    whole = _compare_all(tallies, version, demand)
    latest = _compare_all(_choose_others(tallies, recent, version), version, demand)
    if demand.has_moved:
        latest = [_leave_out_times(evidence) for evidence in latest]
    found = [
        evidence for evidence in (*whole, *latest) if evidence.verdict is Verdict.BAD
    ]
    if found:
        return found[0]
    if any(_is_doubtful(evidence, demand) for evidence in (*whole, *latest)):
        return _doubt(whole[-1])
    return whole[-1]


def _choose_others(
    tallies: Sequence[Tally], recent: Iterable[Tally], version: str
) -> list[Tally]:
    """Return the latest tallies, with enough answers of the other versions."""
    recent = list(recent)
    latest = [row for row in recent if row.version != version]
    if sum(row.answers for row in latest) < MIN_OTHER_ANSWERS:
        latest = [row for row in tallies if row.version != version]
    return latest + [row for row in recent if row.version == version]


def _leave_out_times(evidence: Evidence) -> Evidence:
    return msgspec.structs.replace(
        evidence,
        whole=TimeComparison(),
        first=TimeComparison(),
        pace=TimeComparison(),
    )


def confirm(*, tallies: Iterable[Tally], version: str, demand: Demand) -> Evidence:
    """Return the evidence from a version's answers since it has the full load.

    `tallies` are these answers and all of the others.  A version whose trial went well
    may still be slow or fail under the load that the old one had.
    """
    *_, overall = found = _compare_all(tallies, version, demand)
    if overall.verdict is Verdict.BAD:
        return overall
    if _is_slower_moved(overall, demand):
        return msgspec.structs.replace(overall, verdict=Verdict.BAD, signal="full load")
    if any(_is_doubtful(evidence, demand) for evidence in found):
        return _doubt(overall)
    if min(overall.answers, overall.whole.answers) < demand.full_load:
        return msgspec.structs.replace(overall, verdict=Verdict.OPEN)
    if overall.bad >= MIN_ROUTE_BAD_ANSWERS and _exceeds_rate(overall):
        return _doubt(overall)
    if _takes_longer(overall, limit=MOVED_SLOWNESS):
        return _doubt(overall)
    return msgspec.structs.replace(overall, verdict=Verdict.GOOD)


def is_failing(*, answers: int, bad: int, usual: float) -> bool:
    """Return whether the few latest answers of a version speak against it.

    `usual` is the share of other versions' answers that are bad.
    """
    return bad >= MIN_LATEST_BAD and bad >= answers * (usual + LATEST_BAD_SHARE)


def _doubt(evidence: Evidence) -> Evidence:
    return msgspec.structs.replace(evidence, verdict=Verdict.OPEN, is_doubted=True)


def _compare_all(rows: Iterable[Tally], version: str, demand: Demand) -> list[Evidence]:
    """Return the evidence of each route, and last of all routes together."""
    rows = sorted(rows, key=lambda row: row.route)
    by_route = itertools.groupby(rows, key=lambda row: row.route)
    routes = [
        _compare(list(group), version, route, demand) for route, group in by_route
    ]
    return [*routes, _compare(rows, version, "", demand)]


def _compare(
    rows: Sequence[Tally], version: str, route: str, demand: Demand
) -> Evidence:
    own = [row for row in rows if row.version == version]
    others = [row for row in rows if row.version != version]
    evidence = Evidence(
        verdict=Verdict.OPEN,
        route=route,
        answers=sum(row.answers for row in own),
        bad=sum(row.bad for row in own),
        other_answers=sum(row.answers for row in others),
        other_bad=sum(row.bad for row in others),
        whole=_compare_times(own, others, lambda row: row.whole),
        first=_compare_times(own, others, lambda row: row.first),
        pace=_compare_times(own, others, lambda row: row.pace),
        endpoints=len({row.endpoint for row in own}),
    )
    signal = _find_fault(evidence, own, demand)
    if signal:
        return msgspec.structs.replace(evidence, verdict=Verdict.BAD, signal=signal)
    if _is_as_good(evidence, own, demand):
        return msgspec.structs.replace(evidence, verdict=Verdict.GOOD)
    return evidence


def _find_fault(evidence: Evidence, own: Sequence[Tally], demand: Demand) -> str:
    """Return the signal that shows a version as bad, empty if none does."""
    has_endpoints = evidence.endpoints >= min(MIN_ENDPOINTS, demand.endpoints)
    if _fails_more(evidence, own, has_endpoints=has_endpoints):
        return "failures"
    if demand.has_moved:
        return ""
    signals = ("whole answers", "first pieces", "pace")
    slow = (
        signal
        for signal, times in zip(signals, evidence.times, strict=True)
        if _is_slower(times, has_endpoints=has_endpoints)
    )
    return next(slow, "")


def _compare_times(
    own: Sequence[Tally], others: Sequence[Tally], select: Callable[[Tally], TimeSums]
) -> TimeComparison:
    theirs = sum(map(select, others), NO_TIMES)
    endpoints = _sum_endpoints(own, select)
    mine = sum(endpoints, NO_TIMES)
    if min(mine.answers, theirs.answers) < MIN_TIMED_ANSWERS:
        return TimeComparison(answers=mine.answers)
    among_answers = mine.variance / mine.answers
    groups = [(one.answers, one.mean) for one in endpoints]
    error = math.sqrt(
        theirs.variance / theirs.answers
        + max(among_answers, _find_variance_among(groups, mine.mean))
    )
    return TimeComparison(
        answers=mine.answers,
        excess=mine.mean - theirs.mean,
        error=error,
        typical=_find_typical(endpoints, mine) - theirs.mean,
        endpoints=sum(one.answers >= MIN_ENDPOINT_ANSWERS for one in endpoints),
    )


def _sum_endpoints(
    rows: Sequence[Tally], select: Callable[[Tally], TimeSums]
) -> list[TimeSums]:
    """Return the times of each endpoint."""
    ordered = sorted(rows, key=lambda row: row.endpoint)
    groups = itertools.groupby(ordered, key=lambda row: row.endpoint)
    found = (sum(map(select, group), NO_TIMES) for _, group in groups)
    return [times for times in found if times.answers]


def _find_variance_among(endpoints: Sequence[tuple[int, float]], mean: float) -> float:
    """Return the variance of the mean that follows from how endpoints differ.

    `endpoints` are the answers and the mean of each, `mean` that of all answers.
    """
    if len(endpoints) < 2:
        return 0.0
    total = sum(answers for answers, _ in endpoints)
    found = sum((answers / total * (own - mean)) ** 2 for answers, own in endpoints)
    return found * len(endpoints) / (len(endpoints) - 1)


def _find_typical(endpoints: Sequence[TimeSums], total: TimeSums) -> float:
    """Return the mean slowness of the endpoint in the middle, the lower of two."""
    known = [one.mean for one in endpoints if one.answers >= MIN_ENDPOINT_ANSWERS]
    return sorted(known)[(len(known) - 1) // 2] if known else total.mean


def _fails_more(
    evidence: Evidence, own: Sequence[Tally], *, has_endpoints: bool
) -> bool:
    """Return whether clearly more answers of the version are bad."""
    if evidence.bad < MIN_BAD_ANSWERS or not _exceeds_rate(evidence):
        return False
    if has_endpoints:
        return _fail_alike(evidence, own)
    failing = {row.endpoint for row in own if row.bad}
    others = sum(row.answers for row in own if row.endpoint not in failing)
    return evidence.bad >= MIN_ANSWERS_ALONE and others < evidence.bad


def _exceeds_rate(evidence: Evidence) -> bool:
    usual = _find_rate(evidence.other_bad, evidence.other_answers)
    rate = _find_rate(evidence.bad, evidence.answers)
    if rate < usual + RATE_MARGIN or rate < usual * RATE_FACTOR:
        return False
    likely = max(usual, MIN_RATE)
    deviation = math.sqrt(evidence.answers * likely * (1.0 - min(likely, 0.99)))
    return evidence.bad >= evidence.answers * likely + RATE_ERRORS * deviation


def _fail_alike(evidence: Evidence, own: Sequence[Tally]) -> bool:
    """Return whether the bad answers can't be blamed on some broken endpoints."""
    counts = _count_endpoints(own)
    if len({row.endpoint for row in own if row.bad}) < min(len(counts), 2):
        return False
    if len(counts) < MIN_OTHER_ENDPOINTS:
        return True
    usual = _find_rate(evidence.other_bad, evidence.other_answers)
    known = [count for count in counts if count[0] >= MIN_ENDPOINT_ANSWERS]
    if len(known) >= MIN_OTHER_ENDPOINTS and all(
        _find_rate(bad, answers) >= usual + RATE_MARGIN for answers, bad in known
    ):
        return True
    rate = _find_rate(evidence.bad, evidence.answers)
    rates = [(answers, _find_rate(bad, answers)) for answers, bad in counts]
    error = math.sqrt(_find_variance_among(rates, rate))
    return rate - usual >= ERRORS * error


def _is_slower(times: TimeComparison, *, has_endpoints: bool) -> bool:
    """Return whether the version's answers clearly take longer."""
    if not has_endpoints and times.answers < MIN_ANSWERS_ALONE:
        return False
    return times.excess >= SLOW_MARGIN + ERRORS * times.error


def _is_slower_moved(evidence: Evidence, demand: Demand) -> bool:
    """Return whether answers clearly take longer since all requests use the version."""
    margin = MOVED_MARGIN + demand.growth - 1.0
    return any(
        times.answers >= MIN_MOVED_ANSWERS
        and times.excess >= margin + ERRORS * times.error
        for times in evidence.times
    )


def _is_as_good(evidence: Evidence, own: Sequence[Tally], demand: Demand) -> bool:
    """Return whether the version is unlikely to be bad."""
    if min(evidence.answers, evidence.whole.answers) < demand.answers:
        return False
    if _takes_longer(evidence, limit=GOOD_SLOWNESS):
        return False
    usual = _find_rate(evidence.other_bad, evidence.other_answers)
    answers, bad = _leave_out_worst(own)
    highest = bad + GOOD_ERRORS * math.sqrt(bad + 1)
    return not bad or highest <= answers * (usual + RATE_MARGIN)


def _takes_longer(evidence: Evidence, *, limit: float) -> bool:
    """Return whether answers may take longer, in the mean or at a typical endpoint."""
    return any(
        times.typical > limit or times.excess - times.error > limit
        for times in evidence.times
    )


def _is_doubtful(evidence: Evidence, demand: Demand) -> bool:
    """Return whether a part of the answers speaks against the version."""
    if evidence.answers < MIN_ROUTE_ANSWERS:
        return False
    if evidence.bad >= MIN_ROUTE_BAD_ANSWERS and _exceeds_rate(evidence):
        return evidence.endpoints > 1
    limit = MOVED_ROUTE_SLOWNESS if demand.has_moved else GOOD_SLOWNESS
    enough = min(MIN_OTHER_ENDPOINTS, demand.endpoints)
    return any(
        times.endpoints >= max(enough, 1) and times.typical > limit + times.error
        for times in evidence.times
    )


def _count_endpoints(rows: Iterable[Tally]) -> list[tuple[int, int]]:
    """Return the answers and the bad ones of each endpoint that answered."""
    ordered = sorted(rows, key=lambda row: row.endpoint)
    groups = itertools.groupby(ordered, key=lambda row: row.endpoint)
    counts = (
        (sum(row.answers for row in found), sum(row.bad for row in found))
        for found in (list(group) for _, group in groups)
    )
    return [(answers, bad) for answers, bad in counts if answers]


def _leave_out_worst(rows: Iterable[Tally]) -> tuple[int, int]:
    """Return the answers and the bad ones, without the endpoint with most bad ones."""
    counts = sorted(_count_endpoints(rows), key=lambda count: count[1])
    if len(counts) >= MIN_OTHER_ENDPOINTS:
        counts.pop()
    return sum(answers for answers, _ in counts), sum(bad for _, bad in counts)


def _find_rate(bad: int, answers: int) -> float:
    """Return the share of bad answers, 0 if there are no answers."""
    return bad / answers if answers else 0.0
