"""Settings of the daemons, read from one INI file for each process."""

import pathlib

import msgspec

from .document.checks import Flag, Number, OneOf, Text
from .document.faults import Fault
from .document.lines import scan_text
from .document.reading import read_sections
from .document.schema import Key, SectionKind
from .document.tables.texts import NAME
from .errors import UserError


class LogSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Log settings: `format` is `text` or `json`, `level` a logbook level name."""

    format: str = "text"
    level: str = "info"


class MetricSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Address of statsd; if the host is empty, no metrics are sent."""

    host: str = ""
    port: int = 8125
    prefix: str = "eelgrassrack"


class EntrySettings(msgspec.Struct, kw_only=True, frozen=True):
    """Settings of one entry daemon.

    `listen` is the `IP:PORT` for callers and `mailbox` the `tcp://IP:PORT` for
    agents and other entries.  URLs have no trailing slash.
    """

    name: str
    domain: str
    listen: str
    mailbox: str
    objects_url: str
    instances_url: str
    rating_url: str = ""
    region: str = "default"
    grace_seconds: float = 30.0
    lag_seconds: float = 3.0
    memory_mb: float = 0.0
    check_invariants: bool = True
    log: LogSettings = LogSettings()
    metrics: MetricSettings = MetricSettings()


class AgentSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Settings of one agent daemon.

    `endpoint_url` is the endpoint's HTTP address, which only this agent uses.
    """

    name: str
    domain: str
    pool: str
    mailbox: str
    endpoint_url: str
    instances_url: str
    objects_url: str = ""
    region: str = "default"
    grace_seconds: float = 30.0
    lag_seconds: float = 3.0
    check_invariants: bool = True
    log: LogSettings = LogSettings()
    metrics: MetricSettings = MetricSettings()


_BYTE = "(25[0-5]|2[0-4][0-9]|1?[0-9]{1,2})"
_PORT = "(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[0-5]?[0-9]{1,4})"
_ADDRESS = rf"({_BYTE}\.){{3}}{_BYTE}:{_PORT}"

ADDRESS = Text(pattern=_ADDRESS, allowed="IP:PORT")
MAILBOX = Text(pattern=f"tcp://{_ADDRESS}", allowed="tcp://IP:PORT")
URL = Text(
    pattern=r"https?://[^\s/]+(/[^\s/]+)*", allowed="http:// URL without / at its end"
)
OPTIONAL_URL = Text(pattern=f"({URL.pattern})?", allowed=f"{URL.allowed}, or nothing")
HOST = Text(pattern=r"[A-Za-z0-9.:-]*", allowed="an IP number or host name, or nothing")
PREFIX = Text(pattern=r"[A-Za-z0-9_.-]+", allowed="letters, digits, dots and hyphens")
LEVELS = ("debug", "info", "notice", "warning", "error", "critical")

_SECONDS = Number(low=0, high=3600)

COMMON_KEYS = (
    Key(name="name", check=NAME, meaning="Name of the instance."),
    Key(name="domain", check=NAME, meaning="Failure domain of the instance."),
    Key(name="region", check=NAME, meaning="Region of the instance."),
    Key(
        name="mailbox",
        check=MAILBOX,
        meaning="Address for messages of other daemons.",
    ),
    Key(
        name="instances_url",
        check=URL,
        meaning="URL of the platform's instance list.",
    ),
    Key(
        name="grace_seconds",
        check=_SECONDS,
        unit="s",
        meaning="Maximum wait for requests in flight after SIGTERM.",
    ),
    Key(
        name="lag_seconds",
        check=_SECONDS,
        unit="s",
        meaning="How long the load balancer and the instance list may keep sending "
        "work after readiness has failed.",
    ),
    Key(
        name="check_invariants",
        check=Flag(),
        meaning="Whether the daemon checks its promises at run time.",
    ),
)

LOG = SectionKind(
    kind="log",
    struct=LogSettings,
    meaning="Logs, written to the standard error stream.",
    keys=(
        Key(
            name="format",
            check=OneOf(options=("text", "json")),
            meaning="Plain text, or one JSON object per line.",
        ),
        Key(
            name="level",
            check=OneOf(options=LEVELS),
            meaning="Lowest level that is logged.",
        ),
    ),
)

METRICS = SectionKind(
    kind="metrics",
    struct=MetricSettings,
    meaning="Metrics, sent to statsd over UDP.",
    keys=(
        Key(
            name="host",
            check=HOST,
            meaning="Host of statsd; if it is empty, no metrics are sent.",
        ),
        Key(
            name="port",
            check=Number(low=1, high=65_535, whole=True),
            meaning="UDP port of statsd.",
        ),
        Key(name="prefix", check=PREFIX, meaning="Prefix of all metric names."),
    ),
)

ENTRY = SectionKind(
    kind="entry",
    struct=EntrySettings,
    meaning="Settings of `eelgrassrack entry`.",
    keys=(
        *COMMON_KEYS,
        Key(name="listen", check=ADDRESS, meaning="Address for callers."),
        Key(name="objects_url", check=URL, meaning="URL of the platform's object API."),
        Key(
            name="rating_url",
            check=OPTIONAL_URL,
            meaning="URL of the rating service; without it no answer is rated.",
        ),
        Key(
            name="memory_mb",
            check=Number(low=0, high=1_000_000),
            unit="MB",
            meaning="Memory of the process.  Callers may take 0.3 of what lies above "
            "48 MB, at least 8 MB, or 64 MB if it is 0 for unknown.",
        ),
    ),
)

AGENT = SectionKind(
    kind="agent",
    struct=AgentSettings,
    meaning="Settings of `eelgrassrack agent`.",
    keys=(
        *COMMON_KEYS,
        Key(
            name="pool",
            check=NAME,
            meaning="The endpoint's pool, as named in the document.",
        ),
        Key(
            name="endpoint_url",
            check=URL,
            meaning="URL of the endpoint, used only by this agent.",
        ),
        Key(
            name="objects_url",
            check=OPTIONAL_URL,
            meaning="URL of the platform's object API, to which a stopping agent writes"
            " the bills that no entry has taken; without it they are lost.",
        ),
    ),
)


def read_entry_settings(path: str | pathlib.Path) -> EntrySettings:
    """Return an entry's settings; raise a `UserError` that lists all faults."""
    return _read_settings(pathlib.Path(path), ENTRY)


def read_agent_settings(path: str | pathlib.Path) -> AgentSettings:
    """Return an agent's settings; raise a `UserError` that lists all faults."""
    return _read_settings(pathlib.Path(path), AGENT)


def read_text(path: pathlib.Path) -> str:
    """Return a file's text; raise a `UserError` if it can't be read."""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise UserError(f"{path}: not UTF-8 at byte {error.start}") from error


def read_section_and_log(
    path: pathlib.Path, main: SectionKind
) -> tuple[dict[str, object], LogSettings]:
    """Return the values of a file's main section and its log settings.

    Raise a `UserError` that lists all faults.
    """
    values = _read_values(path, main)
    return values[main.kind], LogSettings(**values.get(LOG.kind, {}))


def _read_settings(
    path: pathlib.Path, main: SectionKind
) -> EntrySettings | AgentSettings:
    values = _read_values(path, main)
    return main.struct(
        **values[main.kind],
        log=LogSettings(**values.get(LOG.kind, {})),
        metrics=MetricSettings(**values.get(METRICS.kind, {})),
    )


def _read_values(path: pathlib.Path, main: SectionKind) -> dict[str, dict]:
    """Return the values by section; raise a `UserError` that lists all faults."""
    file = str(path)
    scan = scan_text(read_text(path), file=file)
    parsed_sections, faults = read_sections(
        scan.sections, (main, LOG, METRICS), file=file
    )
    values = {name.kind: parsed.values for name, parsed in parsed_sections.items()}
    faults += scan.faults
    faults += [fault for parsed in parsed_sections.values() for fault in parsed.faults]
    if main.kind not in values:
        allowed = f"a section [{main.kind}] is required"
        faults.append(Fault(file=file, line=1, section=main.kind, allowed=allowed))
    if faults:
        raise UserError("\n".join(str(fault) for fault in sorted(faults)))
    return values
