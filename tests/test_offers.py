"""Tests of the gateway's answers to odd heads, over sockets."""

from __future__ import annotations

import anyio
import pytest

from gateway_kit import make_route
from quetzaldyke.connection.http_server import HttpOptions, serve_http
from raw_endpoint import raw_endpoint
from test_broken_streams import make_ingress

pytestmark = pytest.mark.anyio
BODY = b'GET /p/bad HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: bad\r\n\r\n'
ANSWER = (
    b'HTTP/1.1 200 OK\r\nattempt-id: r\r\nresponse-signature: s\r\n'
    b'content-length: 2\r\n\r\nok'
)
OFFER = 'Host: h.example\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n'


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


# The first has its body in a later segment.
@pytest.mark.parametrize(
    ('lines', 'status', 'requests', 'metric'),
    [
        (f'{OFFER}Attempt-Id: r\r\n', 200, 1, 'upgrade_offers_total 1'),
        (f'{OFFER}Attempt-Id: r\r\nAttempt-Id: s\r\n', 400, 0, 'status="400"'),
        ('Attempt-Id: r\r\n', 400, 0, 'status="400"'),
        (f'{OFFER}Host: x\r\nAttempt-Id: r\r\n', 400, 0, 'reason="host"'),
    ],
    ids=['offer', 'two ids', 'no host', 'two hosts'],
)
async def test_caller_gets_one_answer(
    lines: str, status: int, requests: int, metric: str
) -> None:
    """Guards against a body that an endpoint runs, or that it never gets."""
    head = f'POST /p/x? HTTP/1.1\r\n{lines}Content-Length: {len(BODY)}\r\n\r\n'
    async with (
        raw_endpoint(lambda *_: ANSWER, closing=True) as endpoint,
        anyio.create_task_group() as group,
    ):
        ingress = make_ingress(make_route('idempotent'), endpoint.port)
        options = HttpOptions('127.0.0.1:0', drain_s=1)
        server = await group.start(serve_http, ingress, options, anyio.Event())
        host, _, port = server.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as caller:
            with anyio.fail_after(5):
                await caller.send(head.encode())
                await anyio.sleep(0.05)
                if 'Host: x' not in lines:
                    await caller.send(BODY)
                answer = await caller.receive()
        ingress.time_out_callers(server)
        group.cancel_scope.cancel()
    assert answer.startswith(b'HTTP/1.1 %d ' % status)
    assert metric in ingress.metrics.render()
    assert len(endpoint.requests) == requests
    for request in endpoint.requests:
        assert request.startswith(b'POST /p/x? HTTP/1.1\r\n')
        assert b'\r\ncontent-length: %d\r\n' % len(BODY) in request
        assert b'upgrade' not in request.lower()
