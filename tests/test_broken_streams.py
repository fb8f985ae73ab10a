"""Tests of what a caller reads of a stream that broke off after its start.

The endpoints send raw bytes; the callers read those of the real server.
"""

from __future__ import annotations

import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from unittest import mock

import anyio
import pytest
from anyio.abc import SocketStream

from gateway_kit import FakeTime, make_dispatcher, make_endpoint, make_route
from quetzaldyke.connection.http_server import (
    HttpOptions,
    HttpServer,
    serve_http,
)
from quetzaldyke.gateway.configuration_feed import ConfigurationFeed
from quetzaldyke.gateway.crashes import CrashTracker
from quetzaldyke.gateway.event_stream import EventSplitter
from quetzaldyke.gateway.exchange import Exchange
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.ingress import Ingress
from quetzaldyke.gateway.item_run import ItemRun
from quetzaldyke.gateway.key_check import KeyCheck
from quetzaldyke.gateway.model import CallerLimits, Configuration, Route
from quetzaldyke.gateway.online_request import RelayContext
from quetzaldyke.process.metrics import Metrics
from raw_endpoint import RawEndpoint, raw_endpoint
from test_unframed_answers import RunHarness

pytestmark = pytest.mark.anyio

NAMED = b'Attempt-Id: r1\r\nResponse-Signature: s\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n' + NAMED
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
THIRD = b'id: 3\ndata: c\n\n'
LAST_CHUNK = b'0\r\n\r\n'


def chunk(body: bytes) -> bytes:
    """Return a chunk of a body."""
    return b'%x\r\n%b\r\n' % (len(body), body)


CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
BROKEN = CHUNKED + chunk(EVENTS + b'id: 3\nda')
WHOLE = CHUNKED + chunk(EVENTS) + LAST_CHUNK


def sized(status: bytes, headers: bytes, body: bytes) -> bytes:
    """Return an answer with a length."""
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    return b'HTTP/1.1 %b Status\r\n' % status + headers + length + body


TEXT = b'error: busy\n\n<p>busy</p>\n\nid: x\n\n'
REFUSAL = sized(b'503', NAMED + b'Not-Executed: 1\r\n', TEXT)
# What the next endpoint answers to the resumption of a stream.
ERRORS = {
    'refusal': REFUSAL,
    'refusal without text': sized(b'429', NAMED + b'Not-Executed: 1\r\n', b''),
    'misdirected': sized(b'421', NAMED, TEXT),
    'server error': sized(b'500', NAMED, TEXT),
    'timeout': sized(b'504', NAMED, TEXT),
    'client error': sized(b'422', NAMED, TEXT),
    'accepted': sized(b'202', NAMED, TEXT),
    'no content': b'HTTP/1.1 204 None\r\n' + NAMED + b'\r\n',
    'redirection': sized(b'302', NAMED, TEXT),
    'other type': sized(b'200', NAMED + b'Content-Type: text/html\r\n', TEXT),
    'json': sized(b'200', NAMED, b'{"error": \n\n"busy"}\n\n'),
    'no proof': sized(b'200', b'Attempt-Id: r1\r\n', THIRD),
    'garbage': b'what is this?\r\n\r\n' + TEXT,
    'unframed error': b'HTTP/1.1 500 Busy\r\n' + NAMED + b'\r\n' + TEXT,
    'head behind a head': HEAD + b'\r\n' + REFUSAL + TEXT,
    'other answer behind a head': HEAD + b'\r\n' + CHUNKED + chunk(TEXT),
    'other events': CHUNKED + chunk(b'id: 9\ndata: x\n\n') + LAST_CHUNK,
    'encoded': sized(b'200', NAMED + b'Content-Encoding: gzip\r\n', THIRD),
    'other chunks': CHUNKED + chunk(TEXT) + LAST_CHUNK,
    'no events': HEAD + b'\r\n',
}


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, object]]:
    """Run on both event loops: the programs use uvloop, most tests don't."""
    return 'asyncio', {'use_uvloop': request.param}


class MonotonicTime(FakeTime):
    """The time of the machine, so that requests expire."""

    def read(self) -> float:
        """Return the time in seconds."""
        return time.monotonic()


async def no_job(*_: object) -> bool:
    """Leave a request to the routes."""
    return False


def make_ingress(route: Route, port: int) -> Ingress:
    """Return an ingress with a route to two endpoints of the same address."""
    now = MonotonicTime(time.monotonic())
    endpoints = [
        replace(make_endpoint(name), host='127.0.0.1', port=port)
        for name in ('e1', 'e2')
    ]
    context = RelayContext(
        make_dispatcher(now, *endpoints),
        HttpClient(),
        CrashTracker(),
        now.read,
        lambda *args, **fields: None,
    )
    metrics = Metrics()
    ingress = Ingress(
        context,
        metrics,
        random.Random(1),
        no_job,
        lambda: True,
        KeyCheck(ConfigurationFeed(now.read, lambda _: None), metrics),
    )
    ingress.configure(Configuration(1, (route,), {}, CallerLimits()))
    return ingress


@asynccontextmanager
async def fleet(
    route: Route, answers: list[bytes]
) -> AsyncIterator[tuple[RawEndpoint, SocketStream]]:
    """Run endpoints that give these answers, and an entry with a caller."""
    remaining = list(answers)
    options = HttpOptions('127.0.0.1:0', drain_s=1)
    async with (
        raw_endpoint(lambda *_: remaining.pop(0), closing=True) as endpoint,
        anyio.create_task_group() as group,
    ):
        stopping = anyio.Event()
        server: HttpServer = await group.start(
            serve_http, make_ingress(route, endpoint.port), options, stopping
        )
        host, _, port = server.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as caller:
            yield endpoint, caller
        stopping.set()


REQUEST = (
    b'POST /p/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r1\r\n'
    b'Deadline-Ms: 800\r\nContent-Length: 0\r\n\r\n'
)


async def read_to_end(caller: SocketStream) -> bytes:
    """Return all that a caller gets until its connection is closed."""
    received = b''
    with anyio.fail_after(10):
        try:
            while True:
                received += await caller.receive()
        except anyio.EndOfStream:
            return received


async def read_whole(caller: SocketStream) -> bytes:
    """Return what a caller gets up to the end of a chunked body."""
    received = b''
    with anyio.fail_after(10):
        while not received.endswith(LAST_CHUNK):
            received += await caller.receive()
    return received


def check_broken(received: bytes) -> None:
    """Check that one head and only whole events came, without an end."""
    head, _, body = received.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200 ')
    assert b'transfer-encoding: chunked' in head.lower()
    assert body == chunk(EVENTS)


# Guards against the text or the head of the next endpoint's error in the middle
# of a caller's stream, and against a stream that then ends as if complete.
@pytest.mark.parametrize('answer', ERRORS.values(), ids=ERRORS)
async def test_error_of_the_next_endpoint_is_no_part_of_a_stream(
    answer: bytes,
) -> None:
    """The caller gets the whole events and a connection without an end."""
    route = make_route(resumable=True)
    answers = [BROKEN, answer, answer, answer, answer, answer]
    async with fleet(route, answers) as (endpoint, caller):
        await caller.send(REQUEST)
        check_broken(await read_to_end(caller))
        assert len(endpoint.requests) > 1
        assert b'last-event-id: 2\r\n' in endpoint.requests[1]


async def test_stream_that_may_not_resume_ends_without_its_end() -> None:
    """Guards against a second endpoint in a stream that may run once."""
    route = make_route(resumable=False)
    async with fleet(route, [BROKEN, REFUSAL]) as (endpoint, caller):
        await caller.send(REQUEST)
        check_broken(await read_to_end(caller))
        assert len(endpoint.requests) == 1


async def test_resumed_stream_is_whole() -> None:
    """Guards against breaking the streams that can be resumed.

    A further answer without events confirms the end of the second one.
    """
    rest = HEAD + b'\r\n' + THIRD
    nothing = HEAD + b'\r\n'
    async with fleet(make_route(), [BROKEN, rest, nothing]) as (_, caller):
        await caller.send(REQUEST)
        received = await read_whole(caller)
    body = received.partition(b'\r\n\r\n')[2]
    assert body == chunk(EVENTS) + chunk(THIRD) + LAST_CHUNK


# Guards against a caller that reads the next answer as the rest of its stream.
async def test_next_request_of_a_kept_connection_gets_no_answer() -> None:
    """A broken stream ends its connection, whatever was sent behind it."""
    answers = [WHOLE, BROKEN, ERRORS['server error'], WHOLE]
    async with fleet(make_route(), answers) as (_, caller):
        await caller.send(REQUEST)
        received = await read_whole(caller)
        assert received.partition(b'\r\n\r\n')[2] == chunk(EVENTS) + LAST_CHUNK
        await caller.send(REQUEST + REQUEST)
        check_broken(await read_to_end(caller))


async def test_unexpected_error_ends_a_stream_without_its_end() -> None:
    """Guards against an end that looks normal after a fault of this process."""
    feed = mock.Mock(side_effect=[EVENTS, RuntimeError('fault')])
    whole = CHUNKED + chunk(EVENTS) + chunk(THIRD) + LAST_CHUNK
    with mock.patch.object(EventSplitter, 'feed', feed):
        async with fleet(make_route(), [whole, whole]) as (_, caller):
            await caller.send(REQUEST)
            check_broken(await read_to_end(caller))


# Guards against a batch result that holds the text of an error, or that is
# completed by it.
@pytest.mark.parametrize('answer', ERRORS.values(), ids=ERRORS)
async def test_error_of_the_next_endpoint_is_no_part_of_a_result(
    answer: bytes,
) -> None:
    """An item whose run broke off keeps its events and is still owed.

    It starts over if the answer may have been whole but can't show it.
    """
    answers = [
        raw.replace(b'Attempt-Id: r1', b'Attempt-Id: i1')
        for raw in (BROKEN, answer)
    ]
    async with raw_endpoint(
        lambda *_: answers.pop(0), closing=True
    ) as endpoint:
        harness = RunHarness.at(endpoint.port)
        run = harness.run
        await run.run()
        assert run.progress.outputs == [b'a', b'b']
        dispatcher = run.context.dispatcher
        again = ItemRun(
            run.context,
            run.job,
            run.progress,
            dispatcher.acquire_on(run.reservation.endpoint, online=False),
            Exchange(b'attempt-id', b'i1'),
        )
        await again.run()
        assert b'last-event-id: 2\r\n' in endpoint.requests[1]
    starts_over = answer == ERRORS['no events']
    assert run.progress.outputs == ([] if starts_over else [b'a', b'b'])
    assert True not in harness.results
