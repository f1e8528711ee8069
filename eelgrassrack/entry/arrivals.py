"""Parsing and validation of callers' requests.

Parsing does no I/O.  An invalid request becomes a `CallerError` with the
status code that the OpenAI-compatible API uses.
"""

import hashlib
from collections.abc import Mapping

import msgspec
import xxhash

from ..decisions.crashrecords import make_part_trait
from ..document.sections import Limits, Organisation, Service
from ..document.snapshot import Snapshot
from . import headers
from .refusals import CallerError
from .suspects import format_part

# Assumed length of an answer if the caller sets no max_tokens.
DEFAULT_ANSWER_TOKENS = 256
MAX_ANSWER_TOKENS = 131_072
BYTES_PER_TOKEN = 4
BEARER = "Bearer "
MAX_HEADER_CHARACTERS = 512

# Messages of a prompt that crashes may be blamed on; further ones aren't considered.
MAX_PARTS = 256


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a conversation; `content` is text or a list of parts."""

    role: str
    content: str | list[dict] | None = None


class ChatFields(msgspec.Struct, frozen=True):
    """The fields of a chat request that the router uses."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream_options: dict | None = None


class RequestOptions(msgspec.Struct, kw_only=True, frozen=True):
    """The options that a request's headers set.

    `remaining` is the seconds until the caller's deadline.  A request with
    `never_repeat` runs at most once.
    """

    remaining: float
    session: str = ""
    session_token: str = ""
    idempotency_key: str = ""
    never_repeat: bool = False
    kind: str = "chat"


class ChatArrival(msgspec.Struct, kw_only=True, frozen=True):
    """A valid chat request.

    `tokens` estimates prompt and answer together, `parts` are the fingerprints of the
    messages that other requests may share, `fields` holds the whole body.
    """

    options: RequestOptions
    model: str
    stream: bool
    tokens: int
    prompt: str
    fingerprint: str
    parts: tuple[str, ...]
    wants_usage: bool
    fields: dict[str, msgspec.Raw]

    def build_body(self, *, version: str) -> bytes:
        """Return the body for the engine, with `version` as its model."""
        changed = {"model": version, "stream": self.stream}
        if self.stream:
            changed["stream_options"] = {"include_usage": True}
        return msgspec.json.encode({**self.fields, **changed})


class ServiceArrival(msgspec.Struct, kw_only=True, frozen=True):
    """A valid request for a plain service.

    `size` is how many bytes of its body were read from the caller.  A request that
    isn't `repeatable` runs at most once.
    """

    options: RequestOptions
    service: str
    method: str
    path: str
    forwarded_headers: tuple[tuple[str, str], ...]
    body: bytes
    size: int
    fingerprint: str
    repeatable: bool

    @property
    def tokens(self) -> int:
        """Return the request's size in tokens, for fair queueing."""
        return 1 + len(self.body) // BYTES_PER_TOKEN


def authenticate_caller(
    *, snapshot: Snapshot, authorization: str | None
) -> Organisation | CallerError:
    """Return the organisation whose API key is in the header."""
    if not authorization or not authorization.startswith(BEARER):
        return CallerError(status=401, code="no_key", text="An API key is missing.")
    key = authorization.removeprefix(BEARER).strip()
    digest = hashlib.sha256(key.encode()).hexdigest()
    organisation = snapshot.find_organisation(key_digest=digest)
    if organisation is None:
        return CallerError(status=401, code="wrong_key", text="The API key is wrong.")
    return organisation


def read_options(
    *, sent: Mapping[str, str], limits: Limits, kind: str
) -> RequestOptions | CallerError:
    """Parse the headers that set request options."""
    names = (headers.SESSION, headers.KIND, headers.IDEMPOTENCY_KEY)
    long = [n for n in names if len(sent.get(n, "")) > MAX_HEADER_CHARACTERS]
    if long:
        return CallerError(
            status=431, code="header_too_long", text=f"{long[0]} is too long."
        )
    remaining = _read_seconds(sent.get(headers.DEADLINE), limits.default_deadline)
    if remaining is None:
        return _refuse_body(f"{headers.DEADLINE} must be a number of seconds.")
    if remaining <= 0:
        return CallerError(
            status=408, code="deadline_passed", text="The deadline has passed."
        )
    return RequestOptions(
        remaining=min(remaining, limits.longest_deadline),
        session=sent.get(headers.SESSION, ""),
        session_token=sent.get(headers.SESSION_TOKEN, ""),
        idempotency_key=sent.get(headers.IDEMPOTENCY_KEY, ""),
        never_repeat=sent.get(headers.REPEAT, "").lower() == headers.REPEAT_NEVER,
        kind=sent.get(headers.KIND, kind),
    )


def read_chat(
    *, body: bytes, options: RequestOptions, organisation: Organisation
) -> ChatArrival | CallerError:
    """Parse the body of a chat request."""
    try:
        chat = msgspec.json.decode(body, type=ChatFields)
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _refuse_body(f"The body can't be read: {error}.")
    if not chat.messages:
        return _refuse_body("The body has no messages.")
    if options.never_repeat:
        # Only services have idempotency claims.  Without one, a chat that the
        # caller sends again could run twice.
        return _refuse_body(f"A chat can't be marked {headers.REPEAT}.")
    answer_tokens = (
        chat.max_completion_tokens or chat.max_tokens or DEFAULT_ANSWER_TOKENS
    )
    if not 0 < answer_tokens <= MAX_ANSWER_TOKENS:
        return _refuse_body("max_tokens is out of range.")
    wants_usage = bool((chat.stream_options or {}).get("include_usage"))
    return ChatArrival(
        options=options,
        model=chat.model,
        stream=chat.stream,
        tokens=answer_tokens + len(body) // BYTES_PER_TOKEN,
        prompt=_join_prompt(chat.messages),
        fingerprint=_compute_fingerprint(organisation.name, bytes(fields["messages"])),
        parts=_compute_parts(fields["messages"]),
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
    size: int,
    options: RequestOptions,
    organisation: Organisation,
) -> ServiceArrival:
    """Build a service request from the parts of an HTTP request.

    `size` is how many bytes of the body were read from the caller.
    """
    operation = f"{method} {path}"
    marked = any(operation.startswith(text) for text in service.not_repeatable)
    forwarded = tuple(
        (name, value) for name, value in sent.items() if headers.is_forwarded(name)
    )
    return ServiceArrival(
        options=options,
        service=service.name,
        method=method,
        path=path,
        forwarded_headers=forwarded,
        body=body,
        size=size,
        fingerprint=_compute_fingerprint(organisation.name, operation.encode() + body),
        repeatable=not (marked or options.never_repeat),
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


def _compute_fingerprint(organisation: str, content: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(organisation.encode() + b"\0" + content)


def _compute_parts(messages: msgspec.Raw) -> tuple[str, ...]:
    """Return a fingerprint of each message but the last, which is the request's own."""
    shared = msgspec.json.decode(messages, type=list[msgspec.Raw])[:-1]
    return tuple(
        format_part(make_part_trait(xxhash.xxh3_64_intdigest(bytes(message))))
        for message in shared[:MAX_PARTS]
    )


def _refuse_body(text: str) -> CallerError:
    return CallerError(status=400, code="bad_request", text=text)
