"""An endpoint that begins its answer before it has read a long request."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Final

# On, with a linger time of 0 s: a close then resets the connection.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
RECEIVE_BYTES: Final = 65_536
# The operating system takes twice as much of a request that nobody reads,
# whatever its settings are.
BUFFER_BYTES: Final = 262_144


@dataclass(slots=True)
class EarlyEndpoint:
    """Sends an answer to the first bytes of each request.

    Sockets are used directly, so that several steps happen before the caller's
    system or event loop sees any of them.
    """

    answer: bytes
    # Whether each connection is reset, or ended and then reset, behind the
    # answer at once.
    resetting: bool = False
    ending: bool = False
    listener: socket.socket = field(
        default_factory=lambda: socket.create_server(('127.0.0.1', 0))
    )
    sockets: list[socket.socket] = field(default_factory=list)
    received: int = 0
    # Set when an answer was sent and, as asked for, ended.
    answered: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def port(self) -> int:
        """Return the port of the endpoint."""
        return int(self.listener.getsockname()[1])

    async def serve(self) -> None:
        """Answer the first request of each connection."""
        loop = asyncio.get_running_loop()
        self.listener.setblocking(False)
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
        )
        while True:
            connected, _ = await loop.sock_accept(self.listener)
            connected.setblocking(False)
            self.sockets.append(connected)
            self.received += len(await loop.sock_recv(connected, RECEIVE_BYTES))
            await loop.sock_sendall(connected, self.answer)
            if self.ending:
                self.end()
            self.answered.set()
            if self.resetting:
                self.reset()

    def end(self) -> None:
        """End the answers; their connections can still receive."""
        for connected in self.sockets:
            connected.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Reset the connections."""
        for connected in self.sockets:
            connected.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            connected.close()
        self.sockets.clear()

    async def read_on(self, size: int) -> None:
        """Receive the request on the only connection up to its size."""
        loop = asyncio.get_running_loop()
        while self.received < size:
            self.received += len(
                await loop.sock_recv(self.sockets[0], RECEIVE_BYTES)
            )


@asynccontextmanager
async def early_endpoint(
    answer: bytes, *, ending: bool = False, resetting: bool = False
) -> AsyncIterator[EarlyEndpoint]:
    """Run an endpoint that begins its answer early."""
    endpoint = EarlyEndpoint(answer, resetting=resetting, ending=ending)
    serving = asyncio.create_task(endpoint.serve())
    try:
        yield endpoint
    finally:
        serving.cancel()
        endpoint.reset()
        endpoint.listener.close()
