"""HTTP/1.1 client with connection pools for endpoints and the store.

httpcore reports neither a response that arrives on an idle connection nor
bytes that follow a complete response. Either must end the reuse of the
connection, because its next response could belong to another request. This
client parses with httptools, as uvicorn does, and reports exactly how an
exchange ended.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, cast

import httptools

from quetzaldyke.gateway.exchange import (
    Exchange,
    ExchangeError,
    Failure,
    ResponseHead,
)

# Below the one second after which TCP retransmits a lost SYN.
CONNECT_TIMEOUT_S: Final = 0.4
# Assumed if the response has no Keep-Alive timeout.
DEFAULT_KEEP_ALIVE_S: Final = 4.0
# Share of the Keep-Alive timeout for which an idle connection is reused; the
# peer may close it a little before the stated time.
KEEP_ALIVE_SHARE: Final = 0.6
FIRST_FINAL_STATUS: Final = 200
# Reading is paused while more body bytes than this are unread.
MAX_UNREAD_BYTES: Final = 262_144
# Limit on all headers and trailers that a peer sends for one request,
# interim and skipped responses included, and on any other bytes that are no
# part of a body: a faulty peer may send them without end.
MAX_HEAD_BYTES: Final = 65_536
# Added for each header and each status line, which consist of more than the
# text that the parser reports.
LINE_OVERHEAD_BYTES: Final = 16


class Connection(asyncio.Protocol):
    """A client connection that carries one exchange at a time."""

    def __init__(self, on_idle: Callable[[Connection], None]) -> None:
        """Create a connection; on_idle gets it when it can be reused."""
        self.on_idle = on_idle
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = None
        self.closed = False
        self.reading_paused = False
        self.reusable = True
        self.skipping_response = False
        self.framed = False
        self.response_complete = False
        self.headers: list[tuple[bytes, bytes]] = []
        # Bytes received for the current request that are no part of its body.
        self.head_bytes = 0
        # Bytes received since the parser last reported anything.
        self.unparsed_bytes = 0
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self.idle_since_s = 0.0
        # Requests that were sent on this connection.
        self.uses = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open connection."""
        self.transport = cast('asyncio.Transport', transport)

    def send(self, exchange: Exchange, request: bytes) -> None:
        """Send a request; the response goes to the exchange."""
        assert self.transport is not None
        self.exchange = exchange
        self.response_complete = False
        self.head_bytes = 0
        self.unparsed_bytes = 0
        self.uses += 1
        exchange.connection = self
        exchange.connection_uses = self.uses
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; abort on bytes that nothing asked for."""
        if self.exchange is None:
            # An unsolicited response: the next request on this connection
            # could mistake it for its own.
            self.abort()
            return
        self.unparsed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self.fail(Failure.MALFORMED, repr(exc))
            return
        if max(self.head_bytes, self.unparsed_bytes) > MAX_HEAD_BYTES:
            self.fail(Failure.MALFORMED, 'endless head')

    def eof_received(self) -> bool:
        """Complete a body that ends with the connection; let it close.

        Only the peer's own end is reported here, not a reset and not a close
        by this process.
        """
        exchange = self.exchange
        if exchange is not None and exchange.head and not self.framed:
            exchange.finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange unless it is complete."""
        self.closed = True
        exchange = self.exchange
        self.exchange = None
        if exchange is not None:
            exchange.fail(Failure.BROKEN, repr(exc))

    def on_message_begin(self) -> None:
        """Start a response; an extra one ends the connection's reuse."""
        self.headers = []
        self.head_bytes += LINE_OVERHEAD_BYTES
        if self.response_complete:
            self.reusable = False

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store a header or trailer of the current response."""
        self.unparsed_bytes = 0
        self.head_bytes += len(name) + len(content) + LINE_OVERHEAD_BYTES
        if self.head_bytes <= MAX_HEAD_BYTES:
            self.headers.append((name.lower(), content))

    def on_chunk_header(self) -> None:
        """Record that a chunk's size line is complete."""
        self.unparsed_bytes = 0

    def on_headers_complete(self) -> None:
        """Pass the head to the exchange if it belongs to its request.

        Interim responses and those to other requests are skipped.
        """
        exchange = self.exchange
        status = self.parser.get_status_code()
        if exchange is None or self.response_complete:
            return
        head = ResponseHead(status, self.headers)
        self.skipping_response = (
            status < FIRST_FINAL_STATUS or answers_other_request(exchange, head)
        )
        if self.skipping_response:
            return
        self.framed = head.framed
        self.read_keep_alive(head)
        exchange.head = head
        exchange.wake()

    def read_keep_alive(self, head: ResponseHead) -> None:
        """Read whether and for how long the connection may be reused."""
        connection = head.get(b'connection')
        if connection is not None and connection.lower() == b'close':
            self.reusable = False
        if not self.framed:
            self.reusable = False
        stated = head.get(b'keep-alive')
        if stated is None:
            return
        for part in stated.split(b','):
            name, _, value = part.strip().partition(b'=')
            if name.lower() == b'timeout' and value.isdigit():
                self.keep_alive_s = float(value)

    def on_body(self, body: bytes) -> None:
        """Pass a body chunk to the exchange; pause reading if it lags."""
        self.unparsed_bytes = 0
        exchange = self.exchange
        if exchange is None or self.response_complete:
            return
        if self.skipping_response:
            self.head_bytes += len(body)
            return
        exchange.chunks.append(body)
        exchange.unread_bytes += len(body)
        if exchange.unread_bytes > MAX_UNREAD_BYTES and not self.reading_paused:
            assert self.transport is not None
            self.reading_paused = True
            self.transport.pause_reading()
        exchange.wake()

    def on_message_complete(self) -> None:
        """Complete the exchange and release the connection."""
        exchange = self.exchange
        if exchange is None or self.response_complete:
            return
        if self.skipping_response:
            # The response to the current request is still to come.
            self.skipping_response = False
            return
        self.response_complete = True
        exchange.finish()
        asyncio.get_running_loop().call_soon(self.release)

    def release(self) -> None:
        """Return the connection to the pool, or close it.

        Runs after the received bytes have been parsed, so that an extra
        response among them is noticed. Unsent request bytes prevent reuse.
        """
        self.exchange = None
        transport = self.transport
        if self.closed or transport is None:
            return
        unsent = transport.get_write_buffer_size()
        if not self.reusable or unsent or transport.is_closing():
            transport.abort() if unsent else transport.close()
            self.closed = True
            return
        self.idle_since_s = time.monotonic()
        self.on_idle(self)

    def resume_reading(self) -> None:
        """Resume reading if it was paused and the connection is open."""
        if (
            self.reading_paused
            and self.transport is not None
            and not self.closed
        ):
            self.reading_paused = False
            self.transport.resume_reading()

    def fail(self, failure: Failure, detail: str) -> None:
        """Fail the exchange and abort the connection."""
        exchange = self.exchange
        self.abort()
        if exchange is not None:
            exchange.fail(failure, detail)

    def abort(self) -> None:
        """Close the connection immediately and detach its exchange."""
        self.closed = True
        self.exchange = None
        if self.transport is not None:
            self.transport.abort()


def answers_other_request(exchange: Exchange, head: ResponseHead) -> bool:
    """Tell whether a response echoes the id of another request."""
    if not exchange.echo_header:
        return False
    echoed = head.get(exchange.echo_header)
    return echoed is not None and echoed != exchange.expected_echo


@dataclass(slots=True)
class ConnectionPool:
    """Idle connections to one address, the most recently used last."""

    host: str
    port: int
    idle: list[Connection] = field(default_factory=list)

    def take(self, max_idle_s: float) -> Connection | None:
        """Remove and return a connection that can be reused, or None.

        Closes the connections that have been idle for too long.
        """
        now_s = time.monotonic()
        while self.idle:
            connection = self.idle.pop()
            idle_limit_s = min(
                max_idle_s, connection.keep_alive_s * KEEP_ALIVE_SHARE
            )
            if connection.closed:
                continue
            if now_s - connection.idle_since_s < idle_limit_s:
                return connection
            connection.abort()
        return None

    def add_idle(self, connection: Connection) -> None:
        """Add a connection that the next request may reuse."""
        self.idle.append(connection)

    def close_expired(self, now_s: float) -> None:
        """Close the connections that have been idle for too long."""
        kept = []
        for connection in self.idle:
            idle_limit_s = connection.keep_alive_s * KEEP_ALIVE_SHARE
            if connection.closed:
                continue
            if now_s - connection.idle_since_s < idle_limit_s:
                kept.append(connection)
            else:
                connection.abort()
        self.idle = kept


@dataclass(slots=True)
class HttpClient:
    """HTTP client with one connection pool for each address."""

    pools: dict[tuple[str, int], ConnectionPool] = field(default_factory=dict)
    active: set[Exchange] = field(default_factory=set)
    connections_opened: int = 0

    def pool(self, host: str, port: int) -> ConnectionPool:
        """Return the pool of an address, creating it if needed."""
        known = self.pools.get((host, port))
        if known is None:
            known = self.pools[host, port] = ConnectionPool(host, port)
        return known

    async def connect(
        self,
        pool: ConnectionPool,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> Connection:
        """Open a connection to the address of a pool.

        It joins the pool when it is idle after a request. Raises
        `ExchangeError` NOT_CONNECTED on an error or timeout.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: Connection(pool.add_idle),
                    pool.host,
                    pool.port,
                )
        except (OSError, TimeoutError) as exc:
            raise ExchangeError(Failure.NOT_CONNECTED, repr(exc)) from exc
        self.connections_opened += 1
        return connection

    async def start(
        self,
        host: str,
        port: int,
        request: bytes,
        exchange: Exchange,
        max_idle_s: float = DEFAULT_KEEP_ALIVE_S,
    ) -> None:
        """Send a request on a pooled or new connection.

        Raises `ExchangeError` NOT_CONNECTED if it was not sent.
        """
        pool = self.pool(host, port)
        connection = pool.take(max_idle_s) or await self.connect(pool)
        connection.send(exchange, request)

    def cancel_timed_out(self, now_s: float) -> None:
        """Cancel active exchanges that have expired; drop ended ones."""
        for exchange in list(self.active):
            if exchange.complete or exchange.failure is not None:
                self.active.discard(exchange)
            elif exchange.check_timeout(now_s):
                self.active.discard(exchange)

    def close_expired(self) -> None:
        """Close expired idle connections and drop empty pools."""
        now_s = time.monotonic()
        for address, pool in list(self.pools.items()):
            pool.close_expired(now_s)
            if not pool.idle:
                del self.pools[address]

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self.pools.values():
            for connection in pool.idle:
                connection.abort()
        self.pools.clear()


def encode_request(
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Encode an HTTP/1.1 request.

    Content-Length is left out only if a GET, DELETE or HEAD has no body.

    >>> encode_request(b'GET', b'/a', [(b'host', b'h')], b'')
    b'GET /a HTTP/1.1\\r\\nhost: h\\r\\n\\r\\n'
    """
    lines = [b'%b %b HTTP/1.1' % (method, target)]
    lines.extend(b'%b: %b' % pair for pair in headers)
    if body or method not in {b'GET', b'DELETE', b'HEAD'}:
        lines.append(b'content-length: %d' % len(body))
    return b'\r\n'.join([*lines, b'', body])
