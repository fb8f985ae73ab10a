"""Tests of answers whose head leaves their body or its end in doubt."""

from __future__ import annotations

import asyncio

import pytest

from quetzaldyke.gateway.exchange import Exchange, ExchangeError, Failure
from quetzaldyke.gateway.http_client import HttpClient, encode_request
from raw_endpoint import RawEndpoint, raw_endpoint

pytestmark = pytest.mark.anyio

HEAD = b'HTTP/1.1 200 OK\r\nX-Id: r1\r\n'
CHUNKS = b'2\r\nok\r\n0\r\n\r\n'


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, object]]:
    """Run on both event loops: the programs use uvloop, most tests don't."""
    return 'asyncio', {'use_uvloop': request.param}


async def start(client: HttpClient, endpoint: RawEndpoint) -> Exchange:
    """Send a request that expects its id in the answer."""
    exchange = Exchange(b'x-id', b'r1')
    request = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
    await client.start('127.0.0.1', endpoint.port, request, exchange)
    return exchange


# Guards against a body that this process decodes otherwise than its endpoint
# meant it, or forwards encoded without saying so.
@pytest.mark.parametrize(
    'answer',
    [
        HEAD
        + b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n'
        + CHUNKS,
        HEAD
        + b'Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n'
        + CHUNKS,
        HEAD + b'Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!',
        HEAD + b'Content-Length: 2\r\nContent-Length: 2\r\n\r\nok',
        HEAD + b'Content-Length: 2, 2\r\n\r\nok',
        HEAD + b'Content-Length: -2\r\n\r\nok',
        HEAD + b'Content-Length: ' + b'9' * 30 + b'\r\n\r\nok',
        HEAD + b'Transfer-Encoding: gzip\r\n\r\nok',
        HEAD + b'Transfer-Encoding: gzip, chunked\r\n\r\n' + CHUNKS,
        HEAD + b'Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok',
        HEAD.replace(b'200', b'999') + b'Content-Length: 2\r\n\r\nok',
        HEAD.replace(b'200 OK', b'101 Go')
        + b'Connection: upgrade\r\nUpgrade: x\r\n\r\nok',
    ],
    ids=[
        'length and chunks',
        'chunks and length',
        'two lengths',
        'same length twice',
        'list of lengths',
        'negative length',
        'length too large',
        'gzip',
        'gzip in chunks',
        'encoded',
        'status out of range',
        'upgrade',
    ],
)
async def test_answer_of_doubtful_form_is_malformed(answer: bytes) -> None:
    """No body of such an answer reaches a caller, and its connection ends."""
    loop = asyncio.get_running_loop()
    unhandled: list[object] = []
    loop.set_exception_handler(lambda _, context: unhandled.append(context))
    async with raw_endpoint(lambda *_: answer, closing=True) as endpoint:
        client = HttpClient()
        exchange = await start(client, endpoint)
        with pytest.raises(ExchangeError) as raised:
            async with asyncio.timeout(5):
                await exchange.read_body()
        assert not client.pool('127.0.0.1', endpoint.port).idle
    assert raised.value.failure is Failure.MALFORMED
    assert not unhandled


@pytest.mark.parametrize(
    'answer',
    [
        HEAD + b'Content-Encoding: identity\r\nContent-Length: 2\r\n\r\nok',
        HEAD + b'Transfer-Encoding: Chunked\r\n\r\n' + CHUNKS,
        HEAD + b'Content-Length: 2\r\n\r\nok',
        HEAD + b'\r\nok',
    ],
    ids=['identity', 'chunks', 'length', 'close'],
)
async def test_answer_of_sound_form_is_read(answer: bytes) -> None:
    """Guards against refusing an answer whose body is as the caller asked."""
    async with raw_endpoint(lambda *_: answer, closing=True) as endpoint:
        exchange = await start(HttpClient(), endpoint)
        assert await exchange.read_body() == b'ok'


@pytest.mark.parametrize('status', [b'204 None', b'304 Same'])
async def test_answer_without_a_body_is_complete_at_its_head(
    status: bytes,
) -> None:
    """Guards against waiting for a body that the status excludes."""
    answer = HEAD.replace(b'200 OK', status) + b'\r\n'
    async with raw_endpoint(lambda *_: answer) as endpoint:
        exchange = await start(HttpClient(), endpoint)
        async with asyncio.timeout(5):
            assert await exchange.read_body() == b''
        assert exchange.describe()['delimited_by'] == 'status'


# Guards against reusing a connection on which an endpoint still expects the
# rest of a body, and would take the next request for it.
async def test_early_answer_to_a_long_body_ends_the_reuse() -> None:
    """An answer before the body was read is whole; its connection ends."""
    early = b'HTTP/1.1 100 Continue\r\n\r\n' + HEAD
    early += b'Content-Length: 2\r\n\r\nok'
    answered = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(early)
        await answered.wait()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        client = HttpClient()
        exchange = Exchange(b'x-id', b'r1')
        request = encode_request(
            b'POST', b'/', [(b'host', b'h')], bytes(64_000_000)
        )
        await client.start('127.0.0.1', port, request, exchange)
        async with asyncio.timeout(20):
            assert await exchange.read_body() == b'ok'
        await asyncio.sleep(0)
        assert not client.pool('127.0.0.1', port).idle
        answered.set()
