"""The metrics sent to statsd and the table of their names, units and meanings."""

import enum
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import logbook
import msgspec
import statsd

from .errors import EelgrassrackError
from .settings import MetricSettings

log = logbook.Logger("metrics")

MILLISECONDS = 1000.0


class MetricsError(EelgrassrackError):
    """A metric was used with the wrong kind, or with a wrong or missing label."""


class Kind(enum.Enum):
    """The statsd type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


class Metric(msgspec.Struct, kw_only=True, frozen=True):
    """One metric.

    `labelled` names the kind of label that is appended to the name after a dot; if it
    is empty, the metric has no label.
    """

    name: str
    kind: Kind
    unit: str
    meaning: str
    labelled: str = ""


def _count(name: str, unit: str, meaning: str, labelled: str = "") -> Metric:
    return Metric(
        name=name, kind=Kind.COUNTER, unit=unit, meaning=meaning, labelled=labelled
    )


def _gauge(name: str, unit: str, meaning: str) -> Metric:
    return Metric(name=name, kind=Kind.GAUGE, unit=unit, meaning=meaning)


def _timer(name: str, meaning: str) -> Metric:
    return Metric(name=name, kind=Kind.TIMER, unit="ms", meaning=meaning)


REQUESTS = _count("entry.requests", "requests", "Requests that arrived.")
ANSWERED = _count("entry.answered", "requests", "Requests answered completely.")
REFUSED = _count("entry.refused", "requests", "Requests refused.", "reason")
FAILED = _count(
    "entry.failed", "requests", "Requests that failed after they ran.", "reason"
)
GAVE_WAY = _count(
    "entry.gave_way",
    "connections",
    "Callers whose connection made room, by what it was used for.",
    "phase",
)
RETRIES = _count("entry.retries", "attempts", "Attempts after the first.")
ESCALATIONS = _count("entry.escalations", "rungs", "Cascade rungs climbed for quality.")
TOKENS = _count("entry.tokens", "tokens", "Tokens relayed to callers.")
BILLS = _count("entry.bills", "bills", "Bills written to the ledger.")
IN_FLIGHT = _gauge("entry.in_flight", "requests", "Requests in flight.")
ENTRY_REVISION = _gauge(
    "entry.revision", "revision", "Revision of the document in force."
)
FIRST_TOKEN = _timer("entry.first_token", "Time from arrival to the first token.")
DURATION = _timer("entry.duration", "Time from arrival to the end of the answer.")
PLATFORM_CALLS = _count("platform.calls", "calls", "Calls to the object API.", "call")
PLATFORM_UNAVAILABLE = _count(
    "platform.unavailable", "calls", "Calls that got no usable answer."
)
PLATFORM_TIME = _timer("platform.time", "Duration of a call to the object API.")
STARTED = _count("agent.started", "attempts", "Attempts started on the endpoint.")
NOT_STARTED = _count(
    "agent.not_started", "attempts", "Attempts that were never started.", "reason"
)
ENDED = _count("agent.ended", "attempts", "Started attempts that ended.", "finish")
CRASHES = _count("agent.crashes", "crashes", "Crashes of the endpoint.")
WINDOW = _gauge(
    "agent.window", "requests", "Maximum concurrent requests on the endpoint."
)
RUNNING = _gauge("agent.running", "requests", "Requests running on the endpoint.")
QUEUED = _gauge("agent.queued", "requests", "Requests waiting for the endpoint.")
AGENT_REVISION = _gauge(
    "agent.revision", "revision", "Revision of the document in force."
)
BROKEN = _count(
    "invariants.broken",
    "checks",
    "Checks that found a broken promise; must stay 0.",
    "promise",
)
RESTARTS = _count(
    "supervisor.restarts", "restarts", "Tasks restarted after an error.", "task"
)

ALL_METRICS = tuple(
    value for value in tuple(globals().values()) if isinstance(value, Metric)
)


class Metrics:
    """Sends metrics to statsd, or discards them if no host is set.

    Each metric is one UDP datagram on a non-blocking socket.  If the socket's buffer
    is full, the datagram is dropped, because a lost metric costs less than a
    delayed request.  If a host is set, a method raises `MetricsError` for a metric of
    another kind and for a wrongly present or missing label.
    """

    __slots__ = ("_client", "_clock")

    def __init__(
        self,
        *,
        settings: MetricSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._client = _make_client(settings) if settings.host else None

    def count(self, metric: Metric, amount: int = 1, *, label: str = "") -> None:
        """Add `amount` to a counter."""
        if self._client:
            self._client.incr(_name(metric, Kind.COUNTER, label), amount)

    def gauge(self, metric: Metric, value: float, *, label: str = "") -> None:
        """Set a gauge."""
        if self._client:
            self._client.gauge(_name(metric, Kind.GAUGE, label), value)

    def time(self, metric: Metric, seconds: float, *, label: str = "") -> None:
        """Report a duration with a timer."""
        if self._client:
            milliseconds = seconds * MILLISECONDS
            self._client.timing(_name(metric, Kind.TIMER, label), milliseconds)

    @contextmanager
    def measure(self, metric: Metric, *, label: str = "") -> Iterator[None]:
        """Report the duration of a `with` block, even if the block raises."""
        started = self._clock()
        try:
            yield
        finally:
            self.time(metric, self._clock() - started, label=label)

    def close(self) -> None:
        """Close the socket; later metrics are discarded."""
        if self._client:
            self._client.close()
            self._client = None


def format_page() -> str:
    """Return the text of docs/METRICS.md."""
    rows = (
        f"| `{metric.name}{f'.{metric.labelled.upper()}' if metric.labelled else ''}` "
        f"| {metric.kind.value} | {metric.unit} | {metric.meaning} |"
        for metric in ALL_METRICS
    )
    return "\n".join(
        [
            "# Metrics",
            "",
            "Sent by statsd over UDP to the host in the settings' `[metrics]`; each",
            "name starts with its `prefix`. Parts in capitals stand for a label.",
            "Made from `eelgrassrack/metrics.py` by `python -m eelgrassrack.pages`.",
            "",
            "| name | kind | unit | meaning |",
            "| --- | --- | --- | --- |",
            *rows,
            "",
        ]
    )


def _make_client(settings: MetricSettings) -> statsd.StatsClient | None:
    """Return a client with a non-blocking socket, or None if it can't be made."""
    try:
        client = statsd.StatsClient(settings.host, settings.port, settings.prefix)
    except OSError as error:
        log.warning("metrics: no metrics are sent: {}: {}", settings.host, error)
        return None
    client._sock.setblocking(False)
    return client


def _name(metric: Metric, kind: Kind, label: str) -> str:
    """Return the name to send, with dots and other separators in the label replaced.

    Raise `MetricsError` if the metric has another kind, or the label is wrongly
    present or missing.
    """
    if metric.kind is not kind or bool(label) != bool(metric.labelled):
        raise MetricsError(f"{metric.name} is a {metric.kind.value}")
    if not label:
        return metric.name
    safe_label = "".join(char if char.isalnum() else "_" for char in label)
    return f"{metric.name}.{safe_label}"
