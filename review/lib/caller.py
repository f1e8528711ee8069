"""A consumer that sends one request on a connection of its own."""

import asyncio
import dataclasses

from deployment import HOST, KEY


@dataclasses.dataclass
class Answer:
    """What a consumer got; `status` is 0 if there was no answer."""

    status: int = 0
    head: bytes = b""
    body: bytes = b""
    is_whole: bool = False


async def call(
    address: tuple[str, int],
    *,
    attempt: str,
    path: str,
    method: str = "GET",
    deadline_ms: int = 2500,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send a request and return what came back until the time limit."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
    ]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await _read(reader, answer)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read(reader: asyncio.StreamReader, answer: Answer) -> None:
    answer.head = await reader.readuntil(b"\r\n\r\n")
    lines = answer.head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    fields = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    if headers.get("transfer-encoding", "").lower() != "chunked":
        answer.body = await reader.readexactly(int(headers["content-length"]))
        answer.is_whole = True
        return
    while True:
        size = int(await reader.readline(), 16)
        answer.body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            answer.is_whole = True
            return
