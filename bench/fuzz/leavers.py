"""Callers of a plain service that keep a connection, send bodies and leave early."""

import asyncio
import collections
import contextlib
import itertools
import random
from collections.abc import Iterator

from test.gateway.world import Caller

from ..bodies import make_body
from ..leaving import WAYS_TO_LEAVE, draw_cut, draw_parts, send_and_leave, send_parts
from .rig import SERVICE, Rig, make_api_key

ANSWER_SECONDS = 5.0
# Answered requests before the one whose caller leaves.
MAX_ANSWERED = 2


class Leavers:
    """Callers that leave; `sent` holds their keys, `cut` those of unfinished requests.

    Nobody checks their answers.
    """

    def __init__(self, *, rig: Rig) -> None:
        self.sent: set[str] = set()
        self.cut: set[str] = set()
        self._rig = rig
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    def start(self, *, pick: int) -> None:
        """Let one caller send some requests and leave; `pick` determines how."""
        names = sorted(self._rig.entries)
        if not names:
            return
        url = self._rig.entries[names[pick // 16 % len(names)]].url
        task = asyncio.create_task(self._run(url, random.Random(pick)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait(self) -> None:
        """Wait until every caller has left."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def _run(self, url: str, rng: random.Random) -> None:
        host, port = url.removeprefix("http://").rsplit(":", 1)
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            caller = Caller(*await asyncio.open_connection(host, int(port)))
            try:
                async with asyncio.timeout(ANSWER_SECONDS):
                    await self._send(caller, rng)
            finally:
                caller.close()

    async def _send(self, caller: Caller, rng: random.Random) -> None:
        for _ in range(rng.randint(0, MAX_ANSWERED)):
            _, data = self._make_request()
            await send_parts(caller.writer, draw_parts(rng, data))
            await caller.read()
        key, data = self._make_request()
        cut = draw_cut(rng, len(data))
        if cut < len(data):
            self.cut.add(key)
        parts = draw_parts(rng, data[:cut])
        await send_and_leave(caller.writer, parts, rng.choice(WAYS_TO_LEAVE))
        # Ends at once unless the caller has closed its sending side only.
        await caller.reader.read()

    def _make_request(self) -> tuple[str, bytes]:
        """Return the key and the bytes of a request that isn't repeatable."""
        key = f"left-{next(self._numbers)}"
        self.sent.add(key)
        body = make_body(key)
        lines = (
            f"POST /v1/services/{SERVICE}/credentials HTTP/1.1",
            "Host: entry",
            f"Authorization: Bearer {make_api_key('school')}",
            f"Idempotency-Key: {key}",
            body.header,
        )
        return key, "\r\n".join(lines).encode() + b"\r\n\r\n" + body.frame()


def count_leavers(leavers: Leavers, rig: Rig) -> dict[str, int]:
    """Count the requests of callers that leave, and those of them that ran."""
    ran = {each.key for service in rig.services.values() for each in service.executions}
    return {"of leavers": len(leavers.sent), "of leavers ran": len(leavers.sent & ran)}


def check_bodies(keys: set[str], leavers: Leavers, rig: Rig) -> Iterator[str]:
    """Yield runs of a plain service with another body than the caller's.

    `keys` are those of callers that stayed.
    """
    runs: collections.Counter[str] = collections.Counter()
    for name, service in rig.services.items():
        for each in service.executions:
            runs[each.key] += 1
            body = make_body(each.key).content.decode() if each.key else ""
            what = f"{each.key or each.path} at {name}"
            if each.key and each.key not in keys | leavers.sent:
                yield f"{what} was asked by nobody"
            if each.body != body:
                yield f"{what} has {len(each.body)} bytes of {len(body)}"
            if each.key in leavers.cut:
                yield f"{what} ran, but its caller left before its end"
    for key in sorted(leavers.sent):
        if runs[key] > 1:
            yield f"{key} ran {runs[key]} times"
