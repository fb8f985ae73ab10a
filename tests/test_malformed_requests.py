"""Tests of callers that send malformed bytes behind a request."""

from __future__ import annotations

from typing import Final

import anyio
import pytest

from quetzaldyke.connection.http_server import (
    HttpOptions,
    Receive,
    Scope,
    Send,
    serve_http,
)

pytestmark = pytest.mark.anyio
OPTIONS: Final = HttpOptions('127.0.0.1:0', drain_s=1, keep_alive_s=3600)
REQUEST: Final = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
CHUNKED: Final = (
    b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
)
MALFORMED: Final = b'MALFORMED\r\n\r\n'
STREAM: Final = (
    b'transfer-encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n'
)


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, object]]:
    """Run on both event loops: the programs use uvloop, most tests don't."""
    return 'asyncio', {'use_uvloop': request.param}


async def stream_app(scope: Scope, receive: Receive, send: Send) -> None:
    """Answer a whole request with a stream of two chunks."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return
        if not message['more_body']:
            break
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    for number, body in enumerate((b'a', b'b')):
        await send(
            {
                'type': 'http.response.body',
                'body': body,
                'more_body': not number,
            }
        )
        await anyio.sleep(0.05)


async def answers_to(*pieces: bytes) -> bytes:
    """Send pieces to the app; return all that is received until the close."""
    received = b''
    async with anyio.create_task_group() as group:
        stopping = anyio.Event()
        http = await group.start(serve_http, stream_app, OPTIONS, stopping)
        host, _, port = http.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            with anyio.fail_after(5):
                for piece in pieces:
                    await stream.send(piece)
                    await anyio.sleep(0.02)
                try:
                    while True:
                        received += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    pass
        group.cancel_scope.cancel()
    return received


# Guards against the head of an error in the middle of a stream, and against an
# error that is taken for the answer of a request that runs.
@pytest.mark.parametrize(
    'pieces',
    [
        (REQUEST + MALFORMED,),
        (REQUEST, MALFORMED),
        (REQUEST + CHUNKED + MALFORMED,),
        (REQUEST, CHUNKED, MALFORMED),
    ],
    ids=['at once', 'mid-stream', 'second body', 'second body mid-stream'],
)
async def test_error_comes_behind_the_answers_that_are_due(
    pieces: tuple[bytes, ...],
) -> None:
    """The request is answered in full, then the malformed bytes are."""
    received = await answers_to(*pieces)
    answer, _, error = received.partition(STREAM)
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert error.startswith(b'HTTP/1.1 400 ')
    assert received.count(b'HTTP/1.1') == 2


@pytest.mark.parametrize('start', [b'', CHUNKED], ids=['head', 'body'])
async def test_malformed_request_gets_an_error(start: bytes) -> None:
    """Guards against a malformed request that gets no answer."""
    received = await answers_to(start + MALFORMED)
    assert received.startswith(b'HTTP/1.1 400 ')
    assert received.count(b'HTTP/1.1') == 1
