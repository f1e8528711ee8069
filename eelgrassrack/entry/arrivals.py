"""Requests of callers, read and checked.

Reading a request needs no network.  What can't be read becomes a
`CallerError` with the status that the usual language model API gives.
"""

import hashlib
from collections.abc import Mapping

import msgspec
import xxhash

from ..document.sections import Limits, Organisation, Service
from ..document.snapshot import Snapshot
from . import headers
from .refusals import CallerError

# Tokens taken for an answer whose caller names no bound.
DEFAULT_ANSWER_TOKENS = 256
MOST_ANSWER_TOKENS = 131_072
BYTES_A_TOKEN = 4
BEARER = "Bearer "
LONGEST_HEADER_VALUE = 512


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a conversation; content may be text or parts."""

    role: str
    content: str | list[dict] | None = None


class ChatFields(msgspec.Struct, frozen=True):
    """The fields of a chat body that the router reads."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream_options: dict | None = None


class Terms(msgspec.Struct, kw_only=True, frozen=True):
    """What a request's headers ask for.

    `within` is the seconds until the caller's deadline.
    """

    within: float
    session: str = ""
    session_token: str = ""
    idempotency_key: str = ""
    never_repeat: bool = False
    kind: str = "chat"


class ChatArrival(msgspec.Struct, kw_only=True, frozen=True):
    """A chat request that can be read."""

    terms: Terms
    model: str
    stream: bool
    tokens: int
    prompt: str
    fingerprint: str
    wants_usage: bool
    fields: dict[str, msgspec.Raw]

    def build_body(self, *, version: str) -> bytes:
        """Return the body for the engine, with the version as its model."""
        changed = {"model": version, "stream": self.stream}
        if self.stream:
            changed["stream_options"] = {"include_usage": True}
        return msgspec.json.encode({**self.fields, **changed})


class ServiceArrival(msgspec.Struct, kw_only=True, frozen=True):
    """A request for a plain service that can be read."""

    terms: Terms
    service: str
    method: str
    path: str
    passed_headers: tuple[tuple[str, str], ...]
    body: bytes
    fingerprint: str
    repeatable: bool

    @property
    def tokens(self) -> int:
        """Return the request's size in tokens, for fair turns."""
        return 1 + len(self.body) // BYTES_A_TOKEN


def authenticate_caller(
    *, snapshot: Snapshot, authorization: str | None
) -> Organisation | CallerError:
    """Return the organisation whose key the header holds."""
    if not authorization or not authorization.startswith(BEARER):
        return CallerError(status=401, code="no_key", text="An API key is missing.")
    key = authorization.removeprefix(BEARER).strip()
    digest = hashlib.sha256(key.encode()).hexdigest()
    found = snapshot.find_organisation(key_digest=digest)
    if found is None:
        return CallerError(status=401, code="wrong_key", text="The API key is wrong.")
    return found


def read_terms(
    *, sent: Mapping[str, str], limits: Limits, kind: str
) -> Terms | CallerError:
    """Read the router's own headers."""
    names = (headers.SESSION, headers.KIND, headers.IDEMPOTENCY_KEY)
    long = [n for n in names if len(sent.get(n, "")) > LONGEST_HEADER_VALUE]
    if long:
        return CallerError(
            status=431, code="header_too_long", text=f"{long[0]} is too long."
        )
    within = _read_seconds(sent.get(headers.DEADLINE), limits.default_deadline)
    if within is None:
        return _refuse_body(f"{headers.DEADLINE} must be a number of seconds.")
    if within <= 0:
        return CallerError(
            status=408, code="deadline_passed", text="The deadline has passed."
        )
    return Terms(
        within=min(within, limits.longest_deadline),
        session=sent.get(headers.SESSION, ""),
        session_token=sent.get(headers.SESSION_TOKEN, ""),
        idempotency_key=sent.get(headers.IDEMPOTENCY_KEY, ""),
        never_repeat=sent.get(headers.REPEAT, "").lower() == headers.REPEAT_NEVER,
        kind=sent.get(headers.KIND, kind),
    )


def read_chat(
    *, body: bytes, terms: Terms, organisation: Organisation
) -> ChatArrival | CallerError:
    """Read a chat request's body."""
    try:
        chat = msgspec.json.decode(body, type=ChatFields)
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _refuse_body(f"The body can't be read: {error}.")
    if not chat.messages:
        return _refuse_body("The body has no messages.")
    if terms.never_repeat:
        # Only services keep claims.  To run it without one could run it
        # twice when its caller sends it again.
        return _refuse_body(f"A chat can't be marked {headers.REPEAT}.")
    asked = chat.max_completion_tokens or chat.max_tokens or DEFAULT_ANSWER_TOKENS
    if not 0 < asked <= MOST_ANSWER_TOKENS:
        return _refuse_body("max_tokens is out of range.")
    wants_usage = bool((chat.stream_options or {}).get("include_usage"))
    return ChatArrival(
        terms=terms,
        model=chat.model,
        stream=chat.stream,
        tokens=asked + len(body) // BYTES_A_TOKEN,
        prompt=_join_prompt(chat.messages),
        fingerprint=_take_fingerprint(organisation.name, bytes(fields["messages"])),
        wants_usage=wants_usage,
        fields=fields,
    )


def read_service(
    *,
    service: Service,
    method: str,
    path: str,
    sent: Mapping[str, str],
    body: bytes,
    terms: Terms,
    organisation: Organisation,
) -> ServiceArrival:
    """Read a request for a plain service."""
    operation = f"{method} {path}"
    marked = any(operation.startswith(text) for text in service.not_repeatable)
    passed = tuple(
        (name, value) for name, value in sent.items() if headers.is_passed_on(name)
    )
    return ServiceArrival(
        terms=terms,
        service=service.name,
        method=method,
        path=path,
        passed_headers=passed,
        body=body,
        fingerprint=_take_fingerprint(organisation.name, operation.encode() + body),
        repeatable=not (marked or terms.never_repeat),
    )


def _read_seconds(text: str | None, default: float) -> float | None:
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        return None
    return None if seconds != seconds else seconds


def _join_prompt(messages: list[ChatMessage]) -> str:
    texts = (message.content for message in messages)
    return "\n".join(text for text in texts if isinstance(text, str))


def _take_fingerprint(organisation: str, content: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(organisation.encode() + b"\0" + content)


def _refuse_body(text: str) -> CallerError:
    return CallerError(status=400, code="bad_request", text=text)
