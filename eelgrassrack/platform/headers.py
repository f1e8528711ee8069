"""Conversion between the platform's headers and the gateway's messages."""

import re
from collections.abc import Iterable

from ..counts import read_count
from ..gateway.requests.messages import Arrival, EndpointLoad, PromptPart, ResponseHead
from ..hopbyhop import HOP_BY_HOP

ATTEMPT = "X-Attempt-Id"
DEADLINE = "X-Deadline-Ms"
PARTS = "X-Prompt-Prefix"
LAST_EVENT = "Last-Event-Id"
STAMP = "X-Server-Stamp"
ORGANISATION = "X-Tenant"
EXPECT_ENDPOINT = "X-Expect-Instance"
LOAD = "X-Instance-Load"
NOT_RUN = "X-Not-Executed"
MODEL = "X-Model"
TOKENS = "X-Token-Usage"
PRIORITY = "X-Request-Priority"
AUTHORIZATION = "Authorization"
SESSION = "Session"
CONFIDENCE = "X-Confidence"
INSTANCE = "X-Instance"
RETRY_AFTER = "Retry-After"
LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
LEAVING_VALUE = "1"
NOT_LEAVING = "0"
SCHEME = "bearer "

# Only the router may set these headers.  Values sent by a caller are dropped: they
# would let it use another request's memory or reserve an endpoint for itself.
ROUTER_HEADERS = frozenset(
    {
        "authorization",
        "x-tenant",
        "x-expect-instance",
        "x-expect-version",
        "x-request-priority",
        "x-deadline-ms",
        "x-pin-ms",
        "x-hold",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "last-event-id",
        "host",
        "content-length",
        "expect",
    }
)
DROPPED = HOP_BY_HOP | ROUTER_HEADERS

MISDIRECTED = 421
UNAVAILABLE = 503
MILLISECONDS = 1000.0

# Limits are plain decimal numbers of requests per second.  Beyond this one they are
# taken for garbled: no endpoint takes so many.
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_LIMIT = 1_000_000.0

# A report of load: requests running, requests waiting and slots, then how long work
# takes in percent of the usual.  Later fields are ignored, longer numbers are garbled.
LOAD_COUNTS = 3
COUNT = re.compile(r"[0-9]{1,6}")
PERCENT = 100.0

# A longer rest, as of a garbled header, would outlast any deployment's changes.
MAX_REST_SECONDS = 86_400.0


def decode_arrival(
    *,
    method: str,
    target: str,
    pairs: Iterable[tuple[str, str]],
    now: float,
) -> Arrival:
    """Decode a caller's request from its start line and header fields.

    `now` is the arrival time in seconds of the monotonic clock.
    """
    kept = []
    named: dict[str, str] = {}
    for name, value in pairs:
        lowered = name.lower()
        named[lowered] = value
        if lowered not in DROPPED:
            kept.append((name, value))
    listed = _list_tokens(named.get("connection", ""))
    tokens_in, tokens_out = _decode_tokens(named.get("x-token-usage", ""))
    return Arrival(
        id=named.get("x-attempt-id", ""),
        method=method,
        target=target,
        host=named.get("host", "").rsplit(":", 1)[0].lower(),
        path=target.split("?", 1)[0],
        headers=tuple(pair for pair in kept if pair[0].lower() not in listed),
        arrived=now,
        key=_decode_key(named.get("authorization", "")),
        timeout=_decode_milliseconds(named.get("x-deadline-ms", "")),
        model=named.get("x-model", ""),
        tokens_in=tokens_in,
        tokens_out=tokens_out,
        parts=_decode_parts(named.get("x-prompt-prefix", "")),
        session=named.get("session", ""),
        resume_after=named.get("last-event-id", ""),
        length_hint=read_count(named.get("x-length-hint", "")) or 0,
    )


def encode_request(
    *,
    arrival: Arrival,
    endpoint: str,
    organisation: str,
    remaining: float,
    resume_after: str,
    model: str,
    priority: int | None,
) -> list[tuple[str, str]]:
    """Return the header fields of the request to an endpoint.

    `remaining` is the time until the request's deadline, in seconds.
    """
    pairs = [("Host", arrival.host)]
    pairs += [
        (name, model if name.lower() == "x-model" else value)
        for name, value in arrival.headers
    ]
    pairs.append((DEADLINE, str(max(int(remaining * MILLISECONDS), 1))))
    pairs.append((EXPECT_ENDPOINT, endpoint))
    if organisation:
        pairs.append((ORGANISATION, organisation))
    if resume_after:
        pairs.append((LAST_EVENT, resume_after))
    if priority is not None:
        pairs.append((PRIORITY, str(priority)))
    if arrival.body_size or arrival.method in {"POST", "PUT", "PATCH"}:
        # What the caller sent, not what is kept: the sender refuses a body of another
        # length.
        pairs.append(("Content-Length", str(arrival.body_size)))
    return pairs


def decode_head(
    *, status: int, reason: str, pairs: Iterable[tuple[str, str]]
) -> ResponseHead:
    """Decode the status and headers of an endpoint's response."""
    kept = []
    named: dict[str, str] = {}
    pairs = tuple(pairs)
    for name, value in pairs:
        lowered = name.lower()
        named[lowered] = value
        if lowered not in HOP_BY_HOP:
            kept.append((name, value))
    listed = _list_tokens(named.get("connection", ""))
    limit, odd_limit = find_limit(pairs)
    content_type = named.get("content-type", "")
    return ResponseHead(
        status=status,
        reason=reason,
        headers=tuple(pair for pair in kept if pair[0].lower() not in listed),
        not_run="x-not-executed" in named or status == MISDIRECTED,
        is_whole="x-server-stamp" in named and "content-encoding" not in named,
        attempt=named.get("x-attempt-id", ""),
        is_event_stream=content_type.startswith("text/event-stream"),
        load=_decode_load(named.get("x-instance-load", "")),
        keep_alive=_decode_keep_alive(named.get("keep-alive", "")),
        will_close="close" in listed,
        confidence=read_count(named.get("x-confidence", "")),
        rest=find_rest(status=status, pairs=named.items()),
        is_leaving=says_leaving(named.items()),
        is_misdirected=status == MISDIRECTED,
        sender=named.get(INSTANCE.lower(), ""),
        limit=limit,
        odd_limit=odd_limit,
    )


def find_rest(*, status: int, pairs: Iterable[tuple[str, str]]) -> float | None:
    """Return for how many seconds an answer asks for rest, None if it doesn't."""
    named = {name.lower(): value for name, value in pairs}
    return _decode_rest(status, named.get(RETRY_AFTER.lower(), ""))


def find_limit(
    pairs: Iterable[tuple[str, str]],
) -> tuple[float | None, str | None]:
    """Return the requests per second that an answer says its sender takes, else None.

    The second value is what the answer has in place of such a number, None if it has
    nothing.
    """
    values = [value for name, value in pairs if name.lower() == LIMIT.lower()]
    limit = _decode_limit(values)
    is_odd = bool(values) and limit is None
    return limit, ", ".join(values) if is_odd else None


def says_leaving(pairs: Iterable[tuple[str, str]]) -> bool:
    """Return whether an answer says that its sender is leaving."""
    named = {name.lower(): value for name, value in pairs}
    return named.get(LEAVING.lower(), NOT_LEAVING) != NOT_LEAVING


def _list_tokens(value: str) -> frozenset[str]:
    return frozenset(token.strip().lower() for token in value.split(",") if token)


def _decode_key(value: str) -> str | None:
    if not value.lower().startswith(SCHEME):
        return None
    return value[len(SCHEME) :].strip() or None


def _decode_milliseconds(value: str) -> float | None:
    milliseconds = read_count(value.strip())
    return None if milliseconds is None else milliseconds / MILLISECONDS


def _decode_tokens(value: str) -> tuple[int, int]:
    counts = [read_count(field.strip()) for field in value.split(",")]
    if len(counts) != 2 or None in counts:
        return 0, 0
    return counts[0], counts[1]


def _decode_parts(value: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt, or none if the list is malformed."""
    pairs = [item.strip().split(":") for item in value.split(",") if item.strip()]
    if not all(len(pair) == 2 for pair in pairs):
        return ()
    parts = tuple(PromptPart(name, read_count(tokens)) for name, tokens in pairs)
    return () if any(part.tokens is None for part in parts) else parts


def _decode_load(value: str) -> EndpointLoad | None:
    """Return the load that a list of numbers reports, None if it is malformed."""
    fields = [field.strip() for field in value.split(",")]
    if len(fields) < LOAD_COUNTS or not all(map(COUNT.fullmatch, fields)):
        return None
    running, waiting, slots = map(int, fields[:LOAD_COUNTS])
    percent = int(fields[LOAD_COUNTS]) if len(fields) > LOAD_COUNTS else 0
    stretch = percent / PERCENT if percent else None
    return EndpointLoad(running, waiting, slots, stretch)


def _decode_rest(status: int, value: str) -> float | None:
    """Return for how many seconds an endpoint asks for rest, None if it doesn't."""
    if status != UNAVAILABLE:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    return min(seconds, MAX_REST_SECONDS) if seconds > 0.0 else None


def _decode_limit(values: list[str]) -> float | None:
    """Return the requests per second that an endpoint takes, None without a number."""
    if len(values) != 1 or not DECIMAL.fullmatch(values[0].strip()):
        return None
    limit = float(values[0])
    return limit if 0.0 < limit <= MAX_LIMIT else None


def _decode_keep_alive(value: str) -> float | None:
    """Return the idle timeout in seconds from a value such as `timeout=5`."""
    for item in value.split(","):
        name, _, number = item.strip().partition("=")
        if name.lower() == "timeout" and read_count(number.strip()) is not None:
            return float(number)
    seconds = read_count(value.strip())
    return None if seconds is None else float(seconds)
