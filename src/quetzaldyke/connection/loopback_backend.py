"""Network backend for httpcore that reads without a cancel scope.

httpcore's backend opens a cancel scope for each read even without a timeout,
which is a quarter of the cost of relaying a token.
"""

from __future__ import annotations

import select
import ssl
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

SOCKET_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@dataclass(slots=True)
class LoopbackStream(httpcore.AsyncNetworkStream):
    """One TCP connection to the endpoint."""

    stream: SocketStream
    poller: select.poll

    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,
    ) -> bytes:
        """Return the next bytes; empty at the end of the stream."""
        try:
            if timeout is None:
                return await self.stream.receive(max_bytes)
            with anyio.fail_after(timeout):
                return await self.stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b''
        except TimeoutError as exc:
            raise httpcore.ReadTimeout(exc) from exc
        except SOCKET_ERRORS as exc:
            raise httpcore.ReadError(exc) from exc

    async def write(
        self,
        buffer: bytes,
        timeout: float | None = None,
    ) -> None:
        """Send all bytes."""
        try:
            with anyio.fail_after(timeout):
                await self.stream.send(buffer)
        except TimeoutError as exc:
            raise httpcore.WriteTimeout(exc) from exc
        except SOCKET_ERRORS as exc:
            raise httpcore.WriteError(exc) from exc

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise UnsupportedProtocol; the endpoint is on loopback."""
        raise httpcore.UnsupportedProtocol('TLS is not supported on loopback')

    def get_extra_info(self, info: str) -> Any:
        """Return whether the socket is readable; None for other names.

        An idle connection is readable when the endpoint has closed it.
        """
        if info == 'is_readable':
            return bool(self.poller.poll(0))
        return None


class LoopbackBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections to the endpoint."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect to an IP address and port."""
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(host, port)
        except TimeoutError as exc:
            raise httpcore.ConnectTimeout(exc) from exc
        except OSError as exc:
            raise httpcore.ConnectError(exc) from exc
        poller = select.poll()
        raw = stream.extra(SocketAttribute.raw_socket)
        poller.register(raw.fileno(), select.POLLIN)
        return LoopbackStream(stream, poller)

    async def sleep(self, seconds: float) -> None:
        """Sleep between connection attempts."""
        await anyio.sleep(seconds)
