"""Poll the endpoint's health: whether it is up, is cold, or has restarted.

An engine that restarts between two polls looks healthy in both.  The restart
shows in its incarnation, if the engine reports one.  If it went unnoticed, the
agent would send a cold engine the full load of a warm one.
"""

from collections.abc import Callable

import logbook
import msgspec
import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from ..curl import make_client
from ..decisions.coldstart import CollapseReason
from ..decisions.engineleaving import EngineLeaving
from ..decoding import decode_json
from ..errors import FormatError
from .lag import LagMeter
from .outcomes import OnHead

log = logbook.Logger("health")

HEALTH_PATH = "/health"
POLL_SECONDS = 0.5
TIMEOUT_SECONDS = 1.0
FIRST_DOWN_STATUS = 500
MAX_CLIENTS = 4

# A poll that times out is repeated if the event loop was this late meanwhile, so that
# the answer may only not have been read.  A loop that is late in all of these tries
# can't tell, and then the endpoint counts as down.
MAX_LAG_SECONDS = 0.25
MAX_POLL_TRIES = 3


class HealthReport(msgspec.Struct, kw_only=True):
    """The health report of an engine; that of a plain service may be empty."""

    incarnation: str = ""
    cold: bool = False


class EndpointDown(msgspec.Struct, kw_only=True, frozen=True):
    """The endpoint didn't answer, or answered with a server error.

    `timed_out` says that nothing was read in time.
    """

    timed_out: bool = False


class Resting(msgspec.Struct, kw_only=True, frozen=True):
    """The endpoint wants no requests, so that nothing new is known of it."""


class Health:
    """The endpoint's health at the last poll.

    `restarted_at` is when the last restart was noticed, in seconds of the clock.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_is_resting",
        "_leaving",
        "_on_collapse",
        "_on_head",
        "_url",
        "incarnation",
        "is_cold",
        "is_up",
        "restarted_at",
    )

    def __init__(
        self,
        *,
        url: str,
        clock: Callable[[], float],
        on_collapse: Callable[[CollapseReason], None],
        on_head: OnHead = lambda status, headers: None,
        is_resting: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create the health of an endpoint that hasn't been polled yet.

        `on_head` is called with the head of each answer to a poll.  While
        `is_resting` returns true, nothing is sent.
        """
        self.is_up = True
        self.is_cold = False
        self.incarnation = ""
        self.restarted_at = float("-inf")
        self._url = url + HEALTH_PATH
        self._clock = clock
        self._on_collapse = on_collapse
        self._on_head = on_head
        self._is_resting = is_resting
        self._leaving = EngineLeaving()
        self._client = make_client(max_clients=MAX_CLIENTS)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def poll(self) -> None:
        """Poll the endpoint and note what changed."""
        asked_at = self._clock()
        report = await self._fetch_timely()
        self.note(report)
        if isinstance(report, HealthReport):
            self._leaving.observe(
                lifetime=report.incarnation,
                restarted=self.restarted_at >= asked_at,
                asked_at=asked_at,
            )

    @property
    def is_leaving(self) -> bool:
        """Return whether the endpoint said that it leaves, in its present lifetime."""
        return self._leaving.is_leaving

    def note_leaving(self) -> None:
        """Note that the endpoint said in an answer that it leaves."""
        self._leaving.note(lifetime=self.incarnation, now=self._clock())

    async def is_alive(self, since: float) -> bool:
        """Return whether the endpoint is up and hasn't restarted since a time.

        While the endpoint rests, that is what was known before.
        """
        await self.poll()
        return self.is_up and self.restarted_at < since

    def note(self, report: HealthReport | EndpointDown | Resting) -> None:
        """Apply a report; call `on_collapse` after a restart or at a cold start."""
        match report:
            case EndpointDown():
                self._note_down()
            case HealthReport():
                self._note_up(report)

    def _note_down(self) -> None:
        if self.is_up:
            log.warning("health: endpoint is down")
        self.is_up = False

    def _note_up(self, report: HealthReport) -> None:
        was_up, self.is_up = self.is_up, True
        # An engine under full load may miss a poll without having restarted.
        # Shrinking its window would then waste capacity, so an engine that
        # reports the same incarnation as before counts as not restarted.
        is_same = bool(report.incarnation) and report.incarnation == self.incarnation
        restarted = self.incarnation not in {"", report.incarnation}
        turned_cold = report.cold and not self.is_cold
        self.incarnation = report.incarnation
        self.is_cold = report.cold
        if restarted or not (was_up or is_same):
            self.restarted_at = self._clock()
            log.warning("health: endpoint restarted")
            self._on_collapse(CollapseReason.ENGINE_RESTARTED)
        elif turned_cold:
            log.warning("health: endpoint reports a cold start")
            self._on_collapse(CollapseReason.REPORTED_COLD)

    async def _fetch_timely(self) -> HealthReport | EndpointDown | Resting:
        """Fetch a report, again if this process was late itself."""
        for _ in range(MAX_POLL_TRIES):
            meter = LagMeter()
            try:
                report = await self._fetch_report()
            finally:
                meter.stop()
            lag = meter.measure()
            is_timeout = isinstance(report, EndpointDown) and report.timed_out
            if not is_timeout or lag < MAX_LAG_SECONDS:
                break
            log.info("health: poll timed out, but the loop was {:.2f} s late", lag)
        return report

    async def _fetch_report(self) -> HealthReport | EndpointDown | Resting:
        if self._is_resting():
            return Resting()
        request = HTTPRequest(
            url=self._url,
            follow_redirects=False,
            connect_timeout=TIMEOUT_SECONDS,
            request_timeout=TIMEOUT_SECONDS,
            prepare_curl_callback=connect_directly,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            timed_out = error.errno == pycurl.E_OPERATION_TIMEDOUT
            return EndpointDown(timed_out=timed_out)
        self._on_head(response.code, tuple(response.headers.get_all()))
        if response.code >= FIRST_DOWN_STATUS:
            return Resting() if self._is_resting() else EndpointDown()
        try:
            return decode_json(response.body, kind=HealthReport)
        except FormatError:
            # A plain service needn't support this path.  It answered, so it is up.
            return HealthReport()


def connect_directly(curl) -> None:
    """Make curl use a new connection and no proxy."""
    curl.setopt(curl.FRESH_CONNECT, 1)
    curl.setopt(curl.FORBID_REUSE, 1)
    curl.setopt(curl.NOPROXY, "*")
