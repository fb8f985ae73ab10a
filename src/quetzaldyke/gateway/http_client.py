"""HTTP/1.1 client with connection pools for endpoints and the store.

httpcore reports neither a response that arrives on an idle connection nor
bytes that follow a complete response. Either must end the reuse of the
connection, because its next response could belong to another request.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.client_connection import (
    DEFAULT_KEEP_ALIVE_S,
    Connection,
)
from quetzaldyke.gateway.connecting import open_connection
from quetzaldyke.gateway.exchange import Exchange, ExchangeError
from quetzaldyke.parts.byte_budget import ByteBudget

# Below the one second after which TCP retransmits a lost SYN.
CONNECT_TIMEOUT_S: Final = 0.4
# Share of the Keep-Alive timeout for which an idle connection is reused; the
# peer may close it a little before the stated time.
KEEP_ALIVE_SHARE: Final = 0.6
# Idle connections that are passed over for a request because they have carried
# it before; a new one is opened then. Few tries of a request reach the same
# endpoint, and the search must not grow with the pool.
MAX_SKIPPED_CONNECTIONS: Final = 4
# Bytes of all endpoints' answers in memory.
MAX_ANSWER_BYTES: Final = 16_777_216


@dataclass(slots=True)
class ConnectionPool:
    """Idle connections to one address, the most recently used last."""

    host: str
    port: int
    idle: list[Connection] = field(default_factory=list)

    def take(self, max_idle_s: float, request_id: bytes) -> Connection | None:
        """Remove and return a connection for a request, or None.

        Passes over connections that have carried the request, and closes
        those that have been idle for too long.
        """
        now_s = time.monotonic()
        skipped: list[Connection] = []
        found = None
        while self.idle and len(skipped) < MAX_SKIPPED_CONNECTIONS:
            connection = self.idle.pop()
            idle_limit_s = min(
                max_idle_s, connection.keep_alive_s * KEEP_ALIVE_SHARE
            )
            if connection.closed:
                continue
            if now_s - connection.idle_since_s >= idle_limit_s:
                connection.abort()
            elif connection.may_carry(request_id):
                found = connection
                break
            else:
                skipped.append(connection)
        self.idle.extend(reversed(skipped))
        return found

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
    # Bodies of endpoints' answers that are read or wait for their reader.
    answers: ByteBudget = field(
        default_factory=lambda: ByteBudget(MAX_ANSWER_BYTES)
    )

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
        connection = await open_connection(
            lambda: Connection(pool.add_idle), pool.host, pool.port, timeout_s
        )
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

        Raises `ExchangeError` if it was not sent: NOT_CONNECTED, or how the
        exchange was given up.
        """
        pool = self.pool(host, port)
        connection = pool.take(max_idle_s, exchange.expected_echo)
        if connection is None:
            connection = await self.connect(pool)
        if exchange.failure is not None:
            # It was given up while the connection was opened.
            connection.release()
            raise ExchangeError(exchange.failure, exchange.detail)
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
