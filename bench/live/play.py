"""Plays one variant: starts the fleet, the load tool and the operator's commands."""

import tempfile
import time
from pathlib import Path

import msgspec

from eelgrassrack.load.report import Report

from .fleet import SLOTS, TEAM, Fleet
from .variants import (
    DOMAIN_OUT,
    IN_AT,
    OUT_AT,
    Variant,
    build_document,
    build_plan,
    build_warm_up,
)

POLL_SECONDS = 0.1
# Longest run of the load tool, which also takes time to start and read its plan.
LOAD_SECONDS = 60.0
# How long the agents' windows may take to open after the warm-up.
WARM_SECONDS = 5.0


class Change(msgspec.Struct, kw_only=True):
    """How a failure domain was taken out and brought back.

    `idle_after` is the seconds from the call of `domain out` until the domain had no
    requests, `busy_after` those from `domain in` until it had one again.
    `busy_polls` counts the polls in between that found it busy.
    """

    idle_after: float | None = None
    busy_after: float | None = None
    busy_polls: int = 0


class VariantResult(msgspec.Struct, kw_only=True, frozen=True):
    """The load tool's report, and how the failure domain was changed, if it was."""

    report: Report
    change: Change | None = None


def play(variant: Variant) -> VariantResult:
    """Play a variant on a new fleet.

    Raise `RuntimeError` if the load tool fails or an invariant was violated.
    """
    with (
        tempfile.TemporaryDirectory() as directory,
        Fleet(directory=Path(directory), document=build_document()) as fleet,
    ):
        warm_up(fleet, Path(directory))
        plan = Path(directory) / "plan.ini"
        plan.write_text(build_plan(variant))
        urls = fleet.engine_urls if variant.bypasses_router else fleet.entry_urls
        entries = [option for url in urls for option in ("--entry", url)]
        load = fleet.start("eelgrassrack", "load", str(plan), "--json", *entries)
        change = take_out(fleet) if variant.is_taken_out else None
        status, output = load.wait(LOAD_SECONDS)
        if status:
            raise RuntimeError(f"load ended with {status}: {output}")
        check_invariants(fleet)
        report = msgspec.json.decode(output, type=Report)
        return VariantResult(report=report, change=change)


def warm_up(fleet: Fleet, directory: Path) -> None:
    """Send requests until the agents' windows are fully open.

    A new agent treats its engine as cold, which would distort the first seconds of
    the scenario.  Raise `TimeoutError` if the windows stay small.
    """
    plan = directory / "warm-up.ini"
    plan.write_text(build_warm_up())
    entries = [option for url in fleet.entry_urls for option in ("--entry", url)]
    fleet.start("eelgrassrack", "load", str(plan), "--json", *entries).wait(
        LOAD_SECONDS
    )
    ends_at = time.monotonic() + WARM_SECONDS
    while time.monotonic() < ends_at:
        windows = [one.window for one in fleet.fetch_status().endpoints]
        if min(windows) >= SLOTS:
            return
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"the engines stayed cold: windows {windows}")


def take_out(fleet: Fleet) -> Change:
    """Take a failure domain out and back in, and poll its endpoints meanwhile."""
    change = Change()
    time.sleep(OUT_AT)
    out_at = time.monotonic()
    fleet.run("domain", "out", DOMAIN_OUT, "--as", TEAM)
    while (passed := time.monotonic() - out_at) < IN_AT - OUT_AT:
        busy = is_busy(fleet)
        if not busy and change.idle_after is None:
            change.idle_after = passed
        if busy and change.idle_after is not None:
            change.busy_polls += 1
        time.sleep(POLL_SECONDS)
    in_at = time.monotonic()
    fleet.run("domain", "in", DOMAIN_OUT, "--as", TEAM)
    while (passed := time.monotonic() - in_at) < LOAD_SECONDS / 4:
        if is_busy(fleet):
            change.busy_after = passed
            break
        time.sleep(POLL_SECONDS)
    return change


def is_busy(fleet: Fleet) -> bool:
    """Return whether an endpoint of the domain is running or queueing a request."""
    return any(
        endpoint.running or endpoint.queued
        for endpoint in fleet.fetch_status().endpoints
        if endpoint.domain == DOMAIN_OUT
    )


def check_invariants(fleet: Fleet) -> None:
    """Raise `RuntimeError` if the first entry has seen a violated invariant."""
    broken = fleet.fetch_status().broken_promises
    if broken:
        raise RuntimeError(f"promises were broken: {broken}")
