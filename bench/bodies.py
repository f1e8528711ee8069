"""Bodies that follow from a request's id, so that an endpoint can check them alone."""

import random

import msgspec

MAX_BODY_BYTES = 60_000
MAX_CHUNK_BYTES = 4_096
# Of one body: tiny chunks cost a reader far more than their bytes.
MAX_CHUNKS = 2_000
EMPTY_SHARE = 0.05
CHUNKED_SHARE = 0.5


class SentBody(msgspec.Struct, kw_only=True, frozen=True):
    """A body as its caller sends it; with `chunk_bytes` of 0 it has a length."""

    content: bytes
    chunk_bytes: int

    @property
    def framing(self) -> str:
        """Describe the framing."""
        return f"chunks of {self.chunk_bytes}" if self.chunk_bytes else "a length"

    @property
    def header(self) -> str:
        """Return the header line that announces the body."""
        if self.chunk_bytes:
            return "Transfer-Encoding: chunked"
        return f"Content-Length: {len(self.content)}"

    def frame(self) -> bytes:
        """Return the bytes that follow the head."""
        if not self.chunk_bytes:
            return self.content
        begins = range(0, len(self.content), self.chunk_bytes)
        chunks = (self.content[each : each + self.chunk_bytes] for each in begins)
        framed = (b"%x\r\n%b\r\n" % (len(each), each) for each in chunks)
        return b"".join(framed) + b"0\r\n\r\n"


class Difference(msgspec.Struct, kw_only=True, frozen=True):
    """A body that arrived at an endpoint and isn't the one of its request."""

    request: str
    endpoint: str
    size: int
    is_prefix: bool


class BodyCheck:
    """Compares bodies as they arrive, and keeps only what differs."""

    def __init__(self) -> None:
        self.differences: list[Difference] = []

    def note(self, *, request: str, endpoint: str, content: bytes) -> None:
        """Compare a body that arrived at an endpoint."""
        sent = make_body(request).content
        if content == sent:
            return
        self.differences.append(
            Difference(
                request=request,
                endpoint=endpoint,
                size=len(content),
                is_prefix=sent.startswith(content),
            )
        )


def make_body(request: str) -> SentBody:
    """Return the body of the request with this id: ASCII text of any size."""
    rng = random.Random(request)
    is_chunked = rng.random() < CHUNKED_SHARE
    chunk_bytes = int(MAX_CHUNK_BYTES ** rng.random()) if is_chunked else 0
    most = min(chunk_bytes * MAX_CHUNKS or MAX_BODY_BYTES, MAX_BODY_BYTES)
    # The third power makes small bodies as frequent as large ones.
    size = 0 if rng.random() < EMPTY_SHARE else int(most * rng.random() ** 3)
    content = rng.randbytes(size).hex()[:size].encode()
    return SentBody(content=content, chunk_bytes=chunk_bytes)
