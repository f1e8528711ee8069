"""`eelgrassrack status`: print the entries' view of endpoints and versions."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from ...statuses import EndpointStatus, EntryStatus
from ..errors import OK, UNAVAILABLE
from ..options import AsJson, RequiredEntryUrls
from ..output import print_json, print_table
from ..statuses import StatusFailure, fetch_statuses
from ..tools import Tools, make_tools


class StatusOutput(msgspec.Struct, kw_only=True, frozen=True):
    """What `status --json` prints."""

    entries: tuple[EntryStatus, ...]
    silent: tuple[StatusFailure, ...]


@cappa.command(name="status", help="Print endpoints, versions and revisions in force.")
@dataclass(kw_only=True, slots=True)
class Status:
    """Arguments of `status`."""

    entries: RequiredEntryUrls
    as_json: AsJson = False

    def __call__(self, tools: Annotated[Tools, cappa.Dep(make_tools)]) -> int:
        """Request the status of the entries and print it."""
        answers = asyncio.run(fetch_statuses(tools=tools, urls=self.entries))
        output = StatusOutput(
            entries=tuple(item for item in answers if isinstance(item, EntryStatus)),
            silent=tuple(item for item in answers if isinstance(item, StatusFailure)),
        )
        if self.as_json:
            print_json(output)
        else:
            print_statuses(output)
        return UNAVAILABLE if output.silent else OK


def print_statuses(output: StatusOutput) -> None:
    """Print tables of entries, endpoints and versions."""
    print_table(
        ("entry", "revision", "requests", "bills waiting", "problem"),
        [
            *map(_list_entry, output.entries),
            *((silent.url, "", "", "", silent.reason) for silent in output.silent),
        ],
    )
    print_table(
        (
            "endpoint",
            "domain",
            "pool",
            "serves",
            "window",
            "running",
            "queued",
            "state",
            "revision",
            "report age s",
        ),
        [_list_endpoint(endpoint) for endpoint in merge_endpoints(output)],
    )
    print_table(
        ("version", "entry", "state", "weight", "share", "why"),
        [
            (
                version.name,
                entry.name,
                version.state,
                version.planned,
                version.share,
                version.why,
            )
            for entry in output.entries
            for version in entry.versions
        ],
    )


def merge_endpoints(output: StatusOutput) -> list[EndpointStatus]:
    """Return each endpoint once, from the entry with the newest report of it."""
    freshest: dict[str, EndpointStatus] = {}
    for endpoint in (item for entry in output.entries for item in entry.endpoints):
        other = freshest.get(endpoint.name)
        if other is None or endpoint.age < other.age:
            freshest[endpoint.name] = endpoint
    return [freshest[name] for name in sorted(freshest)]


def _list_endpoint(endpoint: EndpointStatus) -> tuple[object, ...]:
    return (
        endpoint.name,
        endpoint.domain,
        endpoint.pool,
        ", ".join(endpoint.serves),
        endpoint.window,
        endpoint.running,
        endpoint.queued,
        ", ".join(_find_states(endpoint)),
        "" if endpoint.revision is None else endpoint.revision,
        endpoint.age,
    )


def _list_entry(entry: EntryStatus) -> tuple[object, ...]:
    broken = ", ".join(
        f"{promise}: broken {count} times"
        for promise, count in entry.broken_promises.items()
    )
    return entry.name, entry.revision, entry.open_requests, entry.bills_waiting, broken


def _find_states(endpoint: EndpointStatus) -> Iterator[str]:
    """Yield the states in which an endpoint can't take its full load."""
    if not endpoint.engine_up:
        yield "down"
    if endpoint.cold:
        yield "cold"
    if endpoint.leaving:
        yield "leaving"
