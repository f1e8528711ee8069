"""Draws the requests that callers send together, and how the callers leave."""

import random
from collections.abc import Iterator

import msgspec

from test.gateway.world import ANY_MODEL_HEADERS, HOST, KEY

from ..bodies import SentBody, make_body
from ..leaving import WAYS_TO_LEAVE, Leaving, draw_cut, draw_parts

METHOD = "POST"
# Paths whose answers are streams of events.
STREAMS = ("/chat/1", "/once/1", "/final/1")
PATHS = ("/look/1", "/issue/1", "/issue/1", "/chat/1", "/chat/1", "/once/1", "/final/1")
# Request timeouts; many are longer than the remaining grace of a stopping gateway.
TIMEOUTS_MS = (700, 2_000, 4_000, 4_000, 9_000)
ROUTER_CHOICE_SHARE = 0.5
EXPECT_SHARE = 0.1
PIPELINED_SHARE = 0.15
MAX_PIPELINED = 3
LEAVING_SHARE = 0.25


class SoakRequest(msgspec.Struct, kw_only=True, frozen=True):
    """One request; `expects` means that its caller asks before it sends the body."""

    attempt: str
    path: str
    timeout_ms: int
    expects: bool
    lets_router_choose: bool

    @property
    def body(self) -> SentBody:
        """Return the body, which follows from the attempt's id."""
        return make_body(self.attempt)

    def make_head(self) -> bytes:
        """Return the request line and the headers."""
        lines = [
            f"{METHOD} {self.path} HTTP/1.1",
            f"Host: {HOST}",
            f"Authorization: Bearer {KEY}",
            f"X-Attempt-Id: {self.attempt}",
            f"X-Deadline-Ms: {self.timeout_ms}",
            self.body.header,
        ]
        if self.expects:
            lines.append("Expect: 100-continue")
        if self.lets_router_choose:
            lines += [f"{name}: {value}" for name, value in ANY_MODEL_HEADERS]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"


class Burst(msgspec.Struct, kw_only=True, frozen=True):
    """Requests that a caller sends without waiting, and how it leaves.

    `parts` holds the bytes that it sends.  With `is_cut` the last request isn't whole.
    """

    requests: list[SoakRequest]
    parts: list[bytes]
    leaving: Leaving
    is_cut: bool


def draw_burst(rng: random.Random, numbers: Iterator[int]) -> Burst:
    """Return the next requests of a caller, whose ids are from `numbers`."""
    is_pipelined = rng.random() < PIPELINED_SHARE
    count = rng.randint(2, MAX_PIPELINED) if is_pipelined else 1
    requests = [_draw_request(rng, next(numbers)) for _ in range(count)]
    heads = [each.make_head() for each in requests]
    bodies = [each.body.frame() for each in requests]
    whole = [head + body for head, body in zip(heads, bodies, strict=True)]
    leaving, cut = Leaving.STAY, len(whole[-1])
    if rng.random() < LEAVING_SHARE:
        leaving = rng.choice(WAYS_TO_LEAVE)
        cut = draw_cut(rng, cut)
    before = b"".join(whole[:-1])
    if requests[-1].expects:
        # The pause between two parts is when the gateway asks for the body.
        begin = len(heads[-1])
        parts = [before + whole[-1][: min(cut, begin)], whole[-1][begin:cut]]
    else:
        parts = draw_parts(rng, before + whole[-1][:cut])
    return Burst(
        requests=requests,
        parts=parts,
        leaving=leaving,
        is_cut=cut < len(whole[-1]),
    )


def _draw_request(rng: random.Random, number: int) -> SoakRequest:
    path = rng.choice(PATHS)
    return SoakRequest(
        attempt=f"a{number}",
        path=path,
        timeout_ms=rng.choice(TIMEOUTS_MS),
        expects=rng.random() < EXPECT_SHARE,
        lets_router_choose=path == "/chat/1" and rng.random() < ROUTER_CHOICE_SHARE,
    )
