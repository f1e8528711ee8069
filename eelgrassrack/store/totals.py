"""Totals of each organisation's bills over all ledgers."""

import collections
import itertools

import msgspec
import xxhash

from ..invariants import Invariants, Promise
from .objects import Absent, Names, ObjectStore, Unavailable
from .pages import HEAD_KIND, BillLine, LedgerHead, read_page
from .records import VersionedRecord, read_record
from .throttling import retry_throttled

# How many attempts are checked for duplicates at a time.  At 670 bytes each they take
# 330 MB, but only in the operators' command.
GROUP_ATTEMPTS = 500_000


class OrganisationBills(msgspec.Struct, kw_only=True):
    """Totals of one organisation; `money` is in millionths of the money unit.

    Each request is billed once, for one attempt at each of its steps.  `attempts`
    counts these.  `repeated` counts the attempts at steps for which another attempt
    is billed.
    """

    organisation: str
    requests: int = 0
    attempts: int = 0
    repeated: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    money: int = 0


class BillTotals(msgspec.Struct, kw_only=True, frozen=True):
    """Totals of all bills, and `doubled` attempts, of which there must be none.

    Ledgers are added up in groups to limit memory.  Duplicate attempts, steps and
    requests are recognised only within a group.  With more than one group, those
    that occur in two groups are counted in both.
    """

    organisations: tuple[OrganisationBills, ...]
    ledgers: int
    groups: int
    doubled: tuple[str, ...] = ()
    complete: bool = True


class LineSummary:
    """The lines read so far, with one line for each step of a request.

    Of several attempts at a step, the one with the lowest id is kept, so the totals
    don't depend on the order in which lines are read.
    """

    __slots__ = ("attempts", "doubled", "repeated", "steps")

    def __init__(self) -> None:
        self.attempts: set[int] = set()
        self.doubled: list[str] = []
        self.repeated: collections.Counter[str] = collections.Counter()
        self.steps: dict[tuple[str, int], BillLine] = {}

    def add(self, line: BillLine) -> None:
        """Add a line, unless its attempt was added before."""
        attempt = xxhash.xxh3_128_intdigest(line.attempt.encode())
        if attempt in self.attempts:
            self.doubled.append(line.attempt)
            return
        self.attempts.add(attempt)
        step = (line.request, line.step)
        current = self.steps.setdefault(step, line)
        if current is line:
            return
        self.repeated[line.organisation] += 1
        if line.attempt < current.attempt:
            self.steps[step] = line

    def clear(self) -> None:
        """Drop all lines, but keep the list of doubled attempts."""
        self.attempts.clear()
        self.steps.clear()

    def sum_up(self) -> tuple[OrganisationBills, ...]:
        """Return the totals of each organisation, sorted by name."""
        sums: dict[str, OrganisationBills] = {}
        requests = {line.request: line.organisation for line in self.steps.values()}
        for line in self.steps.values():
            bills = sums.setdefault(
                line.organisation, OrganisationBills(organisation=line.organisation)
            )
            bills.attempts += 1
            bills.prompt_tokens += line.prompt_tokens
            bills.completion_tokens += line.completion_tokens
            bills.money += line.money
        counts = collections.Counter(requests.values())
        for organisation, bills in sums.items():
            bills.requests = counts[organisation]
            bills.repeated = self.repeated[organisation]
        return tuple(sums[organisation] for organisation in sorted(sums))


async def read_totals(
    *, store: ObjectStore, invariants: Invariants, group_attempts: int = GROUP_ATTEMPTS
) -> BillTotals | Unavailable:
    """Add up all ledgers, and check that no attempt is billed twice."""
    names = await store.find_names(kind=HEAD_KIND, prefix="")
    if not isinstance(names, Names):
        return names
    groups = [LineSummary()]
    sums: dict[str, OrganisationBills] = {}
    for incarnation in names.names:
        if len(groups[-1].attempts) >= group_attempts:
            _add_group(sums, groups[-1])
            groups.append(LineSummary())
        failed = await _add_ledger(store, incarnation, groups[-1], sums)
        if failed:
            return failed
    _add_group(sums, groups[-1])
    doubled = tuple(itertools.chain.from_iterable(group.doubled for group in groups))
    invariants.check(Promise.BILLED_ONCE, not doubled, f"billed twice: {doubled[:5]}")
    return BillTotals(
        organisations=tuple(sums[organisation] for organisation in sorted(sums)),
        ledgers=len(names.names),
        groups=len(groups),
        doubled=doubled,
    )


def _add_group(sums: dict[str, OrganisationBills], lines: LineSummary) -> None:
    """Add a group's totals to the sums and drop its lines."""
    for bills in lines.sum_up():
        _add_bills(sums, bills)
    lines.clear()


def _add_bills(sums: dict[str, OrganisationBills], bills: OrganisationBills) -> None:
    """Add an organisation's totals to the sums."""
    total = sums.setdefault(
        bills.organisation, OrganisationBills(organisation=bills.organisation)
    )
    total.requests += bills.requests
    total.attempts += bills.attempts
    total.repeated += bills.repeated
    total.prompt_tokens += bills.prompt_tokens
    total.completion_tokens += bills.completion_tokens
    total.money += bills.money


async def _add_ledger(
    store: ObjectStore,
    incarnation: str,
    lines: LineSummary,
    sums: dict[str, OrganisationBills],
) -> Unavailable | None:
    """Add the lines of a ledger, or its totals if it is compacted."""
    head = await retry_throttled(
        lambda: read_record(
            store=store, kind=HEAD_KIND, name=incarnation, record=LedgerHead
        )
    )
    match head:
        case Unavailable():
            return head
        case Absent():
            return None
        case VersionedRecord(record=record) if record.compacted:
            for total in record.totals:
                _add_bills(sums, OrganisationBills(**msgspec.structs.asdict(total)))
            return None
        case VersionedRecord(record=record):
            pages = range(record.pages)
    return await read_lines(
        store=store, incarnation=incarnation, pages=pages, lines=lines
    )


async def read_lines(
    *, store: ObjectStore, incarnation: str, pages: range, lines: LineSummary
) -> Unavailable | None:
    """Read a ledger's pages and add their lines, one page at a time."""
    for number in pages:
        page = await retry_throttled(
            lambda number=number: read_page(
                store=store, incarnation=incarnation, number=number
            )
        )
        if isinstance(page, Unavailable):
            return page
        for line in page.lines:
            lines.add(line)
    return None
