"""Tests of answers whose head breaks off, at each of its bytes."""

from __future__ import annotations

import anyio
import pytest

from quetzaldyke.gateway.exchange import (
    Exchange,
    ExchangeError,
    Failure,
    ResponseHead,
)
from quetzaldyke.gateway.http_client import HttpClient, encode_request
from raw_endpoint import raw_endpoint

pytestmark = pytest.mark.anyio
# A request whose answer the cut has swallowed waits for more bytes.
ANSWER_TIMEOUT_S = 0.1
HEADS = {
    'length': (
        b'HTTP/1.1 200 All is well\r\nServer-Load: 1,0,8\r\n'
        b'Attempt-Id: r1\r\nResponse-Signature: s\r\nContent-Length: 5\r\n'
        b'Keep-Alive: timeout=4\r\n\r\n'
    ),
    'chunks': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
        b'Attempt-Id: r1\r\nResponse-Signature: s\r\n\r\n'
    ),
    'unframed': (
        b'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nAttempt-Id: r1\r\n\r\n'
    ),
}
FAILURE = (
    b'HTTP/1.1 500 Failed\r\nAttempt-Id: r2\r\nResponse-Signature: t\r\n'
    b'Content-Length: 6\r\n\r\nfailed'
)


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


async def call(
    client: HttpClient, port: int, request_id: bytes
) -> tuple[ResponseHead, bytes]:
    """Send a request and return the answer to it."""
    exchange = Exchange(b'attempt-id', request_id)
    headers = [(b'host', b'h'), (b'attempt-id', request_id)]
    request = encode_request(b'GET', b'/', headers, b'')
    await client.start('127.0.0.1', port, request, exchange)
    head = await exchange.read_head()
    return head, await exchange.read_body()


# Guards against a success with an empty body, framed as whole, for an answer
# whose endpoint stopped in the middle of its head and closed.
@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
async def test_head_that_breaks_off_is_no_answer(head: bytes) -> None:
    """Each cut is a broken exchange, whatever the head would have said."""
    sizes = iter(range(len(head)))
    client = HttpClient()
    async with raw_endpoint(
        lambda *_: head[: next(sizes)], closing=True
    ) as endpoint:
        for _ in range(len(head)):
            with anyio.fail_after(5), pytest.raises(ExchangeError) as raised:
                await call(client, endpoint.port, b'r1')
            assert raised.value.failure is Failure.BROKEN
    client.close()


# Guards against an answer that takes the status or a header of a late second
# copy of another answer, of which only a part of the head has arrived.
@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
async def test_part_of_a_copy_changes_no_answer(head: bytes) -> None:
    """The next request gets its own failure, or none at all."""
    whole = head.replace(b'Content-Length: 5', b'Content-Length: 0')
    first = HEADS['length'].replace(b'Content-Length: 5', b'Content-Length: 0')
    size = 0

    def answer(connection: int, request: int) -> bytes:
        return whole[:size] + FAILURE if request else first

    async with raw_endpoint(answer) as endpoint:
        for size in range(len(whole) + 1):
            client = HttpClient()
            await call(client, endpoint.port, b'r1')
            # The connection is released in a later iteration of the loop.
            await anyio.sleep(0.001)
            assert len(client.pool('127.0.0.1', endpoint.port).idle) == 1
            try:
                with anyio.fail_after(ANSWER_TIMEOUT_S):
                    got, body = await call(client, endpoint.port, b'r2')
            except (ExchangeError, TimeoutError):
                continue
            finally:
                client.close()
            assert (got.status, body) == (500, b'failed'), whole[:size]
            assert got.get(b'response-signature') == b't', whole[:size]
            assert got.get(b'server-load') is None, whole[:size]
