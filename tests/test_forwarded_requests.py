"""Tests of what the product's own interface forwards to endpoints."""

from __future__ import annotations

import anyio
import pytest
from starlette.requests import Request

from entry_rig import make_fleet, uuid7
from quetzaldyke.connection.http_endpoint import ConnectionPool
from quetzaldyke.connection.strict_connection import TARGET_EXTENSION
from quetzaldyke.process.forwarded_requests import (
    forwarded_headers,
    service_path,
)
from raw_endpoint import raw_endpoint

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'


@pytest.mark.parametrize(
    ('target', 'path'),
    [
        (b'/services/p', '/'),
        (b'/services/p?', '/?'),
        (b'/services/p/a%2Fb/;c=d?e?', '/a%2Fb/;c=d?e?'),
        (b'/services/p//a', '//a'),
        (b'/services/p%2Fa/b', None),
        (b'/services/%70/a', None),
        (b'/services%2Fp/a', None),
        (b'/services/pa/b', None),
    ],
)
def test_path_is_the_one_that_was_sent(target: bytes, path: str) -> None:
    """Guards against a request for another path than the caller's."""
    scope = {'extensions': {TARGET_EXTENSION: {'target': target}}}
    assert service_path(scope, 'p') == path


def test_headers_of_the_connection_are_not_forwarded() -> None:
    """Guards against headers that mean this connection at the next one."""
    headers = [
        (b'connection', b'Upgrade, X-A'),
        (b'connection', b'content-type'),
        (b'upgrade', b'h2c'),
        (b'http2-settings', b'AAMAAABkAAQAAP__'),
        (b'x-a', b'1'),
        (b'x-b', b'2'),
        (b'content-type', b'text/plain'),
    ]
    request = Request({'type': 'http', 'headers': headers})
    forwarded = forwarded_headers(request)
    assert forwarded == {'x-b': '2', 'content-type': 'text/plain'}


@pytest.mark.parametrize('target', ['/a;b=c?', '/a;b/c;d?e=?', '//a/b', '/a?'])
def test_endpoint_gets_the_target(target: str) -> None:
    """Guards against parameters and marks that are lost on the last step."""

    async def run() -> bytes:
        async with raw_endpoint(lambda _connection, _request: ANSWER) as server:
            pool = ConnectionPool(f'127.0.0.1:{server.port}')
            async with pool.stream('GET', target) as response:
                await response.aread()
            await pool.aclose()
            return server.requests[0]

    line = anyio.run(run).partition(b'\r\n')[0]
    assert line == f'GET {target} HTTP/1.1'.encode()


def test_offer_of_another_protocol_changes_no_request() -> None:
    """Guards against a body that is lost behind an offer."""

    async def scenario() -> None:
        offer = {'Connection': 'Upgrade', 'Upgrade': 'h2c'}
        async with make_fleet(services=1) as fleet:
            answer = await fleet.ask(
                '/services/dispatch/bookings',
                {'id': 'b'},
                headers={'Idempotency-Key': uuid7(), **offer},
            )
            assert answer.status < 300
            assert fleet.executions('b') == 1

    anyio.run(scenario)
