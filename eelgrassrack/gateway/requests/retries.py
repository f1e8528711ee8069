"""The retry budget: counts of recent requests and retries, and reserved retries."""

import asyncio
import collections
from collections.abc import Callable

import msgspec

from ...decisions.sharedbudget import allow_retry
from ..settings import GatewaySettings
from .job import Job
from .requestlog import log_spent_budget


class RetryCounts(msgspec.Struct, frozen=True):
    """Requests and retries of one service within the window."""

    requests: int
    repeats: int


class RetryWindow:
    """Count requests and retries over a sliding window of `seconds`."""

    __slots__ = ("_repeats", "_requests", "_seconds")

    def __init__(self, *, seconds: float) -> None:
        self._seconds = seconds
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)

    def note_repeat(self, now: float) -> None:
        """Count a retry."""
        self._repeats.append(now)

    def count(self, now: float) -> RetryCounts:
        """Return the counts within the window that ends now."""
        for times in (self._requests, self._repeats):
            while times and times[0] < now - self._seconds:
                times.popleft()
        return RetryCounts(len(self._requests), len(self._repeats))


class RetryBudget:
    """This gateway's share of the retries that all gateways may send.

    A retry is reserved for a request before the run that it replaces is given up.
    Until an attempt uses it, which may be seconds later, it counts as if it were sent
    now.  `count_gateways` returns how many gateways share the limits, None while it
    isn't known.
    """

    __slots__ = ("_count_gateways", "_loop", "_reserved", "_settings", "_windows")

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        count_gateways: Callable[[], int | None],
    ) -> None:
        self._count_gateways = count_gateways
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._reserved: collections.Counter[str] = collections.Counter()
        self._windows: dict[str, RetryWindow] = {}

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        self._settings = settings

    def note_request(self, service: str) -> None:
        """Count a request for a service."""
        self._find_window(service).note_request(self._loop.time())

    def reserve(self, job: Job) -> bool:
        """Reserve a retry until an attempt uses it; return whether the job has one."""
        if not job.holds_retry and self._is_left(job):
            self._reserved[job.permit.service.name] += 1
            job.holds_retry = True
        return job.holds_retry

    def use(self, job: Job) -> None:
        """Count a job's reserved retry, if it has one, as sent."""
        if job.holds_retry:
            self._find_window(job.permit.service.name).note_repeat(self._loop.time())
            self.release(job)

    def release(self, job: Job) -> None:
        """Give a job's reserved retry back, if it has one."""
        if job.holds_retry:
            self._reserved[job.permit.service.name] -= 1
            job.holds_retry = False

    def move(self, job: Job, service: str) -> None:
        """Move a job's reserved retry to the service where its route has moved to.

        What the retry makes up for has ended, so it is kept in any case.
        """
        if job.holds_retry:
            self._reserved[job.permit.service.name] -= 1
            self._reserved[service] += 1

    def _is_left(self, job: Job) -> bool:
        service = job.permit.service.name
        counts = self._find_window(service).count(self._loop.time())
        repeats = counts.repeats + self._reserved[service]
        is_allowed = allow_retry(
            requests=counts.requests,
            repeats=repeats,
            ratio=self._settings.retry_ratio,
            slack=self._settings.retry_slack,
            entries=self._count_gateways(),
        )
        if not is_allowed:
            log_spent_budget(job, requests=counts.requests, repeats=repeats)
        return is_allowed

    def _find_window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = RetryWindow(seconds=self._settings.retry_window_seconds)
            self._windows[service] = window
        return window
