"""Signed session tokens, by which the caller itself keeps a session's version.

A token needs no write to the store and outlives every instance.  Only entries know
the secret, so a caller can't forge a token to choose a version.
"""

import base64
import binascii
import hashlib
import hmac

import msgspec

from ..decoding import decode_msgpack
from ..errors import FormatError
from .errors import StoreError

MAC_BYTES = 32

# Tokens are sent in a header.  Entries don't issue longer ones.
MAX_TOKEN_CHARACTERS = 2048


class TokenRead(msgspec.Struct, kw_only=True, frozen=True):
    """The token is valid, and was signed for this version."""

    version: str


class BadToken(msgspec.Struct, kw_only=True, frozen=True):
    """The text isn't a valid token for this session, for this reason."""

    reason: str


def sign_token(
    *, secret: bytes, organisation: str, session: str, model: str, version: str
) -> str:
    """Return a token as text that is safe in a header."""
    if not secret:
        raise StoreError("session tokens need a secret")
    body = msgspec.msgpack.encode((organisation, session, model, version))
    return base64.urlsafe_b64encode(_sign(secret, body) + body).decode()


def read_token(
    *, secret: bytes, token: str, organisation: str, session: str, model: str
) -> TokenRead | BadToken:
    """Verify that a token was signed for this session, and return its version."""
    if not secret or len(token) > MAX_TOKEN_CHARACTERS:
        return BadToken(reason="not a session token")
    try:
        data = base64.b64decode(token.encode(), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return BadToken(reason="not a session token")
    mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
    if not hmac.compare_digest(mac, _sign(secret, body)):
        return BadToken(reason="the signature is wrong")
    try:
        *parts, version = decode_msgpack(body, kind=tuple[str, str, str, str])
    except FormatError:
        return BadToken(reason="the token is of another release")
    if parts != [organisation, session, model]:
        return BadToken(reason="the token is another session's")
    return TokenRead(version=version)


def _sign(secret: bytes, body: bytes) -> bytes:
    return hmac.digest(secret, body, hashlib.sha256)
