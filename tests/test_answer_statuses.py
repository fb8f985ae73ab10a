"""Tests of answers whose status is none, on connections that stay open."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

import anyio
import pytest

from gateway_kit import FakeTime, make_dispatcher, make_endpoint, make_route
from quetzaldyke.gateway.crashes import CrashTracker
from quetzaldyke.gateway.exchange import Exchange, ExchangeError, Failure
from quetzaldyke.gateway.http_client import HttpClient, encode_request
from quetzaldyke.gateway.model import RouteKind
from quetzaldyke.gateway.online_request import Progress, RelayContext
from quetzaldyke.gateway.relay import relay
from raw_endpoint import raw_endpoint
from test_gateway_attempts import FakeCaller, make_request
from test_unframed_answers import RunHarness

pytestmark = pytest.mark.anyio

HEAD: Final = (
    b'HTTP/1.1 %b\r\nAttempt-Id: %b\r\nResponse-Signature: s\r\n'
    b'Content-Length: 2\r\n\r\nok'
)
# The statuses that the parser refuses stand here, too.
STATUSES: Final = (
    b'000',
    b'000 OK',
    b'0',
    b'00',
    b'001 OK',
    b'020 OK',
    b'099 OK',
    b'20 OK',
    b'101 Switching Protocols',
    b'600 OK',
    b'999 OK',
    b'1000 OK',
    b'2000 OK',
    b'-20 OK',
    b'+200 OK',
    b'2x0 OK',
    b'OK',
    b'',
)
LIMIT_S: Final = 5.0


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


async def fetch(answer: bytes, *, closing: bool = False) -> tuple[int, bytes]:
    """Return status and body of the answer to a request."""
    client = HttpClient()
    async with raw_endpoint(lambda *_: answer, closing=closing) as endpoint:
        exchange = Exchange(b'attempt-id', b'i1')
        request = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
        await client.start('127.0.0.1', endpoint.port, request, exchange)
        try:
            with anyio.fail_after(LIMIT_S):
                head = await exchange.read_head()
                return head.status, await exchange.read_body()
        finally:
            exchange.cancel()
            assert not client.pool('127.0.0.1', endpoint.port).idle


# Guards against an answer whose status is none that is delivered, or that is
# skipped as if a further answer were to come, until the request's time is over.
@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('further', [False, True], ids=['alone', 'further'])
async def test_answer_with_an_odd_status_fails_at_once(
    status: bytes, further: bool
) -> None:
    """It is malformed, whatever comes behind it."""
    answer = HEAD % (status, b'i1')
    if further:
        answer += HEAD % (b'200 OK', b'i1')
    with pytest.raises(ExchangeError) as raised:
        await fetch(answer)
    assert raised.value.failure is Failure.MALFORMED


@pytest.mark.parametrize('status', [b'000 OK', b'099 OK', b'600 OK'])
async def test_unframed_answer_with_an_odd_status_is_malformed(
    status: bytes,
) -> None:
    """Guards against an end of the connection that hides the fault."""
    answer = b'HTTP/1.1 %b\r\nResponse-Signature: s\r\n\r\nok' % status
    with pytest.raises(ExchangeError) as raised:
        await fetch(answer, closing=True)
    assert raised.value.failure is Failure.MALFORMED


async def test_switch_of_protocols_alone_is_malformed() -> None:
    """Guards against waiting for an answer behind one of another protocol."""
    with pytest.raises(ExchangeError) as raised:
        await fetch(b'HTTP/1.1 101 Switching Protocols\r\n\r\n')
    assert raised.value.failure is Failure.MALFORMED


# Guards against an interim answer whose body swallows the final one.
@pytest.mark.parametrize('status', [b'100 Continue', b'103 Hints', b'199 -'])
@pytest.mark.parametrize(
    'framing', [b'Content-Length: 900', b'Transfer-Encoding: chunked']
)
async def test_interim_answer_with_a_body_is_malformed(
    status: bytes, framing: bytes
) -> None:
    """No interim answer has a body."""
    interim = b'HTTP/1.1 %b\r\n%b\r\n\r\n' % (status, framing)
    with pytest.raises(ExchangeError) as raised:
        await fetch(interim + HEAD % (b'200 OK', b'i1'))
    assert raised.value.failure is Failure.MALFORMED


@pytest.mark.parametrize(
    'status', [b'100 Continue', b'102 Processing', b'103 Hints', b'199 -']
)
async def test_interim_answer_is_skipped(status: bytes) -> None:
    """Guards against refusing the answer behind an interim one."""
    interim = b'HTTP/1.1 %b\r\nLink: a\r\n\r\n' % status
    final = HEAD % (b'200 OK', b'i1') + b'!'
    assert await fetch(interim + final) == (200, b'ok')


# Guards against a caller that waits for its whole time, or gets the odd status,
# and against a second run of a request that may run once.
@pytest.mark.parametrize(
    ('kind', 'attempts'), [('idempotent', 2), ('non_idempotent', 1)]
)
@pytest.mark.parametrize('status', [b'000 OK', b'099 OK', b'600 OK'])
async def test_caller_gets_no_odd_status(
    status: bytes, kind: RouteKind, attempts: int
) -> None:
    """Two endpoints that send such answers lead to a 502."""
    time = FakeTime()
    answer = HEAD % (status, b'r1')
    async with raw_endpoint(lambda *_: answer) as endpoint:
        dispatcher = make_dispatcher(
            time,
            *(
                replace(make_endpoint(name), port=endpoint.port)
                for name in ('a', 'b')
            ),
        )
        caller, progress = FakeCaller(), Progress()
        with anyio.fail_after(LIMIT_S):
            await relay(
                RelayContext(
                    dispatcher,
                    HttpClient(),
                    CrashTracker(),
                    time.read,
                    lambda *args, **fields: None,
                ),
                make_request(make_route(kind, resumable=False), time.now_s),
                caller,
                progress,
            )
    assert caller.status == 502
    assert progress.attempts == attempts


@pytest.mark.parametrize('status', [b'000 OK', b'099 OK', b'600 OK'])
async def test_item_is_interrupted_by_an_odd_status(status: bytes) -> None:
    """Guards against items that such an answer fails, ends or holds up."""
    answer = HEAD % (status, b'i1')
    async with raw_endpoint(lambda *_: answer) as endpoint:
        harness = RunHarness.at(endpoint.port)
        with anyio.fail_after(LIMIT_S):
            await harness.run.run()
    progress = harness.run.progress
    assert harness.results == []
    assert (progress.interruptions, progress.failures) == (1, 0)
