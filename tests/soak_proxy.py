"""A loopback proxy whose connections can be harmed while they are open."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final, Literal

HOST: Final = '127.0.0.1'
CHUNK_BYTES: Final = 65_536
# `one_way`: requests arrive, answers don't. `silent`: nothing passes.
Harm = Literal['', 'slow', 'one_way', 'silent', 'refuse']
SLOW_S: Final = 0.15


@dataclass(slots=True)
class Proxy:
    """Passes connections on to one port."""

    port: int
    target: int
    harm: Harm = ''
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @classmethod
    async def listen(cls, port: int, target: int) -> Proxy:
        """Listen on a port."""
        proxy = cls(port, target)
        proxy.server = await asyncio.start_server(proxy.carry, HOST, port)
        return proxy

    async def carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Carry one connection."""
        if self.harm == 'refuse':
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                HOST,
                self.target,
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.copy(reader, far_writer, back=False))
                group.create_task(self.copy(far_reader, writer, back=True))
        finally:
            for one in (writer, far_writer):
                one.transport.abort()
                self.writers.discard(one)

    async def copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        back: bool,
    ) -> None:
        """Copy one direction; the end of it ends both."""
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.harm == 'slow':
                    await asyncio.sleep(SLOW_S)
                if self.harm == 'silent' or (self.harm == 'one_way' and back):
                    continue
                writer.write(chunk)
                await writer.drain()
        except OSError:
            """The other side has gone; both ends are closed below."""
        writer.transport.abort()

    def reset(self) -> None:
        """Break all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and break all connections."""
        if self.server is not None:
            self.server.close()
        self.reset()
