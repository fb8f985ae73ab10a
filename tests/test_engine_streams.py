"""Tests of engine and service answers that end in unusual ways."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import pytest
from result import Err, Ok, Result

from quetzaldyke.connection.engine_client import EngineClient, TextDelta
from quetzaldyke.connection.http_endpoint import (
    Answer,
    ConnectionPool,
    EndpointFailure,
)
from quetzaldyke.connection.service_client import ServiceClient
from sidecar_rig import LIMIT_S, make_submit

pytestmark = pytest.mark.anyio

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
DONE = b'data: [DONE]\n\n'
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@pytest.fixture(
    params=[
        pytest.param(('asyncio', {'use_uvloop': False}), id='asyncio'),
        pytest.param(('asyncio', {'use_uvloop': True}), id='uvloop'),
    ]
)
def anyio_backend(request: pytest.FixtureRequest) -> object:
    """Run on both event loops: they deliver ends differently."""
    return request.param


def event(text: str) -> bytes:
    """Return the event of one piece of text."""
    return b'data: {"choices": [{"text": "%b"}]}\n\n' % text.encode()


@dataclass(slots=True)
class RawEndpoint:
    """Writes prepared pieces as its answer, then closes or resets."""

    pieces: tuple[bytes, ...]
    reset: bool = False
    stays_open: bool = False
    address: str = ''
    written: asyncio.Event = field(default_factory=asyncio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        await reader.readuntil(b'\r\n\r\n')
        for piece in self.pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.005)
        self.written.set()
        if self.stays_open:
            await reader.read()
        if self.reset:
            raw = writer.get_extra_info('socket')
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.close()


@asynccontextmanager
async def serving(endpoint: RawEndpoint) -> AsyncIterator[RawEndpoint]:
    """Run an endpoint for one test."""
    listener = await asyncio.start_server(endpoint.serve, '127.0.0.1', 0)
    async with listener:
        port = listener.sockets[0].getsockname()[1]
        endpoint.address = f'127.0.0.1:{port}'
        with anyio.fail_after(LIMIT_S):
            yield endpoint


async def run_stream(
    endpoint: RawEndpoint,
) -> tuple[str, Result[Answer, EndpointFailure]]:
    """Return the text and the outcome of one request to an engine."""
    texts: list[str] = []

    async def add(delta: TextDelta) -> None:
        texts.append(delta.text)

    async with serving(endpoint):
        client = EngineClient(ConnectionPool(endpoint.address))
        outcome = await client.run(make_submit(), add)
    return ''.join(texts), outcome


CUTS = {
    'between-events': (HEAD, event('a'), event('b')),
    'inside-event': (HEAD, event('a'), event('b')[:-5]),
    'inside-marker': (HEAD, event('a'), DONE[:-2]),
    'after-marker-line': (HEAD, event('a'), DONE[:-1]),
    'without-events': (HEAD,),
}


@pytest.mark.parametrize('reset', [False, True], ids=['closed', 'reset'])
@pytest.mark.parametrize('pieces', CUTS.values(), ids=CUTS)
async def test_unframed_stream_without_its_marker_is_not_complete(
    pieces: tuple[bytes, ...], reset: bool
) -> None:
    """Guards against taking the close of a cut stream for its end."""
    _, outcome = await run_stream(RawEndpoint(pieces, reset=reset))
    assert isinstance(outcome, Err)
    assert outcome.err_value.ran == 'unknown'
    assert outcome.err_value.broken


async def test_unframed_stream_with_its_marker_is_complete() -> None:
    """Guards against rejecting sound streams that end with the connection."""
    pieces = (HEAD, event('a'), event('b'), DONE)
    text, outcome = await run_stream(RawEndpoint(pieces))
    assert text == 'ab'
    assert isinstance(outcome, Ok)


@pytest.mark.parametrize('kind', [EngineClient, ServiceClient])
async def test_cancelled_unframed_answer_is_not_complete(
    kind: type[EngineClient] | type[ServiceClient],
) -> None:
    """Guards against taking the close that this process causes for the end."""
    endpoint = RawEndpoint((HEAD, event('a')), stays_open=True)
    outcomes: list[Result[Answer, EndpointFailure]] = []

    async def run() -> None:
        client = kind(ConnectionPool(endpoint.address))
        outcomes.append(await client.run(make_submit(), ignore))

    async with serving(endpoint), anyio.create_task_group() as group:
        group.start_soon(run)
        await endpoint.written.wait()
        group.cancel_scope.cancel()
    assert not outcomes


async def ignore(_: object) -> None:
    """Drop a part of an answer."""


@pytest.mark.parametrize('reset', [False, True], ids=['closed', 'reset'])
async def test_unframed_service_answer_is_complete_after_a_clean_close(
    reset: bool,
) -> None:
    """Guards against taking a reset for the end of a service's answer."""
    endpoint = RawEndpoint((HEAD, b'text'), reset=reset)
    async with serving(endpoint):
        client = ServiceClient(ConnectionPool(endpoint.address))
        outcome = await client.run(make_submit(), ignore)
    assert isinstance(outcome, Err) is reset
    if isinstance(outcome, Ok):
        assert outcome.ok_value.body == b'text'


async def test_second_answer_behind_the_marker_is_no_text() -> None:
    """Guards against appending the text of a second answer to the first."""
    whole = HEAD + event('a') + event('b') + DONE
    text, outcome = await run_stream(RawEndpoint((whole + whole,)))
    assert text == 'ab'
    assert isinstance(outcome, Ok)


SECOND_STARTS = {
    'between-events': event('a'),
    'after-data-line': event('a')[:-1],
    'inside-data': event('a')[:20],
    'inside-field-name': event('a') + b'da',
}


@pytest.mark.parametrize('first', SECOND_STARTS.values(), ids=SECOND_STARTS)
async def test_second_answer_inside_a_cut_stream_is_not_its_rest(
    first: bytes,
) -> None:
    """Guards against joining the text of two answers."""
    second = HEAD + event('a') + event('b') + DONE
    text, outcome = await run_stream(RawEndpoint((HEAD + first, second)))
    assert text in {'', 'a'}
    assert isinstance(outcome, Err)
    assert outcome.err_value.ran == 'unknown'


async def test_malformed_event_is_not_skipped() -> None:
    """Guards against a complete answer with a piece missing."""
    pieces = (
        HEAD,
        event('a'),
        b'data: {"choices": [{"te\n\n',
        event('c'),
        DONE,
    )
    text, outcome = await run_stream(RawEndpoint(pieces))
    assert text == 'a'
    assert isinstance(outcome, Err)


async def test_events_without_data_are_ignored() -> None:
    """Guards against failing a stream for the signs of life in it."""
    pieces = (
        HEAD,
        event('a'),
        b': ping\n\nevent: ping\n\nid: 7\nretry: 9\n\n',
        event('b'),
        DONE,
    )
    text, outcome = await run_stream(RawEndpoint(pieces))
    assert text == 'ab'
    assert isinstance(outcome, Ok)


@pytest.mark.parametrize('status', [b'302 Found', b'304 Not Modified'])
async def test_redirect_is_no_complete_answer(status: bytes) -> None:
    """Guards against ending a stream as complete, or an item, by a redirect."""
    head = b'HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n' % status
    _, outcome = await run_stream(RawEndpoint((head,)))
    assert isinstance(outcome, Err)
    assert outcome.err_value.ran == 'unknown'
