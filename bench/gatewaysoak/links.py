"""A loopback proxy that delays, silences and resets what passes."""

import asyncio
import contextlib
import enum

READ_BYTES = 65_536
LOOK_SECONDS = 0.02


class Trouble(enum.Enum):
    """What a link does to its bytes."""

    NONE = "none"
    SLOW = "slow"
    SILENT = "silent"
    DEAF = "deaf"


SLOW_SECONDS = 0.15


class Link:
    """A proxy to one address; `DEAF` silences the way back only."""

    def __init__(self, *, target: str) -> None:
        self.trouble = Trouble.NONE
        self.address = ""
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close everything."""
        self._server.close()
        self.reset()
        await self._server.wait_closed()

    def reset(self) -> None:
        """Break all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._target.rsplit(":", 1)
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back}
        # Cancelled only at the end of a seed, when nobody waits for this.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pass(reader, back, {Trouble.SILENT}),
                self._pass(there, writer, {Trouble.SILENT, Trouble.DEAF}),
            )
        self._writers -= {writer, back}

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held_in: set[Trouble],
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(READ_BYTES):
                while self.trouble in held_in:
                    await asyncio.sleep(LOOK_SECONDS)
                if self.trouble is Trouble.SLOW:
                    await asyncio.sleep(SLOW_SECONDS)
                writer.write(data)
                await writer.drain()
        writer.close()
