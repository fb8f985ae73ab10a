"""Tests of connections on which an endpoint or store writes too much."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

import anyio
import pytest
from result import Err, Ok

from quetzaldyke.connection.engine_client import EngineClient
from quetzaldyke.connection.http_client import HttpClient
from quetzaldyke.connection.http_endpoint import ConnectionPool
from quetzaldyke.connection.service_client import ServiceClient
from sidecar_rig import LIMIT_S, make_submit

pytestmark = pytest.mark.anyio

Ask = Callable[[], Awaitable[bytes]]
# More than one read of the client takes.
LARGE = 200_000


@pytest.fixture(
    params=[
        pytest.param(('asyncio', {'use_uvloop': False}), id='asyncio'),
        pytest.param(('asyncio', {'use_uvloop': True}), id='uvloop'),
    ]
)
def anyio_backend(request: pytest.FixtureRequest) -> object:
    """Run on both event loops: they deliver bytes and ends differently."""
    return request.param


def response(body: bytes, status: bytes = b'200 OK') -> bytes:
    """Return a response with a length."""
    return b'HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b' % (
        status,
        len(body),
        body,
    )


@dataclass(slots=True)
class RepeatingServer:
    """Numbers its requests and writes each answer twice."""

    delay_s: float = 0.0
    size: int = 1
    address: str = ''
    requests: int = 0
    repeated: asyncio.Event = field(default_factory=asyncio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                self.requests += 1
                body = b'%d' % self.requests * self.size
                answer = response(body)
                if self.delay_s:
                    writer.write(answer)
                    await asyncio.sleep(self.delay_s)
                    writer.write(answer)
                else:
                    writer.write(answer + answer)
                self.repeated.set()
        writer.close()


@asynccontextmanager
async def serving(server: RepeatingServer) -> AsyncIterator[RepeatingServer]:
    """Run a server for one test."""
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    async with listener:
        port = listener.sockets[0].getsockname()[1]
        server.address = f'127.0.0.1:{port}'
        with anyio.fail_after(LIMIT_S):
            yield server


def ask_endpoint(address: str) -> Ask:
    """Return what sends a request to an endpoint."""
    connections = ConnectionPool(address)

    async def ask() -> bytes:
        async with connections.stream('GET', '/') as answer:
            return await answer.aread()

    return ask


def ask_store(address: str) -> Ask:
    """Return what sends a request to the key-value service."""
    client = HttpClient(address, 1)

    async def ask() -> bytes:
        return (await client.request('GET', '/', b'', LIMIT_S)).content

    return ask


clients = pytest.mark.parametrize('make_ask', [ask_endpoint, ask_store])


@clients
@pytest.mark.parametrize('size', [1, LARGE])
async def test_second_answer_behind_the_first_is_not_the_next_answer(
    make_ask: Callable[[str], Ask], size: int
) -> None:
    """Guards against giving a repeated answer to the next request."""
    async with serving(RepeatingServer(size=size)) as server:
        ask = make_ask(server.address)
        assert [await ask(), await ask()] == [b'1' * size, b'2' * size]


@clients
async def test_late_second_answer_is_not_the_next_answer(
    make_ask: Callable[[str], Ask],
) -> None:
    """Guards against giving an answer that came while idle to a request."""
    async with serving(RepeatingServer(delay_s=0.02)) as server:
        ask = make_ask(server.address)
        for number in (b'1', b'2', b'3'):
            server.repeated.clear()
            assert await ask() == number
            await server.repeated.wait()
            await anyio.sleep(0.01)


async def test_late_copy_of_a_refusal_does_not_refuse_the_next_request() -> (
    None
):
    """Guards against reporting a request that the engine runs as not run.

    The copy comes after the request was written, when no check can see it.
    """
    refusal = response(b'', b'429 Too Many Requests')
    run: list[int] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(refusal)
            await reader.readuntil(b'\r\n\r\n')
            writer.write(refusal)
            run.append(1)
        writer.close()

    listener = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with listener:
        port = listener.sockets[0].getsockname()[1]
        client = EngineClient(ConnectionPool(f'127.0.0.1:{port}'))
        with anyio.fail_after(LIMIT_S):
            for _ in range(2):
                outcome = await client.run(make_submit(), ignore)
                assert isinstance(outcome, Err)
                assert outcome.err_value.ran == 'not_run'
    assert not run


async def test_answer_with_length_and_chunks_is_not_complete() -> None:
    """Guards against an answer whose end two headers state differently."""
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked'

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head + b'\r\n\r\n2\r\nab\r\n0\r\n\r\n')
        await reader.read()
        writer.close()

    listener = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with listener:
        port = listener.sockets[0].getsockname()[1]
        client = ServiceClient(ConnectionPool(f'127.0.0.1:{port}'))
        with anyio.fail_after(LIMIT_S):
            outcome = await client.run(make_submit(), ignore)
    assert not isinstance(outcome, Ok)
    assert outcome.err_value.ran == 'unknown'


@pytest.mark.parametrize(
    ('stated', 'connections'),
    [
        (b'timeout=0', 2),
        (b'max=9, Timeout=0', 2),
        (b'timeout=60', 1),
        (b'timeout=', 1),
        (b'timeout=-1', 1),
        (b'xtimeout=0', 1),
    ],
)
async def test_connection_is_not_reused_after_its_stated_timeout(
    stated: bytes, connections: int
) -> None:
    """Guards against a request on a connection that the endpoint closes."""
    opened: list[int] = []
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: %b\r\n\r\n'

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opened.append(1)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(answer % stated)
        writer.close()

    listener = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with listener:
        port = listener.sockets[0].getsockname()[1]
        ask = ask_endpoint(f'127.0.0.1:{port}')
        with anyio.fail_after(LIMIT_S):
            for _ in range(2):
                await ask()
                await anyio.sleep(0.01)
    assert len(opened) == connections


async def ignore(_: object) -> None:
    """Drop a part of an answer."""
