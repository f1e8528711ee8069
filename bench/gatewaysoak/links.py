"""A TCP proxy on loopback that injects faults: delays, silence and resets."""

import asyncio
import contextlib
import enum

READ_BYTES = 65_536
POLL_SECONDS = 0.02


class LinkFault(enum.Enum):
    """What a link does to the bytes that it forwards.

    `SILENT` holds back both directions, `ANSWERS_SILENT` only what the target sends.
    """

    NONE = "none"
    SLOW = "slow"
    SILENT = "silent"
    ANSWERS_SILENT = "deaf"


# By which a slow link delays each piece of data.
DELAY_SECONDS = 0.15


class Link:
    """A proxy to one address, in the form host:port."""

    def __init__(self, *, target: str) -> None:
        self.fault = LinkFault.NONE
        self.address = ""
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._severed: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port; set `address`."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        self.reset()
        await self._server.wait_closed()

    def reset(self) -> None:
        """Abort all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def sever(self) -> None:
        """Let all open connections go silent for good; new ones work."""
        self._severed |= self._writers

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        # Cancelled only at the end of a seed, when nothing awaits this task.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, target_writer, {LinkFault.SILENT}),
                self._forward(
                    target_reader,
                    writer,
                    {LinkFault.SILENT, LinkFault.ANSWERS_SILENT},
                ),
            )
        self._writers -= {writer, target_writer}
        self._severed -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_faults: set[LinkFault],
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(READ_BYTES):
                while self.fault in blocking_faults or writer in self._severed:
                    await asyncio.sleep(POLL_SECONDS)
                if self.fault is LinkFault.SLOW:
                    await asyncio.sleep(DELAY_SECONDS)
                writer.write(data)
                await writer.drain()
        writer.close()
