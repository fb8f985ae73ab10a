"""A loopback TCP proxy that injects network faults into its connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final, Literal

HOST: Final = '127.0.0.1'
CHUNK_BYTES: Final = 65_536
# `one_way`: only data to the target passes. `silent`: no data passes.
Impairment = Literal['', 'slow', 'one_way', 'silent', 'refuse']
SLOW_DELAY_S: Final = 0.15


@dataclass(slots=True)
class Proxy:
    """Forwards the connections to a port to a target port.

    `impairment` also applies to connections that are already open, except
    that `refuse` only affects new ones.
    """

    port: int
    target: int
    impairment: Impairment = ''
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @classmethod
    async def listen(cls, port: int, target: int) -> Proxy:
        """Return a proxy that listens on a port; raise `OSError` on failure."""
        proxy = cls(port, target)
        proxy.server = await asyncio.start_server(
            proxy.forward_connection, HOST, port
        )
        return proxy

    async def forward_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one connection; abort it if the target is unreachable."""
        if self.impairment == 'refuse':
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST,
                self.target,
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self.copy(reader, target_writer, from_target=False)
                )
                group.create_task(
                    self.copy(target_reader, writer, from_target=True)
                )
        finally:
            for open_writer in (writer, target_writer):
                open_writer.transport.abort()
                self.writers.discard(open_writer)

    async def copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        from_target: bool,
    ) -> None:
        """Copy one direction; at its end abort the writer, which ends both."""
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.impairment == 'slow':
                    await asyncio.sleep(SLOW_DELAY_S)
                if self.impairment == 'silent' or (
                    self.impairment == 'one_way' and from_target
                ):
                    continue
                writer.write(chunk)
                await writer.drain()
        except OSError:
            """The connection is lost; the writer is aborted below."""
        writer.transport.abort()

    def reset(self) -> None:
        """Abort all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and abort all open connections."""
        if self.server is not None:
            self.server.close()
        self.reset()
