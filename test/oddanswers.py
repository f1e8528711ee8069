"""Answers that no engine in order sends, byte by byte."""

import asyncio
import contextlib
import socket
import struct

from eelgrassrack.standins.directengine import STAMP_VALUE

STATUS = b"HTTP/1.1 200 OK\r\n"
STAMP = b"X-Server-Stamp: " + STAMP_VALUE.encode() + b"\r\n"
LENGTH = b"Content-Length: 4\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
END = b"\r\n"
BODY = b"done"
MANY_DIGITS = b"9" * 5_000


def make_answer(*fields, status=STATUS, body=BODY, length=LENGTH):
    return status + STAMP + length + b"".join(fields) + END + body


def make_chunked(trailers, *fields):
    body = b"4\r\ndone\r\n0\r\n" + trailers + END
    return make_answer(*fields, body=body, length=CHUNKED)


# Field lines that no answer may have: in its head, in an interim head, in a trailer.
ODD_FIELDS = {
    "a blank in the name": b"X Odd: 1\r\n",
    "a blank after the name": b"X-Odd : 1\r\n",
    "a tab in the name": b"X\tOdd: 1\r\n",
    "a NUL in the name": b"X\0Odd: 1\r\n",
    "a control byte in the name": b"X\x01Odd: 1\r\n",
    "a delete byte in the name": b"X\x7fOdd: 1\r\n",
    "a byte beyond ASCII in the name": b"X\xe9Odd: 1\r\n",
    "no name": b": 1\r\n",
    "no colon": b"X-Odd\r\n",
    "separators in the name": b"X(Odd): 1\r\n",
    "a quoted name": b'"X-Odd": 1\r\n',
    "a NUL in the value": b"X-Odd: a\0b\r\n",
    "a form feed in the value": b"X-Odd: a\x0cb\r\n",
}

# Status lines that no answer may have.
ODD_STATUS_LINES = {
    "status 000": b"HTTP/1.1 000 Odd\r\n",
    "status 099": b"HTTP/1.1 099 Odd\r\n",
    "status 600": b"HTTP/1.1 600 Odd\r\n",
    "status 777": b"HTTP/1.1 777 Odd\r\n",
    "status 999": b"HTTP/1.1 999 Odd\r\n",
    "status of two digits": b"HTTP/1.1 20 Odd\r\n",
    "status of four digits": b"HTTP/1.1 2000 Odd\r\n",
    "status below 0": b"HTTP/1.1 -200 Odd\r\n",
    "status in letters": b"HTTP/1.1 two Odd\r\n",
    "no status": b"HTTP/1.1\r\n",
    "version 2": b"HTTP/2.0 200 OK\r\n",
    "version 9": b"HTTP/9.9 200 OK\r\n",
    "a later minor version": b"HTTP/1.9 200 OK\r\n",
    "version 0": b"HTTP/0.9 200 OK\r\n",
    "no version": b"HTTP 200 OK\r\n",
    "another protocol": b"ICY 200 OK\r\n",
    "a control byte in the reason": b"HTTP/1.1 200 O\0K\r\n",
}

ODD_ANSWERS = {
    **{name: make_answer(line) for name, line in ODD_FIELDS.items()},
    **{
        f"{name}, after a field": make_answer(b"X-Sound: 1\r\n", line)
        for name, line in ODD_FIELDS.items()
    },
    **{
        f"{name}, in an interim head": b"HTTP/1.1 103 Early Hints\r\n"
        + line
        + END
        + make_answer()
        for name, line in ODD_FIELDS.items()
    },
    **{
        f"{name}, in a trailer": make_chunked(line) for name, line in ODD_FIELDS.items()
    },
    **{name: make_answer(status=line) for name, line in ODD_STATUS_LINES.items()},
    "a first field that is folded": STATUS + b" X-Odd: 1\r\n" + make_answer(status=b""),
    "two lengths": make_answer(b"Content-Length: 5\r\n"),
    "a length below 0": make_answer(length=b"Content-Length: -4\r\n"),
    "a length with a sign": make_answer(length=b"Content-Length: +4\r\n"),
    "a length in hexadecimal": make_answer(length=b"Content-Length: 0x4\r\n"),
    "a length of 5,000 digits": make_answer(
        length=b"Content-Length: " + MANY_DIGITS + END
    ),
    "a length with 5,000 zeros": make_answer(
        length=b"Content-Length: " + b"0" * 5_000 + b"4\r\n"
    ),
    "an unknown coding": make_answer(length=b"Transfer-Encoding: odd\r\n"),
    "two codings": make_chunked(b"", CHUNKED),
    "a chunk's size that is no number": make_answer(
        length=CHUNKED, body=b"odd\r\ndone\r\n0\r\n\r\n"
    ),
    "a chunk's size below 0": make_answer(
        length=CHUNKED, body=b"-4\r\ndone\r\n0\r\n\r\n"
    ),
    "a chunk longer than its size": make_answer(
        length=CHUNKED, body=b"2\r\ndone\r\n0\r\n\r\n"
    ),
    "a body that breaks off": make_answer(length=b"Content-Length: 9\r\n"),
    "chunks that break off": make_answer(length=CHUNKED, body=b"4\r\ndone\r\n"),
}

# Sound answers, some of them unusual.
SOUND_ANSWERS = {
    "usual": make_answer(),
    "an earlier minor version": make_answer(status=b"HTTP/1.0 200 OK\r\n"),
    "no reason": make_answer(status=b"HTTP/1.1 200\r\n"),
    "an empty reason": make_answer(status=b"HTTP/1.1 200 \r\n"),
    "a reason beyond ASCII": make_answer(status=b"HTTP/1.1 200 \xe9t\xe9\r\n"),
    "an empty value": make_answer(b"X-Sound:\r\n"),
    "a value beyond ASCII": make_answer(b"X-Sound: \xc3\xa9\xff\r\n"),
    "a value with blanks around": make_answer(b"X-Sound: \t a b \t\r\n"),
    "all bytes of names": make_answer(b"!#$%&'*+-.^_`|~09azAZ: 1\r\n"),
    "a folded value": make_answer(b"X-Sound: a\r\n b\r\n"),
    "the same length twice": make_answer(LENGTH),
    "chunks": make_chunked(b""),
    "chunks with extensions": make_answer(
        length=CHUNKED, body=b"4;a=b\r\ndone\r\n0\r\n\r\n"
    ),
    "trailers": make_chunked(b"X-Sound: 1\r\nX-Other: 2\r\n"),
    "an interim head": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + make_answer(),
    "many fields": make_answer(*(b"X-Sound-%d: 1\r\n" % at for at in range(500))),
}

# Fields in which the gateway reads numbers, with values that aren't sound numbers.
ODD_NUMBERS = {
    f"{name}: {kind}": b"%s: %s\r\n" % (name.encode(), value)
    for name in (
        "X-Confidence",
        "Keep-Alive",
        "X-Instance-Load",
        "Server-Limit",
        "Retry-After",
        "X-Cold-Ms",
    )
    for kind, value in {
        "5,000 digits": MANY_DIGITS,
        "a named number of 5,000 digits": b"timeout=" + MANY_DIGITS,
        "three numbers of 5,000 digits": b",".join([MANY_DIGITS] * 3),
        "other digits": b"\xb2\xb3",
        "no number": b"nan",
        "infinite": b"inf",
        "1e999": b"1e999",
        "below 0": b"-1",
    }.items()
}


@contextlib.asynccontextmanager
async def serve_bytes(answer):
    """Answer each request with these bytes, then close; yield the address."""

    async def handle(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(END + END)
            length = next(
                (
                    int(line.split(b":")[1])
                    for line in head.split(END)
                    if line.lower().startswith(b"content-length")
                ),
                0,
            )
            await reader.readexactly(length)
            writer.write(answer)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"


class EarlyEngine:
    """Answers a request before it has read it, ends the stream and then resets it.

    With `is_reset` unset the end of the stream is all that comes.
    """

    def __init__(self, *, answer, is_reset=True):
        self._answer = answer
        self._is_reset = is_reset
        self._server = None
        self.address = ""

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        listener.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._answer_early, sock=listener)
        host, port = listener.getsockname()
        self.address = f"{host}:{port}"

    async def stop(self):
        self._server.close()

    async def _answer_early(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(END + END)
            writer.transport.pause_reading()
            writer.write(self._answer)
            await writer.drain()
            writer.write_eof()
            await asyncio.sleep(0.2)
        if self._is_reset:
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        else:
            await asyncio.sleep(1.0)
        writer.transport.abort()
