"""A loopback proxy that turns answers into ones that end with the connection.

The stand-in of an endpoint always sends a length or chunks. In front of it,
this proxy drops both and closes the connection at the end of an answer. What
the endpoint breaks off is reset here, as a crash would.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.exchange import Exchange, ExchangeError, ResponseHead
from quetzaldyke.gateway.http_client import HttpClient

HOST: Final = '127.0.0.1'
# On, with a linger time of 0 s: a close then resets the connection.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
DELIMITING_HEADERS: Final = frozenset(
    (b'content-length', b'transfer-encoding', b'connection', b'keep-alive')
)
EVENT_END: Final = b'\n\n'
# One of so many streams is closed early, if any are.
CUT_EACH: Final = 3


@dataclass(slots=True)
class UnframedProxy:
    """Forwards each connection's only request to an endpoint."""

    target: int
    client: HttpClient = field(default_factory=HttpClient)
    server: asyncio.Server | None = None
    # Answers that were passed on completely.
    answers: int = 0
    # Events after which each third stream is closed cleanly; 0 for never.
    cut_events: int = 0
    streams: int = 0
    # Streams that were closed so.
    cuts: int = 0

    @classmethod
    async def listen(
        cls, port: int, target: int, cut_events: int = 0
    ) -> UnframedProxy:
        """Return a proxy that listens on a port; raise `OSError` on failure."""
        proxy = cls(target, cut_events=cut_events)
        proxy.server = await asyncio.start_server(proxy.serve, HOST, port)
        return proxy

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward a request and its answer; reset if the answer breaks off."""
        exchange = Exchange()
        try:
            request = await read_request(reader)
            watch = asyncio.create_task(cancel_at_end(reader, exchange))
            try:
                await self.forward(request, exchange, writer)
            finally:
                watch.cancel()
        except (ExchangeError, OSError, asyncio.IncompleteReadError):
            reset(writer)
        finally:
            exchange.cancel()
            writer.close()

    async def forward(
        self, request: bytes, exchange: Exchange, writer: asyncio.StreamWriter
    ) -> None:
        """Send a request to the endpoint and pass its answer on."""
        await self.client.start(HOST, self.target, request, exchange)
        writer.write(encode_head(await exchange.read_head()))
        self.streams += 1
        cut = self.cut_events and self.streams % CUT_EACH == 0
        passed = b''
        while chunk := await exchange.read_chunk():
            passed += chunk
            if cut and passed.count(EVENT_END) >= self.cut_events:
                end = passed.rfind(EVENT_END) + len(EVENT_END)
                writer.write(chunk[: end - len(passed)] or chunk)
                await writer.drain()
                self.cuts += 1
                return
            writer.write(chunk)
            await writer.drain()
        self.answers += 1

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()
        self.client.close()


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Read a request whose body has a length or is missing."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.split(b'\r\n'):
        name, _, text = line.partition(b':')
        if name.lower() == b'content-length':
            length = int(text)
    return head + await reader.readexactly(length)


async def cancel_at_end(
    reader: asyncio.StreamReader, exchange: Exchange
) -> None:
    """Cancel the exchange with the endpoint when the caller closes."""
    with suppress(OSError):
        await reader.read()
    exchange.cancel()


def encode_head(head: ResponseHead) -> bytes:
    """Return a response head without anything that delimits the body."""
    lines = [b'HTTP/1.1 %d Status' % head.status]
    lines.extend(
        b'%b: %b' % header
        for header in head.headers
        if header[0] not in DELIMITING_HEADERS
    )
    return b'\r\n'.join([*lines, b'', b''])


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection that may have been lost already."""
    connected = writer.get_extra_info('socket')
    with suppress(OSError):
        connected.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
    writer.transport.abort()
