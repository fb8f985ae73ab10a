"""Tests of the HTTP client against endpoints that misbehave."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from unittest import mock

import pytest

from quetzaldyke.gateway.client_connection import (
    MAX_HEAD_BYTES,
    MAX_UNREAD_BYTES,
    Connection,
)
from quetzaldyke.gateway.exchange import Exchange, ExchangeError, Failure
from quetzaldyke.gateway.http_client import HttpClient, encode_request

pytestmark = pytest.mark.anyio
RESPONSE = b'HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok'


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@asynccontextmanager
async def endpoint(
    *responses: bytes,
    close: bool = True,
) -> AsyncIterator[int]:
    """Run a server that answers each request with the next given bytes."""
    remaining = list(responses)

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while remaining:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                return
            writer.write(remaining.pop(0))
            with suppress(ConnectionError):
                await writer.drain()
        if close:
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        yield server.sockets[0].getsockname()[1]


async def fetch(
    client: HttpClient,
    port: int,
    request_id: bytes = b'r1',
) -> tuple[int, bytes]:
    """Send a request and return status and body."""
    exchange = Exchange(b'x-id', request_id)
    request = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
    await client.start('127.0.0.1', port, request, exchange)
    try:
        async with asyncio.timeout(2):
            head = await exchange.read_head()
            return head.status, await exchange.read_body()
    finally:
        exchange.cancel()


async def test_connection_is_reused() -> None:
    """Guards against a new connection for every request."""
    client = HttpClient()
    second = RESPONSE.replace(b'r1', b'r2')
    async with endpoint(RESPONSE, second, close=False) as port:
        assert await fetch(client, port) == (200, b'ok')
        await asyncio.sleep(0)
        assert await fetch(client, port, b'r2') == (200, b'ok')
    assert client.connections_opened == 1


@pytest.mark.parametrize(
    ('response', 'failure'),
    [
        (b'', Failure.BROKEN),
        (RESPONSE[:-1], Failure.BROKEN),
        (b'HTTP/1.1 200 OK\r\nConte', Failure.BROKEN),
        (b'what is this\r\n\r\n', Failure.MALFORMED),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
            Failure.BROKEN,
        ),
    ],
)
async def test_truncated_response_is_not_complete(
    response: bytes,
    failure: Failure,
) -> None:
    """Guards against a truncated response that counts as complete."""
    async with endpoint(response) as port:
        with pytest.raises(ExchangeError) as caught:
            await fetch(HttpClient(), port)
    assert caught.value.failure is failure


async def test_response_without_a_length_ends_with_a_clean_close() -> None:
    """Guards against rejecting responses that end with the connection."""
    async with endpoint(
        b'HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nall of it'
    ) as port:
        assert await fetch(HttpClient(), port) == (200, b'all of it')


async def test_response_to_another_request_is_skipped() -> None:
    """Guards against callers that receive the late response of another."""
    stale = RESPONSE.replace(b'r1', b'r0').replace(b'ok', b'no')
    async with endpoint(stale + RESPONSE) as port:
        assert await fetch(HttpClient(), port) == (200, b'ok')


async def test_extra_response_ends_the_reuse() -> None:
    """Guards against an extra response that the next request receives."""
    client = HttpClient()
    async with endpoint(RESPONSE + RESPONSE, RESPONSE, close=False) as port:
        assert await fetch(client, port) == (200, b'ok')
        await asyncio.sleep(0)
        assert not client.pool('127.0.0.1', port).idle


async def test_late_extra_response_closes_the_idle_connection() -> None:
    """Guards against reuse of an idle connection that received bytes."""
    client = HttpClient()
    sent = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(RESPONSE)
        await asyncio.sleep(0.02)
        writer.write(RESPONSE)
        await writer.drain()
        sent.set()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        assert await fetch(client, port) == (200, b'ok')
        await sent.wait()
        await asyncio.sleep(0.02)
        assert client.pool('127.0.0.1', port).take(9.0, b'r2') is None


async def test_connection_close_ends_the_reuse() -> None:
    """Guards against reuse of a connection that the endpoint closes."""
    client = HttpClient()
    closing = RESPONSE.replace(b'X-Id', b'Connection: close\r\nX-Id')
    async with endpoint(closing, close=False) as port:
        assert await fetch(client, port) == (200, b'ok')
        await asyncio.sleep(0)
        assert not client.pool('127.0.0.1', port).idle


async def test_refused_connection_was_not_sent() -> None:
    """Guards against treating a request as run that no peer received."""
    async with endpoint() as port:
        free_port = port
    with pytest.raises(ExchangeError) as caught:
        await fetch(HttpClient(), free_port)
    assert caught.value.failure is Failure.NOT_CONNECTED


async def test_cancel_closes_the_connection() -> None:
    """Guards against endpoints that keep working after a caller has left."""
    reset_writers: list[Callable[[], None]] = []
    connection_closed = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        try:
            await reader.read()
        except ConnectionError:
            reset_writers.append(writer.close)
        connection_closed.set()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        exchange = Exchange()
        request = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
        await HttpClient().start('127.0.0.1', port, request, exchange)
        await asyncio.sleep(0.01)
        exchange.cancel()
        async with asyncio.timeout(2):
            await connection_closed.wait()
    with pytest.raises(ExchangeError):
        await exchange.read_head()


ENDLESS_BYTES = 8_000_000
CHUNKED = b'HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n'


def repeat(piece: bytes) -> bytes:
    """Return a piece repeated up to `ENDLESS_BYTES`."""
    return piece * (ENDLESS_BYTES // len(piece))


@pytest.mark.parametrize(
    'response',
    [
        b'HTTP/1.1 200 OK\r\nX-Long: ' + repeat(b'x'),
        b'HTTP/1.1 200 OK\r\n' + repeat(b'X-More: 1\r\n'),
        b'HTTP/1.1 200 ' + repeat(b'O'),
        repeat(b'HTTP/1.1 100 Continue\r\nX-More: 1\r\n\r\n'),
        CHUNKED + b'0\r\n' + repeat(b'X-Trailer: 1\r\n'),
        CHUNKED + b'2;' + repeat(b'x'),
        CHUNKED.replace(b'r1', b'r0') + repeat(b'1000\r\n%b\r\n' % bytes(4096)),
    ],
    ids=[
        'header',
        'headers',
        'status',
        'interim',
        'trailers',
        'chunk',
        'other',
    ],
)
async def test_endless_head_is_cut_off_with_bounded_memory(
    response: bytes,
) -> None:
    """Guards against a faulty peer whose head never ends."""
    received = mock.Mock(side_effect=Connection.data_received, autospec=True)
    async with endpoint(response, close=False) as port:
        client = HttpClient()
        with mock.patch.object(
            Connection, 'data_received', lambda *args: received(*args)
        ):
            with pytest.raises(ExchangeError) as caught:
                await fetch(client, port)
    assert caught.value.failure is Failure.MALFORMED
    sizes = [len(call.args[1]) for call in received.call_args_list]
    # Segments are checked as a whole, and a response may begin in one.
    assert sum(sizes) <= MAX_HEAD_BYTES + 2 * max(sizes)
    kept = received.call_args.args[0].headers
    assert sum(len(name) + len(text) for name, text in kept) <= MAX_HEAD_BYTES


async def test_endless_body_is_cut_off_with_bounded_memory() -> None:
    """Guards against a whole body that uses up the memory."""
    exchange = Exchange(b'x-id', b'r1')
    request = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
    body = repeat(b'1000\r\n%b\r\n' % bytes(4096))
    async with endpoint(CHUNKED + body, close=False) as port:
        await HttpClient().start('127.0.0.1', port, request, exchange)
        await exchange.read_head()
        with pytest.raises(ExchangeError) as caught:
            await exchange.read_body(max_bytes=100_000)
        assert exchange.unread_bytes <= 2 * MAX_UNREAD_BYTES
        exchange.cancel()
    assert caught.value.failure is Failure.MALFORMED


async def test_small_chunks_are_no_endless_head() -> None:
    """Guards against cutting off a sound response with much framing."""
    body = repeat(b'1;note=%b\r\nx\r\n' % bytes(100).replace(b'\0', b'y'))
    async with endpoint(CHUNKED + body + b'0\r\n\r\n') as port:
        status, received = await fetch(HttpClient(), port)
    assert (status, len(received)) == (200, body.count(b'\r\nx\r\n'))


async def test_log_fields_tell_how_an_answer_was_delimited() -> None:
    """Guards against logs that can't tell whose answer it was, or its end."""
    exchange = Exchange(b'x-id', b'r2')
    request = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
    unnamed = RESPONSE.replace(b'X-Id: r1\r\n', b'')
    async with endpoint(RESPONSE, unnamed, close=False) as port:
        client = HttpClient()
        await fetch(client, port)
        await asyncio.sleep(0)
        await client.start('127.0.0.1', port, request, exchange)
        with pytest.raises(ExchangeError):
            await exchange.read_body()
    assert exchange.describe() == {
        'delimited_by': 'length',
        'named': False,
        'uses': 2,
    }


async def test_connection_that_its_peer_has_ended_is_not_reused() -> None:
    """Guards against requests that are lost and count as possibly run.

    The event loop reports the end and, in a later iteration, the close.
    """
    client = HttpClient()
    pool = client.pool('127.0.0.1', 1)
    connection = Connection(pool.add_idle)
    connection.connection_made(mock.Mock())
    pool.add_idle(connection)
    connection.idle_since_s = time.monotonic()
    connection.eof_received()
    assert pool.take(9.0, b'') is None


# Guards against a trailer that counts as a header: it could state a limit, a
# pause or a request's id, or reach the caller.
async def test_trailer_is_no_header() -> None:
    """A trailer in the same segment as the head is not part of it."""
    exchange = Exchange(b'x-id', b'r1')
    request = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
    answer = CHUNKED + b'2\r\nok\r\n0\r\nServer-Limit: 1\r\n\r\n'
    async with endpoint(answer) as port:
        await HttpClient().start('127.0.0.1', port, request, exchange)
        head = await exchange.read_head()
        assert await exchange.read_body() == b'ok'
    assert head.get(b'server-limit') is None
