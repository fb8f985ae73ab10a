"""Tests of an engine whose answers have no end, in the sidecar's client."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

import anyio
import pytest
from result import Err

from quetzaldyke.connection.engine_client import EngineClient, TextDelta
from quetzaldyke.connection.event_reader import (
    MAX_EVENT_BYTES,
    EventReader,
    EventTooLongError,
)
from quetzaldyke.connection.http_endpoint import ConnectionPool
from quetzaldyke.connection.service_client import ServiceClient
from sidecar_rig import make_submit

pytestmark = pytest.mark.anyio

# Ends a test that hangs without the limit it checks.
HANG_S = 20.0
PIECE_BYTES = 65_536
# The engine waits for the client to close after so many pieces.
PIECES = 400
STREAM = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@dataclass(slots=True)
class EndlessEngine:
    """Repeats a piece of a chunked body until its client closes."""

    piece: bytes
    pause_s: float = 0.0
    address: str = ''
    sent_bytes: int = 0
    closed: anyio.Event = field(default_factory=anyio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(STREAM)
            for _ in range(PIECES):
                writer.write(b'%x\r\n%b\r\n' % (len(self.piece), self.piece))
                await writer.drain()
                self.sent_bytes += len(self.piece)
                await asyncio.sleep(self.pause_s)
            while await reader.read(PIECE_BYTES):
                continue
        self.closed.set()
        writer.close()


@asynccontextmanager
async def engine(
    piece: bytes, pause_s: float = 0.0
) -> AsyncIterator[EndlessEngine]:
    """Run an engine whose answers never end."""
    running = EndlessEngine(piece, pause_s)
    server = await asyncio.start_server(running.serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        running.address = f'127.0.0.1:{port}'
        with anyio.fail_after(HANG_S):
            yield running


async def ignore_text(delta: TextDelta) -> None:
    """Drop the text of a stream."""


@pytest.mark.parametrize(
    'piece',
    [b'x' * PIECE_BYTES, b'data: x\n' * (PIECE_BYTES // 8)],
    ids=['line', 'event'],
)
async def test_event_without_end_is_cut_off(piece: bytes) -> None:
    """Guards against an event that uses up the memory of the sidecar."""
    async with engine(piece) as endless:
        client = EngineClient(ConnectionPool(endless.address))
        outcome = await client.run(make_submit(), ignore_text)
        await endless.closed.wait()
    assert isinstance(outcome, Err)
    assert outcome.err_value.ran == 'unknown'
    assert endless.sent_bytes < PIECES * PIECE_BYTES


@pytest.mark.parametrize('client_kind', [EngineClient, ServiceClient])
async def test_health_answer_without_end_is_cut_off(
    client_kind: type[EngineClient | ServiceClient],
) -> None:
    """Guards against a health answer that uses up the memory."""
    async with engine(b'x' * PIECE_BYTES) as endless:
        client = client_kind(ConnectionPool(endless.address))
        assert await client.health() == 'down'
        await endless.closed.wait()
    assert endless.sent_bytes < PIECES * PIECE_BYTES


async def test_slow_control_answer_without_end_is_given_up() -> None:
    """Guards against a check that bytes now and then keep waiting for ever."""
    async with engine(b'x', pause_s=0.05) as endless:
        client = EngineClient(ConnectionPool(endless.address))
        outcome = await client.call('GET', '/health', read_s=0.1)
        await endless.closed.wait()
    assert isinstance(outcome, Err)
    assert endless.sent_bytes < PIECES


def test_comments_and_short_events_may_go_on_for_ever() -> None:
    """Guards against a limit that counts what has been passed on."""
    reader = EventReader()
    events = 0
    for _ in range(3 * MAX_EVENT_BYTES // 1_000):
        events += len(list(reader.feed(b': %b\ndata: a\n\n' % (b'x' * 1_000))))
    assert events == 3 * MAX_EVENT_BYTES // 1_000


def test_event_over_the_limit_is_an_error() -> None:
    """Guards against a limit that a line in many pieces evades."""
    reader = EventReader()
    with pytest.raises(EventTooLongError):
        for _ in range(2 * MAX_EVENT_BYTES):
            list(reader.feed(b'x'))
