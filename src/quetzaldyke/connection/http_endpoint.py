"""HTTP connections to the endpoint on this instance.

Both the engine client and the service client use them. Only a failure to
connect proves that the endpoint did not receive a request; after any other
failure it may have.
"""

from __future__ import annotations

import re
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Final, Literal

import anyio
import httpcore
import orjson

from quetzaldyke.connection.http_connection import (
    HttpConnection,
    open_connection,
)
from quetzaldyke.connection.messages import Submit
from quetzaldyke.parts.hlc import MS_IN_S

KEEPALIVE_EXPIRY_S: Final = 4.0
MAX_IDLE_CONNECTIONS: Final = 64
CONTROL_TIMEOUT_S: Final = 2.0
FIRST_REDIRECT_STATUS: Final = 300
FIRST_CLIENT_ERROR_STATUS: Final = 400
CONFLICT: Final = 409
TOO_MANY_REQUESTS: Final = 429
# An endpoint answers with these to a request that it did not run. The
# connection is then closed: a late copy of such an answer would state the same
# of the next request.
NOT_RUN_STATUSES: Final = frozenset((CONFLICT, TOO_MANY_REQUESTS))
FIRST_SERVER_ERROR_STATUS: Final = 500
# A longer pause that an endpoint asks for is cut to this: one answer must not
# cost it its work.
MAX_RETRY_AFTER_S: Final = 5

# Headers that apply to a single connection and are not forwarded; also Host and
# Content-Length, which are set anew for each hop.
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

RETRY_AFTER_SECONDS: Final = re.compile('[0-9]{1,12}')

Ran = Literal['not_run', 'ran', 'unknown']
# `leaving`: the endpoint is up, but takes no new work.
Health = Literal['up', 'leaving', 'down']
UNAVAILABLE: Final = 503
DRAINING_STATUS: Final = 'draining'

# Reads the headers of one answer.
OnHead = Callable[[Sequence[tuple[bytes, bytes]]], None]


def ignore_head(_headers: Sequence[tuple[bytes, bytes]]) -> None:
    """Read nothing from an answer."""


@dataclass(frozen=True, slots=True)
class EndpointFailure:
    """The endpoint gave no complete answer."""

    ran: Ran
    reason: str
    broken: bool = False  # connection failed: the endpoint may have crashed
    # Time for which the endpoint asks for no more requests; 0 if it does not.
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer, without the text or chunks sent before its end."""

    status: int
    headers: dict[str, str]
    body: bytes = b''
    finish_reason: str = ''
    prompt_tokens: int = 0
    completion_tokens: int = 0


def make_pool() -> httpcore.AsyncConnectionPool:
    """Return a pool for commands that call the HTTP API of a process."""
    return httpcore.AsyncConnectionPool(keepalive_expiry=KEEPALIVE_EXPIRY_S)


@dataclass(slots=True)
class ConnectionPool:
    """Connections to one endpoint, each used by one request at a time.

    httpcore's pool compares all connections with each other when a request
    starts and ends, which is a third of the cost of a short request.
    """

    address: str
    idle: list[HttpConnection] = field(default_factory=list)
    # Called when a request is sent; returns what reads its answer's headers.
    watch_answer: Callable[[], OnHead] = field(default=lambda: ignore_head)

    async def acquire(self) -> HttpConnection:
        """Return an idle connection on which nothing came, or a new one."""
        while self.idle:
            connection = self.idle.pop()
            if connection.reusable:
                return connection
            await connection.aclose()
        return await open_connection(
            self.address, CONTROL_TIMEOUT_S, KEEPALIVE_EXPIRY_S
        )

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        path: str,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b'',
        read_s: float | None = None,
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and provide the response.

        `read_s` is the timeout of each read; None means no timeout.
        """
        connection = await self.acquire()
        read_head = self.watch_answer()
        reuse = False
        try:
            async with connection.stream(
                method,
                f'http://{self.address}{path}',
                headers=list(headers),
                content=body,
                extensions={
                    **timeout_extension(read_s),
                    # Taken from the URL, it would lose parameters behind a
                    # semicolon and the mark of an empty query.
                    'target': path.encode(),
                },
            ) as response:
                read_head(response.headers)
                yield response
                reuse = response.status not in NOT_RUN_STATUSES
        finally:
            await self.release(connection, reuse)

    async def release(self, connection: HttpConnection, reuse: bool) -> None:
        """Keep a connection whose answer ended cleanly; close any other."""
        reuse = reuse and connection.ended_cleanly
        if reuse and len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self.idle:
            await self.idle.pop().aclose()


def classify_error(exc: Exception) -> EndpointFailure:
    """Return whether a request may have run after a transport error."""
    name = type(exc).__name__
    if isinstance(exc, httpcore.LocalProtocolError):
        return EndpointFailure('not_run', 'malformed request')
    if isinstance(exc, NOT_SENT_ERRORS):
        reason = f'cannot connect to endpoint: {name}'
        return EndpointFailure('not_run', reason, broken=True)
    return EndpointFailure(
        'unknown', f'connection to endpoint failed: {name}', broken=True
    )


def end_to_end_headers(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the headers that are forwarded to the next hop.

    >>> end_to_end_headers({'Host': 'a', 'Accept': 'b'})
    [('Accept', 'b')]
    """
    return [
        (name, content)
        for name, content in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    ]


def request_headers(submit: Submit) -> list[tuple[str, str]]:
    """Return the headers of a request that is sent to the endpoint."""
    return [
        *end_to_end_headers(submit.headers),
        ('X-Request-Id', submit.request_id),
    ]


def response_headers(response: httpcore.Response) -> dict[str, str]:
    """Return the end-to-end headers of a response, in lower case."""
    named = {
        name.decode('latin-1').lower(): content.decode('latin-1')
        for name, content in response.headers
    }
    return dict(end_to_end_headers(named))


def retry_after_ms(headers: Mapping[str, str]) -> int:
    """Return the pause that a refusal asks for; 0 without a whole number.

    >>> retry_after_ms({'retry-after': '2'}), retry_after_ms({})
    (2000, 0)
    >>> retry_after_ms({'retry-after': 'Fri, 04 Dec 2026 09:00:00 GMT'})
    0
    """
    text = headers.get('retry-after', '')
    if not RETRY_AFTER_SECONDS.fullmatch(text):
        return 0
    return min(int(text), MAX_RETRY_AFTER_S) * MS_IN_S


def timeout_extension(read_s: float | None) -> dict[str, object]:
    """Return the httpcore timeout extension with this read timeout."""
    return {
        'timeout': {
            'connect': CONTROL_TIMEOUT_S,
            'pool': CONTROL_TIMEOUT_S,
            'write': None,
            'read': read_s,
        },
    }


async def read_body(response: httpcore.Response, limit: int) -> bytes:
    """Return the body of a response, truncated to `limit` bytes."""
    body = bytearray()
    async for part in response.aiter_stream():
        body += part
        if len(body) > limit:
            break
    return bytes(body[:limit])


def health_of(status: int, content: object, limit: int) -> Health:
    """Return what a health answer states; statuses below `limit` are sound.

    >>> health_of(503, {'status': 'draining'}, 500)
    'leaving'
    >>> health_of(503, None, 500), health_of(404, None, 500)
    ('down', 'up')
    """
    if status < limit:
        return 'up'
    named = content.get('status') if isinstance(content, dict) else None
    draining = status == UNAVAILABLE and named == DRAINING_STATUS
    return 'leaving' if draining else 'down'


def parse_json(raw: bytes | str) -> object:
    """Return the parsed content, or None if it is not valid JSON."""
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError:
        return None
