"""The records of a ledger: its head, its pages and the lines on them."""

import itertools
from collections.abc import Iterable

import msgspec

from ..mailbox.messages import Bill
from .objects import ObjectStore, Unavailable
from .records import VersionedRecord, read_record

HEAD_KIND = "ledgers"
PAGE_KIND = "ledger-pages"

# The limit for the lines alone.  The rest of the platform's limit of one megabyte
# is room for the encoding around them.
PAGE_BYTES = 900_000


class BillLine(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """The bill of one attempt; `money` is in millionths of the money unit.

    If several attempts ran the same `step` of a request, only one is billed.
    """

    attempt: str
    request: str
    step: int
    organisation: str
    version: str
    prompt_tokens: int
    completion_tokens: int
    money: int


class Page(msgspec.Struct, kw_only=True, frozen=True):
    """Some lines of a ledger; a page never changes once written."""

    lines: tuple[BillLine, ...]


class Total(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """The totals of an organisation's attempts in one ledger.

    They are exact only once the ledger is compacted.  Before that, they are a quick
    overview: `requests` and `repeated` are zero, and the sums include repeated
    attempts.
    """

    organisation: str
    attempts: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    money: int = 0
    requests: int = 0
    repeated: int = 0


class LedgerHead(msgspec.Struct, kw_only=True, frozen=True):
    """The head of a ledger; only pages numbered below `pages` count.

    Nothing is ever added to a sealed ledger.  A compacted ledger keeps only its
    totals; its pages are removed.  `changed_at` is in seconds since the epoch.
    """

    sealed: bool = False
    compacted: bool = msgspec.field(default=False, name="folded")
    pages: int = 0
    totals: tuple[Total, ...] = ()
    changed_at: float = 0.0


def make_page_name(*, incarnation: str, number: int) -> str:
    """Return the object name of a page."""
    return f"{incarnation}/{number}"


def make_line(*, bill: Bill, money: int) -> BillLine:
    """Convert a bill into a line."""
    return BillLine(
        attempt=bill.attempt,
        request=bill.request,
        step=bill.step,
        organisation=bill.organisation,
        version=bill.version,
        prompt_tokens=bill.prompt_tokens,
        completion_tokens=bill.completion_tokens,
        money=money,
    )


def cut_page(lines: Iterable[BillLine]) -> Page:
    """Return a page of the first lines, with as many as fit."""
    lines = tuple(lines)
    sizes = (len(msgspec.msgpack.encode(line)) for line in lines)
    ends = itertools.accumulate(sizes)
    count = sum(1 for _ in itertools.takewhile(lambda end: end <= PAGE_BYTES, ends))
    return Page(lines=lines[:count])


def add_totals(totals: Iterable[Total], lines: Iterable[BillLine]) -> tuple[Total, ...]:
    """Add the lines to the totals and return these sorted by organisation."""
    sums = {total.organisation: total for total in totals}
    for line in lines:
        before = sums.get(line.organisation, Total(organisation=line.organisation))
        sums[line.organisation] = Total(
            organisation=line.organisation,
            attempts=before.attempts + 1,
            prompt_tokens=before.prompt_tokens + line.prompt_tokens,
            completion_tokens=before.completion_tokens + line.completion_tokens,
            money=before.money + line.money,
        )
    return tuple(sums[organisation] for organisation in sorted(sums))


async def read_page(
    *, store: ObjectStore, incarnation: str, number: int
) -> Page | Unavailable:
    """Return a page that a head counts; such a page was written before the head."""
    name = make_page_name(incarnation=incarnation, number=number)
    match await read_record(store=store, kind=PAGE_KIND, name=name, record=Page):
        case VersionedRecord(record=page):
            return page
        case Unavailable() as unavailable:
            return unavailable
    return Unavailable(reason=f"page {name} is missing")
