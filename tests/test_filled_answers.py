"""Tests of truncated answers that a further answer fills up to their length."""

from __future__ import annotations

import anyio
import pytest

from gateway_kit import make_route
from quetzaldyke.gateway.exchange import Exchange, ExchangeError, Failure
from quetzaldyke.gateway.further_answers import holds_status_line
from quetzaldyke.gateway.http_client import HttpClient, encode_request
from quetzaldyke.gateway.model import RouteKind
from raw_endpoint import RawEndpoint, raw_endpoint
from test_broken_streams import REQUEST, fleet, read_to_end

pytestmark = pytest.mark.anyio
BODY = b'record 2; ' * 12
OTHER_BODY = b'record 1; ' * 12


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, object]]:
    """Run on both event loops: the programs use uvloop, most tests don't."""
    return 'asyncio', {'use_uvloop': request.param}


def answer_to(request_id: bytes, body: bytes, named: bool = True) -> bytes:
    """Return an answer with a length, its request's id and its proof."""
    name = b'Attempt-Id: %b\r\n' % request_id if named else b''
    return (
        b'HTTP/1.1 200 OK\r\n%bResponse-Signature: s.%b\r\n'
        b'Content-Length: %d\r\n\r\n%b' % (name, request_id, len(body), body)
    )


async def start(
    client: HttpClient, endpoint: RawEndpoint, request_id: bytes
) -> Exchange:
    """Send a request that expects its id in the answer."""
    exchange = Exchange(b'attempt-id', request_id)
    request = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
    await client.start('127.0.0.1', endpoint.port, request, exchange)
    return exchange


async def read(exchange: Exchange) -> bytes:
    """Return the body of an answer; its connection is idle afterwards."""
    with anyio.fail_after(5):
        await exchange.read_head()
        body = await exchange.read_body()
        # The connection is released in a later iteration of the loop.
        await anyio.sleep(0.001)
        return body


async def check_malformed(exchange: Exchange) -> None:
    """Check that an answer fails instead of having a body."""
    with pytest.raises(ExchangeError) as raised:
        await read(exchange)
    assert raised.value.failure is Failure.MALFORMED


# Guards against a success whose body ends in the answer to another request,
# wherever that one begins and whether or not it names its request.
@pytest.mark.parametrize('reused', [True, False], ids=['reused', 'new'])
@pytest.mark.parametrize('named', [True, False], ids=['named', 'unnamed'])
async def test_answer_filled_at_once_is_malformed(
    *, reused: bool, named: bool
) -> None:
    """Each cut of a body fails, down to its last byte."""
    other = answer_to(b'r1' if reused else b'r2', OTHER_BODY, named)
    missing = 0

    def answer(_connection: int, request: int) -> bytes:
        if reused and request == 0:
            return answer_to(b'r1', OTHER_BODY)
        return answer_to(b'r2', BODY)[:-missing] + other

    async with raw_endpoint(answer) as endpoint:
        for missing in range(1, len(BODY) + 1):
            client = HttpClient()
            if reused:
                assert await read(await start(client, endpoint, b'r1'))
            exchange = await start(client, endpoint, b'r2')
            await check_malformed(exchange)
            assert exchange.connection_uses == 1 + reused
            client.close()


# Guards against the same if the further answer comes later and ends with the
# body, so that nothing is left over behind it.
async def test_answer_filled_later_is_malformed() -> None:
    """A head of a request that the connection has carried is no text."""
    other = answer_to(b'r1', OTHER_BODY)
    whole = answer_to(b'r2', BODY + other)

    def answer(_connection: int, request: int) -> bytes:
        if request == 0:
            return other
        return whole[: -len(other)]

    async with raw_endpoint(answer) as endpoint:
        client = HttpClient()
        assert await read(await start(client, endpoint, b'r1')) == OTHER_BODY
        exchange = await start(client, endpoint, b'r2')
        with anyio.fail_after(5):
            await exchange.read_head()
            assert await exchange.read_chunk() == BODY
        endpoint.writers[0].write(other)
        await check_malformed(exchange)
        client.close()


@pytest.mark.parametrize(
    ('body', 'behind'),
    [
        (b'we got:\r\n' + answer_to(b'r9', b'ok') + b'\r\n', b''),
        (b'HTTP/1.1 200 OK\r\nServer: x', b''),
        (b'Attempt-Id: r1\r\nResponse-Signature: s\r\n', b''),
        (BODY, b'garbage'),
        (BODY, answer_to(b'r1', OTHER_BODY)),
        (b'HTTP/1.1 is old', b'garbage'),
    ],
    ids=[
        'head of a request sent elsewhere',
        'ends in a head',
        'header without a status line',
        'garbage behind it',
        'answer behind it',
        'version and garbage',
    ],
)
async def test_body_that_quotes_a_head_is_delivered(
    body: bytes, behind: bytes
) -> None:
    """Guards against refusing a whole body for text that it may hold."""

    def answer(_connection: int, request: int) -> bytes:
        if request == 0:
            return answer_to(b'r1', OTHER_BODY)
        return answer_to(b'r2', body) + behind

    async with raw_endpoint(answer) as endpoint:
        client = HttpClient()
        assert await read(await start(client, endpoint, b'r1')) == OTHER_BODY
        exchange = await start(client, endpoint, b'r2')
        assert await read(exchange) == body
        assert exchange.connection_uses == 2
        client.close()


FILLED = answer_to(b'r1', BODY)[:-50] + answer_to(b'r1', OTHER_BODY)


@pytest.mark.parametrize(
    ('kind', 'status', 'body'),
    [('idempotent', b'200', BODY), ('non_idempotent', b'502', b'')],
)
async def test_filled_answer_is_retried_or_fails(
    kind: RouteKind, status: bytes, body: bytes
) -> None:
    """Guards against passing such an answer on, or running it twice."""
    route = make_route(kind, resumable=False)
    answers = [FILLED, answer_to(b'r1', BODY)]
    request = REQUEST.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
    async with fleet(route, answers) as (endpoint, caller):
        await caller.send(request)
        received = await read_to_end(caller)
        assert len(endpoint.requests) == 1 + (kind == 'idempotent')
    head, _, received_body = received.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 ' + status)
    assert received_body == body


@pytest.mark.parametrize('size', range(1, 13))
def test_beginning_of_a_status_line_is_found(size: int) -> None:
    """Guards against a body whose last bytes begin a further answer."""
    begun = b'HTTP/1.0 503'[:size]
    assert holds_status_line(b'text' + begun)
    assert holds_status_line(begun)
    assert not holds_status_line(b'H' + begun[1:-1] + b'x')
