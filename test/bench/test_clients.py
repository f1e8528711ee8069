"""Tests of the benchmark's HTTP clients against a minimal server."""

import asyncio

from bench.clients import Tally, Target, open_streams, send_short

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
STREAM = b"HTTP/1.1 200 OK\r\n\r\n"


async def serve(answer: list[bytes]) -> tuple[asyncio.Server, str]:
    async def handle(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            for part in answer:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"http://127.0.0.1:{port}"


def test_short_requests_are_counted_once_the_answer_is_complete():
    async def run():
        server, url = await serve([ANSWER[:20], ANSWER[20:-2], ANSWER[-2:]])
        async with server:
            target = Target(url=url, path="/", method="GET")
            return await send_short(target, rate=200, seconds=0.1, connections=2)

    latencies, failures = asyncio.run(run())
    assert latencies.get_total_count() == 20
    assert failures == 0


def test_a_refused_short_request_is_a_failure():
    async def run():
        server, url = await serve([ANSWER.replace(b"200 OK", b"503 No")])
        async with server:
            target = Target(url=url, path="/", method="GET")
            return await send_short(target, rate=200, seconds=0.05, connections=1)

    assert asyncio.run(run())[1] == 10


def test_events_and_lost_streams_are_counted():
    async def run():
        server, url = await serve([STREAM])
        tally = Tally()
        async with server:
            target = Target(url=url, path="/", body="{}")
            opened = await open_streams([target], streams=2, tally=tally)
            tally.counting = True
            for stream in opened:
                stream.data_received(b"data: one\n\n")
                stream.data_received(b"data: two\n\ndata: three\n\n")
                stream.transport.abort()
            await asyncio.sleep(0.01)
        return tally

    tally = asyncio.run(run())
    assert (tally.begun, tally.tokens, tally.lost) == (2, 4, 2)
    assert tally.gaps.get_total_count() == 2
