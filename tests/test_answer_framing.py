"""Tests of answers whose end the parser and the headers tell differently."""

from __future__ import annotations

import asyncio

import pytest

from quetzaldyke.gateway.client_connection import MAX_UNREAD_BYTES
from quetzaldyke.gateway.exchange import Exchange, ExchangeError, Failure
from quetzaldyke.gateway.http_client import HttpClient, encode_request
from raw_endpoint import RawEndpoint, raw_endpoint

pytestmark = pytest.mark.anyio

HEAD = b'HTTP/1.1 200 OK\r\nX-Id: r1\r\n'
CUT_CHUNKS = b'\r\n\r\n3\r\nabc\r\n'


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, object]]:
    """Run on both event loops: the programs use uvloop, most tests don't."""
    return 'asyncio', {'use_uvloop': request.param}


async def fetch(endpoint: RawEndpoint) -> bytes:
    """Send request `r1` and return the body of its answer."""
    exchange = Exchange(b'x-id', b'r1')
    request = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
    async with asyncio.timeout(5):
        await HttpClient().start('127.0.0.1', endpoint.port, request, exchange)
        return await exchange.read_body()


# Guards against an answer in chunks that the endpoint's close cuts off and
# that counts as whole, because its headers are read as those of an answer that
# ends with its connection.
@pytest.mark.parametrize(
    'headers',
    [
        b'Transfer-Encoding: chunked',
        b'Transfer-Encoding: chunked ',
        b'Transfer-Encoding: chunked\t',
        b'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked',
        b'Transfer-Encoding: gzip, chunked',
        b'Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip',
        b'Transfer-Encoding: chunked, identity',
        b'Transfer-Encoding: chunked;q=1',
        b'Transfer-Encoding: xchunked',
    ],
)
async def test_cut_chunks_are_not_a_whole_answer(headers: bytes) -> None:
    """An answer that is cut between two chunks fails."""
    answer = HEAD + headers + CUT_CHUNKS
    async with raw_endpoint(lambda *_: answer, closing=True) as endpoint:
        with pytest.raises(ExchangeError):
            await fetch(endpoint)


@pytest.mark.parametrize('coding', [b'gzip', b'gzip, chunked'])
async def test_coded_body_is_malformed(coding: bytes) -> None:
    """Guards against passing on a body that is coded for one connection."""
    answer = HEAD + b'Transfer-Encoding: ' + coding + b'\r\n\r\n0\r\n\r\n'
    async with raw_endpoint(lambda *_: answer, closing=True) as endpoint:
        with pytest.raises(ExchangeError) as raised:
            await fetch(endpoint)
    assert raised.value.failure is Failure.MALFORMED


async def test_identity_coding_ends_with_the_connection() -> None:
    """Guards against refusing the older way to state no coding."""
    answer = HEAD + b'Transfer-Encoding: identity\r\n\r\nabc'
    async with raw_endpoint(lambda *_: answer, closing=True) as endpoint:
        assert await fetch(endpoint) == b'abc'


async def test_switch_of_protocols_is_malformed() -> None:
    """Guards against an exception in the event loop, counted as a crash."""
    answer = (
        b'HTTP/1.1 101 Switching Protocols\r\nX-Id: r1\r\n'
        b'Connection: upgrade\r\nUpgrade: x\r\n\r\nabc'
    )
    async with raw_endpoint(lambda *_: answer) as endpoint:
        with pytest.raises(ExchangeError) as raised:
            await fetch(endpoint)
    assert raised.value.failure is Failure.MALFORMED


async def test_connection_of_an_answer_that_nobody_reads_is_usable() -> None:
    """Guards against a kept connection on which reading stays paused.

    Its next request would get no answer, and its end would go unnoticed.
    """
    body = b'x' * (MAX_UNREAD_BYTES + 1)
    large = HEAD + b'Content-Length: %d\r\n\r\n' % len(body) + body
    small = HEAD.replace(b'r1', b'r2') + b'Content-Length: 2\r\n\r\nok'
    async with raw_endpoint(
        lambda _, request: small if request else large
    ) as endpoint:
        client = HttpClient()
        request = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
        first = Exchange(b'x-id', b'r1')
        await client.start('127.0.0.1', endpoint.port, request, first)
        async with asyncio.timeout(5):
            while not first.complete:
                await asyncio.sleep(0.001)
            first.cancel()
            second = Exchange(b'x-id', b'r2')
            await client.start('127.0.0.1', endpoint.port, request, second)
            assert await second.read_body() == b'ok'
    assert client.connections_opened == 1
