"""Tests of answers that may be another request's, or another try's."""

from __future__ import annotations

import asyncio

import pytest

from quetzaldyke.gateway.client_connection import MAX_CARRIED_REQUESTS
from quetzaldyke.gateway.exchange import (
    Exchange,
    ExchangeError,
    Failure,
    ResponseHead,
)
from quetzaldyke.gateway.http_client import (
    MAX_SKIPPED_CONNECTIONS,
    HttpClient,
    encode_request,
)
from raw_endpoint import RawEndpoint, raw_endpoint

pytestmark = pytest.mark.anyio


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, object]]:
    """Run on both event loops: the programs use uvloop, most tests don't."""
    return 'asyncio', {'use_uvloop': request.param}


def answer_to(request_id: bytes, body: bytes, status: bytes = b'200') -> bytes:
    """Return an answer that names its request and has a length."""
    return b'HTTP/1.1 %b Status\r\nX-Id: %b\r\nContent-Length: %d\r\n\r\n%b' % (
        status,
        request_id,
        len(body),
        body,
    )


REFUSAL = answer_to(b'r1', b'', b'503')


async def start(
    client: HttpClient, endpoint: RawEndpoint, request_id: bytes
) -> Exchange:
    """Send a request that expects its id in the answer."""
    exchange = Exchange(b'x-id', request_id)
    request = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
    await client.start('127.0.0.1', endpoint.port, request, exchange)
    return exchange


async def fetch(
    client: HttpClient, endpoint: RawEndpoint, request_id: bytes
) -> tuple[int, bytes]:
    """Send a request and return status and body of its answer."""
    async with asyncio.timeout(5):
        exchange = await start(client, endpoint, request_id)
        try:
            head = await exchange.read_head()
            return head.status, await exchange.read_body()
        finally:
            exchange.cancel()
            # Lets the connection go back to the pool.
            await asyncio.sleep(0)


# Guards against a refusal that is repeated on a kept connection and taken for
# the answer of a later try, which then runs although the caller is told that
# it does not, or runs at a second endpoint.
async def test_second_copy_is_no_answer_to_the_next_try() -> None:
    """A request's next try uses a connection that never carried it."""

    def answer(connection: int, request: int) -> bytes:
        if connection:
            return answer_to(b'r1', b'run')
        return REFUSAL if request == 0 else REFUSAL + answer_to(b'r1', b'run')

    async with raw_endpoint(answer) as endpoint:
        client = HttpClient()
        assert await fetch(client, endpoint, b'r1') == (503, b'')
        assert await fetch(client, endpoint, b'r1') == (200, b'run')
    assert client.connections_opened == 2


@pytest.mark.parametrize(
    'extra',
    [REFUSAL, REFUSAL[:1], REFUSAL[:-3], b'\r\n' + REFUSAL[:20]],
    ids=['whole', 'first byte', 'most', 'after an empty line'],
)
async def test_copy_behind_its_answer_ends_the_reuse(extra: bytes) -> None:
    """Guards against a copy that begins behind an answer and ends later."""
    async with raw_endpoint(lambda *_: REFUSAL + extra) as endpoint:
        client = HttpClient()
        assert await fetch(client, endpoint, b'r1') == (503, b'')
        assert not client.pool('127.0.0.1', endpoint.port).idle


async def test_copy_on_an_idle_connection_ends_the_reuse() -> None:
    """Guards against a copy that waits on an idle connection."""
    async with raw_endpoint(lambda *_: REFUSAL) as endpoint:
        client = HttpClient()
        assert await fetch(client, endpoint, b'r1') == (503, b'')
        (connection,) = client.pool('127.0.0.1', endpoint.port).idle
        endpoint.writers[0].write(REFUSAL[:9])
        async with asyncio.timeout(5):
            while not connection.closed:
                await asyncio.sleep(0.001)
        assert client.pool('127.0.0.1', endpoint.port).take(9.0, b'') is None


async def test_copy_after_the_next_request_is_skipped() -> None:
    """Guards against a copy that arrives once the next request was sent."""
    copy = answer_to(b'r1', b'late')

    def answer(_connection: int, request: int) -> bytes:
        if request == 0:
            return answer_to(b'r1', b'one')
        return copy + answer_to(b'r2', b'two')

    async with raw_endpoint(answer) as endpoint:
        client = HttpClient()
        assert await fetch(client, endpoint, b'r1') == (200, b'one')
        exchange = await start(client, endpoint, b'r2')
        async with asyncio.timeout(5):
            head: ResponseHead = await exchange.read_head()
            assert (head.status, await exchange.read_body()) == (200, b'two')


async def test_connections_are_not_reused_without_end() -> None:
    """Guards against a record of carried requests that grows without end."""

    def answer(_connection: int, _request: int) -> bytes:
        line = next(
            line
            for line in endpoint.requests[-1].split(b'\r\n')
            if line.startswith(b'GET')
        )
        return answer_to(line.split(b' ')[1][1:], b'x')

    async with raw_endpoint(answer) as endpoint:
        client = HttpClient()
        for number in range(MAX_CARRIED_REQUESTS + 1):
            request_id = b'%d' % number
            exchange = Exchange(b'x-id', request_id)
            request = encode_request(
                b'GET', b'/' + request_id, [(b'host', b'h')], b''
            )
            await client.start('127.0.0.1', endpoint.port, request, exchange)
            assert await exchange.read_body() == b'x'
            await asyncio.sleep(0)
    assert client.connections_opened == 2


async def test_search_for_a_connection_is_bounded() -> None:
    """Guards against a search that grows with the connections of a pool."""
    async with raw_endpoint(lambda *_: b'') as endpoint:
        client = HttpClient()
        pool = client.pool('127.0.0.1', endpoint.port)
        for _ in range(3 * MAX_SKIPPED_CONNECTIONS):
            connection = await client.connect(pool)
            connection.carried.add(hash(b'r1'))
            connection.release()
        idle = list(pool.idle)
        assert pool.take(9.0, b'r1') is None
        assert pool.idle == idle
        assert pool.take(9.0, b'r2') is idle[-1]
        client.close()


UNNAMED = b'HTTP/1.1 503 Status\r\nContent-Length: 0\r\n\r\n'
TWO_NAMES = UNNAMED.replace(b'Content', b'X-Id: r2\r\nX-Id: r1\r\nContent')
SAME_NAMES = UNNAMED.replace(b'Content', b'X-Id: r2\r\nX-Id: r2\r\nContent')


# Guards against a late answer without an id that reaches another caller, or
# that counts as a refusal of a request that runs.
@pytest.mark.parametrize('answer', [UNNAMED, TWO_NAMES], ids=['none', 'two'])
async def test_answer_that_names_no_request_proves_nothing(
    answer: bytes,
) -> None:
    """On a used connection such an answer is malformed and closes it."""
    first = answer_to(b'r1', b'one')
    async with raw_endpoint(
        lambda _, request: answer if request else first
    ) as endpoint:
        client = HttpClient()
        await fetch(client, endpoint, b'r1')
        with pytest.raises(ExchangeError) as raised:
            await fetch(client, endpoint, b'r2')
        assert not client.pool('127.0.0.1', endpoint.port).idle
    assert raised.value.failure is Failure.MALFORMED


async def test_answer_without_an_id_after_a_skipped_one_proves_nothing() -> (
    None
):
    """Guards against two late answers, one of them without an id."""
    late = answer_to(b'r0', b'late')
    async with raw_endpoint(lambda *_: late + UNNAMED) as endpoint:
        with pytest.raises(ExchangeError) as raised:
            await fetch(HttpClient(), endpoint, b'r1')
    assert raised.value.failure is Failure.MALFORMED


async def test_answer_without_an_id_on_a_new_connection_counts() -> None:
    """Guards against losing the answers of endpoints that name none."""
    async with raw_endpoint(lambda *_: UNNAMED) as endpoint:
        client = HttpClient()
        assert await fetch(client, endpoint, b'r1') == (503, b'')
        # Its second answer would be taken for that of the next request.
        assert not client.pool('127.0.0.1', endpoint.port).idle


async def test_id_that_is_named_twice_counts() -> None:
    """Guards against refusing an answer that repeats its own id."""
    async with raw_endpoint(lambda *_: SAME_NAMES) as endpoint:
        assert await fetch(HttpClient(), endpoint, b'r2') == (503, b'')


UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n'


# Guards against a caller whose answer ends with another one, or with its own a
# second time: behind an answer without length or chunks it is part of the body.
@pytest.mark.parametrize(
    'second',
    [answer_to(b'r0', b'late'), UNFRAMED + b'all', UNNAMED + UNFRAMED],
    ids=['other', 'own', 'unnamed first'],
)
async def test_second_answer_is_no_part_of_an_unframed_body(
    second: bytes,
) -> None:
    """A body that holds the head of a further answer is malformed."""
    answer = UNFRAMED + b'all' + second
    async with raw_endpoint(lambda *_: answer, closing=True) as endpoint:
        with pytest.raises(ExchangeError) as raised:
            await fetch(HttpClient(), endpoint, b'r1')
    assert raised.value.failure is Failure.MALFORMED


async def test_unframed_body_may_mention_a_status_line() -> None:
    """Guards against refusing a sound body that mentions the protocol."""
    body = b'HTTP/1.1 200 OK\nServer: x\n\nX-Id: r1'
    answer = UNFRAMED + body
    async with raw_endpoint(lambda *_: answer, closing=True) as endpoint:
        assert await fetch(HttpClient(), endpoint, b'r1') == (200, body)


# Guards against a request that waits until its timeout, because the late
# answer of another one has no end of its own.
async def test_other_answer_without_length_fails_at_once() -> None:
    """The answer that may follow it can't be told from its body."""
    late = UNFRAMED.replace(b'r1', b'r0') + b'late'
    async with raw_endpoint(
        lambda *_: late + answer_to(b'r1', b'own')
    ) as endpoint:
        with pytest.raises(ExchangeError) as raised:
            await fetch(HttpClient(), endpoint, b'r1')
    assert raised.value.failure is Failure.MALFORMED


@pytest.mark.parametrize('status', [b'204', b'304'])
async def test_status_without_a_body_needs_no_length(status: bytes) -> None:
    """Guards against a skipped answer without a body that fails the next."""
    late = b'HTTP/1.1 %b None\r\nX-Id: r0\r\n\r\n' % status
    async with raw_endpoint(
        lambda *_: late + answer_to(b'r1', b'own')
    ) as endpoint:
        client = HttpClient()
        exchange = await start(client, endpoint, b'r1')
        assert await exchange.read_body() == b'own'
        assert exchange.describe()['delimited_by'] == 'length'
