"""TCP streams for httpcore whose unread bytes can be seen.

httpcore's own backend opens a cancel scope for each read even without a
timeout, which is a quarter of the cost of relaying a token. It also keeps bytes
that were received but not read where the owner of an idle connection can't see
them.
"""

from __future__ import annotations

import asyncio
import select
import ssl
from typing import Any, Final, cast

import anyio
import httpcore

from quetzaldyke.parts.socket_state import (
    END_CHECK_INTERVAL_S,
    pending_error,
    unacknowledged_bytes,
)

# Received bytes at which reading from the socket pauses.
MAX_BUFFERED_BYTES: Final = 65_536


class TcpStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """One TCP connection, read by one task at a time."""

    def __init__(self) -> None:
        """Create a stream that is not connected yet."""
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.ended = False
        self.lost = False
        self.failure: Exception | None = None
        self.reader: asyncio.Future[None] | None = None
        self.poller = select.poll()
        self.writable = asyncio.Event()
        self.writable.set()

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # Transports of uvloop are no subclass of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        self.poller.register(
            transport.get_extra_info('socket').fileno(), select.POLLIN
        )

    def data_received(self, data: bytes) -> None:
        """Keep received bytes; pause reading while there are many."""
        self.received += data
        if self.transport and len(self.received) >= MAX_BUFFERED_BYTES:
            self.transport.pause_reading()
        self.wake_reader()

    def eof_received(self) -> bool:
        """Note that the peer sends no more; keep the connection writable."""
        self.ended = True
        self.wake_reader()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end; one without the peer's end of stream is a failure."""
        self.lost = True
        self.failure = exc
        self.writable.set()
        self.wake_reader()

    def pause_writing(self) -> None:
        """Make writers wait until the buffer of the transport has room."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let writers continue."""
        self.writable.set()

    # Interface of httpcore

    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,
    ) -> bytes:
        """Return the next bytes; empty at the end that the peer sent.

        Raises ReadError if the connection ended in another way, also because
        this process closed it, or was reset behind that end.
        """
        if timeout is None:
            await self.wait_for_bytes()
        else:
            try:
                with anyio.fail_after(timeout):
                    await self.wait_for_bytes()
            except TimeoutError as exc:
                raise httpcore.ReadTimeout(exc) from exc
        taken = bytes(self.received[:max_bytes])
        if taken:
            del self.received[:max_bytes]
            self.resume_reading()
        elif not self.ended or self.failure:
            raise httpcore.ReadError(self.failure or 'connection was closed')
        return taken

    async def write(
        self,
        buffer: bytes,
        timeout: float | None = None,
    ) -> None:
        """Send all bytes."""
        if self.transport is None or self.lost:
            raise httpcore.WriteError(self.failure or 'connection was closed')
        self.transport.write(buffer)
        try:
            with anyio.fail_after(timeout):
                await self.writable.wait()
        except TimeoutError as exc:
            raise httpcore.WriteTimeout(exc) from exc
        if self.lost:
            raise httpcore.WriteError(self.failure or 'connection was closed')

    async def aclose(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.abort()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise UnsupportedProtocol; no address here uses TLS."""
        raise httpcore.UnsupportedProtocol('TLS is not supported')

    def get_extra_info(self, info: str) -> Any:
        """Return whether bytes or the end can be read; None for other names."""
        if info == 'is_readable':
            return self.readable
        return None

    # Reading

    @property
    def readable(self) -> bool:
        """Tell whether bytes or the end were received, as of now."""
        if self.received or self.ended or self.lost:
            return True
        return bool(self.poller.poll(0))

    async def wait_for_bytes(self) -> None:
        """Wait until there are bytes, or the connection ended."""
        while not self.received and not self.ended and not self.lost:
            self.reader = asyncio.get_running_loop().create_future()
            await self.reader
        if not self.received:
            await self.confirm_end()

    async def confirm_end(self) -> None:
        """Wait until the peer has received all that was sent before its end.

        A peer that closes the connection before that resets it behind the end
        of its stream; one that has ended its answer alone receives the rest.
        """
        transport = self.transport
        if transport is None or not self.ended or self.lost:
            return
        while not transport.is_closing():
            self.failure = pending_error(transport)
            if self.failure or not unacknowledged_bytes(transport):
                return
            await asyncio.sleep(END_CHECK_INTERVAL_S)
        self.failure = self.failure or ConnectionAbortedError('closed')

    def wake_reader(self) -> None:
        """Resume the task that waits for bytes."""
        if self.reader is not None and not self.reader.done():
            self.reader.set_result(None)

    def resume_reading(self) -> None:
        """Read from the socket again if there is room."""
        if self.transport is None or self.lost or self.ended:
            return
        if len(self.received) < MAX_BUFFERED_BYTES:
            self.transport.resume_reading()


async def connect(host: str, port: int, timeout_s: float | None) -> TcpStream:
    """Return a stream to a host; raises ConnectTimeout or ConnectError."""
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(timeout_s):
            _, stream = await loop.create_connection(TcpStream, host, port)
    except TimeoutError as exc:
        raise httpcore.ConnectTimeout(exc) from exc
    except (OSError, OverflowError) as exc:
        raise httpcore.ConnectError(exc) from exc
    return stream
