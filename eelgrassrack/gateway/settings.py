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
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    reuse_seconds: float = 10.0
    session_seconds: float = 5.0
    log: LogSettings = LogSettings(format="json")


def _number(name: str, check: Number, meaning: str, unit: str = "") -> Key:
    return Key(name=name, check=check, meaning=meaning, unit=unit)


GATEWAY = SectionKind(
    kind="gateway",
    struct=GatewaySettings,
    meaning="Settings of `eelgrassrack gateway`.",
    keys=(
        Key(name="name", check=NAME, meaning="The instance's name."),
        Key(name="domain", check=NAME, meaning="Failure domain that it lies in."),
        Key(
            name="seeds",
            check=SEEDS,
            meaning="Addresses of gateways to begin with, if the store is away.",
        ),
        Key(name="listen", check=ADDRESS, meaning="Address for callers."),
        Key(name="readiness", check=ADDRESS, meaning="Address for the balancer."),
        Key(name="address", check=NAME, meaning="IP number of the instance."),
        _number("news_port", PORT, "Port for news of other gateways."),
        _number("metrics_port", PORT, "Port that metrics are read from."),
        Key(name="objects_url", check=URL, meaning="The platform's store."),
        _number("grace_seconds", SECONDS, "From SIGTERM to SIGKILL.", "s"),
        _number("drain_ms", MILLISECONDS, "After which a leaver gets no work.", "ms"),
        _number("configuration_ms", MILLISECONDS, "To take a configuration.", "ms"),
        _number("evacuation_ms", MILLISECONDS, "To leave a failure domain.", "ms"),
        _number("rollback_ms", MILLISECONDS, "To give up a bad version.", "ms"),
        _number("retry_ratio", SHARE, "Retries to each request, over all."),
        _number("retry_window_seconds", SECONDS, "In which they count.", "s"),
        _number("retry_slack", COUNT, "Retries allowed beside, over all."),
        _number("exposure_share", SHARE, "Most of a service for a bad version."),
        _number("cold_overage", SHARE, "How far a cold endpoint's rate may go."),
        _number("cold_slack", COUNT, "Requests allowed beside, over all."),
        _number("reuse_seconds", SECONDS, "How long a read prompt is of use.", "s"),
        _number("session_seconds", SECONDS, "Longest pause in a session.", "s"),
    ),
)


def read_gateway_settings(path: str | pathlib.Path) -> GatewaySettings:
    """Return a gateway's settings; raises one `UserError` that lists every fault."""
    values, log = read_section_and_log(pathlib.Path(path), GATEWAY)
    return GatewaySettings(**values, log=log)
