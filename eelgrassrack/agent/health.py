"""Watch the endpoint's health: is it up, cold, or another one than before.

An engine that restarts between two polls looks healthy in both.  It shows
by its incarnation, if it reports one; without looking at that the agent
would send a cold engine all that a warm one bears.
"""

from collections.abc import Callable

import logbook
import msgspec
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from ..curl import make_client
from ..decisions.coldstart import CollapseReason

log = logbook.Logger("health")

HEALTH_PATH = "/health"
POLL_SECONDS = 0.5
TIMEOUT_SECONDS = 1.0
FIRST_DOWN_STATUS = 500
MAX_CLIENTS = 4


class HealthReport(msgspec.Struct, kw_only=True):
    """What an engine says of itself; a plain service may say nothing."""

    incarnation: str = ""
    cold: bool = False


class EndpointDown(msgspec.Struct, kw_only=True, frozen=True):
    """The endpoint didn't answer, or only to say that it is down."""


class Health:
    """The endpoint's health as last polled."""

    __slots__ = (
        "_client",
        "_clock",
        "_on_collapse",
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
    ) -> None:
        self.is_up = True
        self.is_cold = False
        self.incarnation = ""
        self.restarted_at = float("-inf")
        self._url = url + HEALTH_PATH
        self._clock = clock
        self._on_collapse = on_collapse
        self._client = make_client(max_clients=MAX_CLIENTS)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def poll(self) -> None:
        """Ask the endpoint and note what changed."""
        self.note(await self._fetch_report())

    async def is_alive(self, since: float) -> bool:
        """Tell whether the endpoint is up and hasn't restarted since then."""
        await self.poll()
        return self.is_up and self.restarted_at < since

    def note(self, report: HealthReport | EndpointDown) -> None:
        """Take over a report and collapse the window where it must."""
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
        # An engine under full load may answer a poll too late and is no other
        # for that.  Closing its window then would cost what it bears, so one
        # that names the same incarnation as before hasn't restarted.
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

    async def _fetch_report(self) -> HealthReport | EndpointDown:
        request = HTTPRequest(
            url=self._url,
            follow_redirects=False,
            connect_timeout=TIMEOUT_SECONDS,
            request_timeout=TIMEOUT_SECONDS,
            prepare_curl_callback=connect_directly,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError:
            return EndpointDown()
        if response.code >= FIRST_DOWN_STATUS:
            return EndpointDown()
        try:
            return msgspec.json.decode(response.body, type=HealthReport)
        except msgspec.MsgspecError:
            # A plain service need not know this path; it answered, so it
            # is up.
            return HealthReport()


def connect_directly(curl) -> None:
    """Take a fresh connection and no proxy."""
    curl.setopt(curl.FRESH_CONNECT, 1)
    curl.setopt(curl.FORBID_REUSE, 1)
    curl.setopt(curl.NOPROXY, "*")
