"""Texts of the document's sections, stored as immutable, content-addressed objects.

A change writes the new texts before the head that refers to them, so a head never
refers to a missing text.  A daemon that follows the document reads only the texts
that it doesn't have yet.
"""

import asyncio
import hashlib
import itertools
from collections.abc import Awaitable, Iterable

from .errors import StoreError
from .objects import (
    MAX_BODY_BYTES,
    Absent,
    Conflict,
    Found,
    ObjectStore,
    Unavailable,
    Written,
)
from .throttling import retry_throttled

KIND = "sections"

# How many texts are read or written concurrently.
CONCURRENCY = 16


def digest_text(text: str) -> str:
    """Return the object name of a section's text, its SHA-256 digest."""
    return hashlib.sha256(text.encode()).hexdigest()


class SectionTexts:
    """Read and write section texts, caching those of one document."""

    __slots__ = ("_cache", "_store")

    def __init__(self, *, store: ObjectStore) -> None:
        self._store = store
        self._cache: dict[str, str] = {}

    async def read(self, *, digests: Iterable[str]) -> dict[str, str] | Unavailable:
        """Return texts by digest, and drop all others from the cache."""
        wanted = dict.fromkeys(digests)
        texts = {name: self._cache[name] for name in wanted if name in self._cache}
        missing = iter([name for name in wanted if name not in texts])
        while group := tuple(itertools.islice(missing, CONCURRENCY)):
            found = await asyncio.gather(*(self._read_one(name) for name in group))
            read = {
                name: text
                for name, text in zip(group, found, strict=True)
                if not isinstance(text, Unavailable)
            }
            texts |= read
            # Keep what was read even if a read failed.  Otherwise each retry would
            # start over, and a long document might never be read completely.
            self._cache |= read
            if len(read) < len(group):
                return next(text for text in found if isinstance(text, Unavailable))
        self._cache = texts
        return texts

    async def write(self, *, texts: Iterable[str]) -> Unavailable | None:
        """Write texts; raise `StoreError` if one is too large."""
        new = {digest_text(text): text for text in texts}
        wanted = iter([name for name in new if name not in self._cache])
        while group := tuple(itertools.islice(wanted, CONCURRENCY)):
            results = await asyncio.gather(
                *(self._write_one(name, new[name]) for name in group)
            )
            failed = next((result for result in results if result), None)
            if failed:
                return failed
        return None

    async def _read_one(self, name: str) -> str | Unavailable:
        match await retry_throttled(lambda: self._store.read(kind=KIND, name=name)):
            case Found(body=body) if hashlib.sha256(body).hexdigest() == name:
                return body.decode()
            case Found() | Absent():
                return Unavailable(reason=f"section text {name} is missing or damaged")
            case Unavailable() as unavailable:
                return unavailable

    async def _write_one(self, name: str, text: str) -> Unavailable | None:
        """Write one text.

        An object that already exists has the same content, as its name is a digest.
        """
        body = text.encode()
        if len(body) > MAX_BODY_BYTES:
            raise StoreError(f"a section of {len(body)} bytes is too large")

        def create() -> Awaitable[Written | Conflict | Unavailable]:
            return self._store.create(kind=KIND, name=name, body=body)

        result = await retry_throttled(create)
        if isinstance(result, Unavailable) and result.maybe_written:
            result = await retry_throttled(create)
        match result:
            case Written() | Conflict():
                return None
            case Unavailable(reason=reason, retry_after=retry_after):
                # The head doesn't refer to the text yet, so nothing has changed.
                return Unavailable(reason=reason, retry_after=retry_after)
