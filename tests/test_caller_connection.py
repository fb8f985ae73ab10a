"""Tests of the timeouts of slow and idle caller connections."""

from __future__ import annotations

from typing import Final

import anyio
import pytest
from anyio.abc import SocketStream

from quetzaldyke.connection.caller_connection import (
    MAX_HEAD_BYTES,
    CallerConnection,
)
from quetzaldyke.connection.http_server import (
    HttpOptions,
    HttpServer,
    Receive,
    Scope,
    Send,
    serve_http,
)

HEADER_TIMEOUT_S: Final = 3.0
IDLE_TIMEOUT_S: Final = 15.0
pytestmark = pytest.mark.anyio
OPTIONS: Final = HttpOptions('127.0.0.1:0', drain_s=1, keep_alive_s=3600)
HEAD: Final = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n'


class SlowApp:
    """An app that reads a request and answers once `may_answer` is set."""

    def __init__(self) -> None:
        """Create an app that answers at once."""
        self.may_answer = anyio.Event()
        self.may_answer.set()
        self.entered = anyio.Event()

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        self.entered.set()
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            if not message['more_body']:
                break
        await self.may_answer.wait()
        start = {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', b'0')],
        }
        await send(start)
        await send({'type': 'http.response.body', 'body': b''})


async def exchange(
    sent: bytes,
    after_s: float,
    app: SlowApp,
) -> tuple[dict[str, int], bytes]:
    """Send bytes, let time pass and apply the timeouts.

    Returns the number of closed connections by kind of timeout, and the bytes
    received until the close.
    """
    stopping = anyio.Event()
    async with anyio.create_task_group() as group:
        http: HttpServer = await group.start(
            serve_http,
            app,
            OPTIONS,
            stopping,
        )
        host, port = http.address.split(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            if sent:
                await stream.send(sent)
            await until_received(http, sent)
            for channel in http.server.server_state.connections:
                assert isinstance(channel, CallerConnection)
                channel.last_active_s -= after_s
                if channel.head_started_s is not None:
                    channel.head_started_s -= after_s
            ended = http.time_out_callers(HEADER_TIMEOUT_S, IDLE_TIMEOUT_S)
            answer = await read_all(stream) if ended else b''
            app.may_answer.set()
        stopping.set()
        group.cancel_scope.cancel()
    return dict(ended), answer


async def until_received(http: HttpServer, sent: bytes) -> None:
    """Wait until the server has read the sent bytes."""
    with anyio.fail_after(5):
        while not http.server.server_state.connections:
            await anyio.sleep(0.01)
    # Bytes sent over loopback are read within a few event loop iterations.
    await anyio.sleep(0.05 if sent else 0)


async def read_all(stream: SocketStream) -> bytes:
    """Return all bytes received until the server closes."""
    received = b''
    with anyio.fail_after(5):
        while True:
            try:
                received += await stream.receive()
            except anyio.EndOfStream:
                return received


@pytest.mark.parametrize(
    ('sent', 'after_s', 'reason', 'answered'),
    [
        (b'POST / HTTP/1.1\r\nhost:', HEADER_TIMEOUT_S + 1, 'head', True),
        (b'POST / HTTP/1.1\r\nhost:', HEADER_TIMEOUT_S - 1, '', False),
        (HEAD + b'ab', IDLE_TIMEOUT_S + 1, 'body', True),
        (HEAD + b'ab', IDLE_TIMEOUT_S - 1, '', False),
        (b'', IDLE_TIMEOUT_S + 1, 'idle', False),
        (b'', IDLE_TIMEOUT_S - 1, '', False),
    ],
)
async def test_slow_connection_is_closed_at_its_timeout(
    sent: bytes,
    after_s: float,
    reason: str,
    answered: bool,
) -> None:
    """Guards against connections that use memory forever."""
    ended, answer = await exchange(sent, after_s, SlowApp())
    assert ended == ({reason: 1} if reason else {})
    assert answer.startswith(b'HTTP/1.1 408 ') == answered


async def test_complete_request_is_never_timed_out() -> None:
    """Guards against closing a connection as idle during a long answer."""
    app = SlowApp()
    app.may_answer = anyio.Event()
    ended, _ = await exchange(HEAD + b'abcd', IDLE_TIMEOUT_S * 10, app)
    assert app.entered.is_set()
    assert ended == {}


async def test_answer_is_not_cut_for_a_slow_second_request() -> None:
    """Guards against cutting an answer for the next request's head.

    The caller has sent a part of a second request while the first one is
    still being answered.
    """
    app = SlowApp()
    app.may_answer = anyio.Event()
    sent = HEAD + b'abcd' + b'POST / HTTP/1.1\r\nho'
    ended, _ = await exchange(sent, HEADER_TIMEOUT_S + 1, app)
    assert ended == {}


async def test_answer_is_not_cut_for_a_slow_second_body() -> None:
    """Guards against an error in an answer for the next request's body.

    The server doesn't read that body before the first request is answered.
    """
    app = SlowApp()
    app.may_answer = anyio.Event()
    sent = HEAD + b'abcd' + HEAD + b'ab'
    ended, _ = await exchange(sent, IDLE_TIMEOUT_S + 1, app)
    assert ended == {}


async def test_idle_time_counts_from_the_end_of_an_answer() -> None:
    """Guards against closing a connection right after a long answer."""
    app = SlowApp()
    app.may_answer = anyio.Event()
    stopping = anyio.Event()
    async with anyio.create_task_group() as group:
        http = await group.start(serve_http, app, OPTIONS, stopping)
        host, port = http.address.split(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(HEAD + b'abcd')
            await app.entered.wait()
            for channel in http.server.server_state.connections:
                channel.last_active_s -= IDLE_TIMEOUT_S + 1
            app.may_answer.set()
            with anyio.fail_after(5):
                assert (await stream.receive()).startswith(b'HTTP/1.1 200 ')
            assert not http.time_out_callers(HEADER_TIMEOUT_S, IDLE_TIMEOUT_S)
        group.cancel_scope.cancel()


@pytest.mark.parametrize('piece', [b'x' * 4096, b'x-more: 1\r\n' * 400])
async def test_head_without_end_is_cut_off(piece: bytes) -> None:
    """Guards against a caller whose endless head uses up the memory."""
    sent = 0
    async with anyio.create_task_group() as group:
        stopping = anyio.Event()
        http = await group.start(serve_http, SlowApp(), OPTIONS, stopping)
        host, _, port = http.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b'GET / HTTP/1.1\r\nhost: a\r\nx-long: ')
            with pytest.raises(anyio.BrokenResourceError):
                while sent < 100 * MAX_HEAD_BYTES:
                    await stream.send(piece)
                    sent += len(piece)
        stopping.set()
        group.cancel_scope.cancel()
    assert sent < 100 * MAX_HEAD_BYTES


CHUNKED_HEAD: Final = (
    b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
)


@pytest.mark.parametrize(
    ('start', 'piece'),
    [
        (b'1\r\na\r\n0\r\n', b'x-more: 1\r\n' * 400),
        (b'1\r\na\r\n0\r\nx-long: ', b'x' * 4096),
        (b'1\r\na\r\n1;', b'x' * 4096),
    ],
)
async def test_trailers_without_end_are_cut_off(
    start: bytes, piece: bytes
) -> None:
    """Guards against a caller whose endless trailers use up the memory."""
    sent = 0
    async with anyio.create_task_group() as group:
        stopping = anyio.Event()
        http = await group.start(serve_http, SlowApp(), OPTIONS, stopping)
        host, _, port = http.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(CHUNKED_HEAD + start)
            with pytest.raises(anyio.BrokenResourceError):
                while sent < 100 * MAX_HEAD_BYTES:
                    await stream.send(piece)
                    sent += len(piece)
        stopping.set()
        group.cancel_scope.cancel()
    assert sent < 100 * MAX_HEAD_BYTES


async def test_long_chunked_body_is_no_endless_trailer() -> None:
    """Guards against large requests that are taken for endless trailers."""
    app = SlowApp()
    async with anyio.create_task_group() as group:
        stopping = anyio.Event()
        http = await group.start(serve_http, app, OPTIONS, stopping)
        host, _, port = http.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(CHUNKED_HEAD)
            for _ in range(20):
                await stream.send(b'10000\r\n%b\r\n' % (b'x' * 65_536))
            await stream.send(b'0\r\nx-sum: 1\r\n\r\n')
            with anyio.fail_after(5):
                assert (await stream.receive()).startswith(b'HTTP/1.1 200 ')
        stopping.set()
        group.cancel_scope.cancel()


async def test_endless_head_does_not_cut_an_earlier_answer() -> None:
    """Guards against a refusal in the middle of another request's answer."""
    app = SlowApp()
    app.may_answer = anyio.Event()
    async with anyio.create_task_group() as group:
        stopping = anyio.Event()
        http = await group.start(serve_http, app, OPTIONS, stopping)
        host, _, port = http.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(HEAD + b'abcdGET / HTTP/1.1\r\nx-long: ')
            await app.entered.wait()
            with anyio.move_on_after(1):
                for _ in range(40):
                    await stream.send(b'x' * 65_536)
            app.may_answer.set()
            received = await read_until_reset(stream)
        stopping.set()
        group.cancel_scope.cancel()
    assert received.startswith(b'HTTP/1.1 200 OK')
    assert b'431' not in received.partition(b'\r\n\r\n')[0]


async def read_until_reset(stream: SocketStream) -> bytes:
    """Return all bytes until the server closes or resets the connection."""
    received = b''
    with anyio.fail_after(5):
        while True:
            try:
                received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return received
