"""The settings file of a gateway process."""

import pathlib

import msgspec

from ..document.checks import Items, Number
from ..document.schema import Key, SectionKind
from ..document.tables.texts import NAME
from ..settings import ADDRESS, URL, LogSettings, read_section_and_log

PORT = Number(low=1, high=65_535, whole=True)
SECONDS = Number(low=0, high=3_600)
MILLISECONDS = Number(low=0, high=3_600_000)
SHARE = Number(low=0, high=100)
COUNT = Number(low=0, high=1_000_000)
SEEDS = Items(item=ADDRESS)


class GatewaySettings(msgspec.Struct, kw_only=True, frozen=True):
    """Settings of one gateway; fields ending in `_ms` are milliseconds."""

    name: str
    domain: str
    listen: str
    readiness: str
    address: str
    news_port: int
    metrics_port: int
    objects_url: str
    seeds: tuple[str, ...] = ()
    grace_seconds: float = 8.0
    drain_ms: float = 2_000.0
    configuration_ms: float = 2_000.0
    evacuation_ms: float = 5_000.0
    rollback_ms: float = 5_000.0
    retry_ratio: float = 0.5
    retry_window_seconds: float = 10.0
    retry_slack: float = 10.0
    exposure_share: float = 0.1
    exposure_slack: float = 0.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    reuse_seconds: float = 10.0
    session_seconds: float = 5.0
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    log: LogSettings = LogSettings(format="json")


def _number(name: str, check: Number, meaning: str, unit: str = "") -> Key:
    return Key(name=name, check=check, meaning=meaning, unit=unit)


GATEWAY = SectionKind(
    kind="gateway",
    struct=GatewaySettings,
    meaning="Settings of `eelgrassrack gateway`.",
    keys=(
        Key(name="name", check=NAME, meaning="Name of the instance."),
        Key(name="domain", check=NAME, meaning="Failure domain of the instance."),
        Key(
            name="seeds",
            check=SEEDS,
            meaning="Addresses of other gateways, used at the start if the store "
            "doesn't answer.",
        ),
        Key(name="listen", check=ADDRESS, meaning="Address for callers."),
        Key(
            name="readiness",
            check=ADDRESS,
            meaning="Address for the load balancer's readiness checks.",
        ),
        Key(name="address", check=NAME, meaning="IP address of the instance."),
        _number("news_port", PORT, "UDP port for updates from other gateways."),
        _number(
            "metrics_port",
            PORT,
            "TCP port that serves metrics, and store views to other gateways.",
        ),
        Key(name="objects_url", check=URL, meaning="URL of the platform's store."),
        _number("grace_seconds", SECONDS, "Time from SIGTERM to SIGKILL.", "s"),
        _number(
            "drain_ms",
            MILLISECONDS,
            "Time until a draining endpoint must get no new requests.",
            "ms",
        ),
        _number(
            "configuration_ms",
            MILLISECONDS,
            "Time until a changed configuration must be in force.",
            "ms",
        ),
        _number(
            "evacuation_ms",
            MILLISECONDS,
            "Time until an evacuated failure domain must get no new requests.",
            "ms",
        ),
        _number(
            "rollback_ms",
            MILLISECONDS,
            "Time until a bad version must get no new requests.",
            "ms",
        ),
        _number(
            "retry_ratio", SHARE, "Retries per request that all gateways may send."
        ),
        _number(
            "retry_window_seconds",
            SECONDS,
            "Time window in which requests and retries are counted.",
            "s",
        ),
        _number(
            "retry_slack",
            COUNT,
            "Retries that all gateways together may send beyond `retry_ratio`.",
        ),
        _number(
            "exposure_share",
            SHARE,
            "Largest share of a service's requests that a bad version may get.",
        ),
        _number(
            "exposure_slack",
            COUNT,
            "Requests that a bad version may get beyond `exposure_share`.",
        ),
        _number(
            "cold_overage",
            SHARE,
            "Factor by which the request rate of a cold endpoint is multiplied.",
        ),
        _number(
            "cold_slack",
            COUNT,
            "Requests per second that a cold endpoint may get beyond that rate.",
        ),
        _number(
            "reuse_seconds",
            SECONDS,
            "How long a prompt counts as cached at its endpoint.",
            "s",
        ),
        _number(
            "session_seconds",
            SECONDS,
            "Longest pause between two requests of a session.",
            "s",
        ),
        _number(
            "link_mbps",
            COUNT,
            "What the instance's network link carries; 0 if unknown.",
            "Mbit/s",
        ),
        _number(
            "memory_mb",
            COUNT,
            "Memory of the process.  Callers may take 0.3 of what lies above 48 MB, at "
            "least 8 MB, or 64 MB if it is 0 for unknown; an eighth may hold answers "
            "that aren't complete, and as much again small ones.",
            "MB",
        ),
    ),
)


def read_gateway_settings(path: str | pathlib.Path) -> GatewaySettings:
    """Return a gateway's settings; raises one `UserError` that lists every fault."""
    values, log = read_section_and_log(pathlib.Path(path), GATEWAY)
    return GatewaySettings(**values, log=log)
