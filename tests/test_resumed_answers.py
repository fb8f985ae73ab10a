"""Tests of streams that break off and go on at an engine that fails."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import anyio
import pytest

from entry_rig import Answer, Fleet, make_fleet, until

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
BEGIN = b'data: {"choices": [{"text": "begin"}]}\n\n'
FAULT = b'fault-text'


def response(status: bytes, body: bytes = b'{}') -> bytes:
    """Return a response with a length."""
    return b'HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b' % (
        status,
        len(body),
        body,
    )


ERRORS = {
    'rejected': response(b'400 Bad Request', FAULT),
    'json': response(
        b'422 Unprocessable', b'{"error": {"message": "fault-text"}}'
    ),
    'broken': response(b'500 Internal Server Error', FAULT),
    'unavailable': response(b'503 Service Unavailable', FAULT),
    'redirect': response(b'302 Found', FAULT),
    'no-stream': response(b'200 OK', FAULT),
    'error-event': HEAD + b'data: {"error": {"message": "fault-text"}}\n\n',
    'no-http': FAULT + b'\r\n\r\n',
    'nothing': b'',
}


class BreakingEngine:
    """Breaks off each stream, and answers what resumes it with an error."""

    def __init__(self, error: bytes) -> None:
        """Create an engine that resumes with `error`."""
        self.error = error

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request of a connection."""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b'\r\n\r\n')
            body = await reader.readexactly(body_length(head))
            writer.write(self.answer(head, body))
            await writer.drain()
        writer.close()

    def answer(self, head: bytes, body: bytes) -> bytes:
        """Return the bytes that answer a request."""
        if not head.startswith(b'POST /v1/completions'):
            return response(b'200 OK')
        return self.error if b'resume_tokens' in body else HEAD + BEGIN


def body_length(head: bytes) -> int:
    """Return the length that the head of a request states."""
    for line in head.lower().splitlines():
        name, _, value = line.partition(b':')
        if name == b'content-length':
            return int(value)
    return 0


@asynccontextmanager
async def breaking_fleet(error: bytes) -> AsyncIterator[Fleet]:
    """Run an entry before two engines that break off streams."""
    engine = BreakingEngine(error)
    listener = await asyncio.start_server(engine.serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    async with listener, make_fleet() as fleet:
        for name in ('engine-1', 'engine-2'):
            address = f'127.0.0.1:{port}'
            await fleet.add_sidecar(name, address, 'engine', 'orders')
        links = fleet.entry().fleet.links_of
        await until(lambda: len(links('orders')) == 2)
        yield fleet


def ask(error: bytes, *, stream: bool) -> Answer:
    """Return the answer to a request whose stream breaks off."""

    async def scenario() -> Answer:
        async with breaking_fleet(error) as fleet:
            return await fleet.complete(
                'prompt',
                stream=stream,
                headers={'X-Request-Timeout-Ms': '2000'},
            )

    return anyio.run(scenario)


@pytest.mark.parametrize('error', ERRORS.values(), ids=ERRORS)
def test_error_after_a_broken_stream_is_no_text(error: bytes) -> None:
    """Guards against an endpoint's error inside a caller's text.

    The stream ends with a visible error and not as if it were complete.
    """
    answer = ask(error, stream=True)
    assert answer.text in {'', 'begin'}
    assert not answer.whole
    assert b'HTTP/1.1' not in answer.body
    if answer.status == 200:
        assert answer.text == 'begin'
        assert b'event: error' in answer.body
        assert 'error' in answer.events()[-1]


@pytest.mark.parametrize('error', ERRORS.values(), ids=ERRORS)
def test_error_after_a_broken_answer_is_no_answer(error: bytes) -> None:
    """Guards against a complete document with part of a text."""
    answer = ask(error, stream=False)
    assert answer.status >= 400
    assert answer.error['ran'] != 'not_run'
