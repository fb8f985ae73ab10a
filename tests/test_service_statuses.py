"""Tests of answers to a sidecar whose status is none; they stay open."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Final

import anyio
import pytest
from result import Result

from entry_rig import make_fleet, until, uuid7
from quetzaldyke.connection.engine_client import EngineClient, TextDelta
from quetzaldyke.connection.http_endpoint import (
    Answer,
    ConnectionPool,
    EndpointFailure,
)
from quetzaldyke.connection.service_client import ServiceClient
from raw_endpoint import raw_endpoint
from sidecar_rig import make_submit
from test_answer_statuses import STATUSES

pytestmark = pytest.mark.anyio

EVENTS: Final = b'data: {"choices": [{"text": "a"}]}\n\ndata: [DONE]\n\n'
FURTHER: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
LIMIT_S: Final = 5.0


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


async def ask(
    client: type[ServiceClient] | type[EngineClient], answer: bytes
) -> Result[Answer, EndpointFailure]:
    """Return the outcome of a request to an endpoint with some answer."""

    async def ignore(_part: bytes | TextDelta) -> None:
        """Drop a part of the body."""

    submit = make_submit(path='/', body=b'{}', idempotent=False)
    async with raw_endpoint(lambda *_: answer) as endpoint:
        pool = ConnectionPool(f'127.0.0.1:{endpoint.port}')
        with anyio.fail_after(LIMIT_S):
            outcome = await client(pool).run(submit, ignore)
        assert not pool.idle or outcome.is_ok()
        await pool.aclose()
    return outcome


# Guards against an answer whose status is none that is delivered, or that is
# skipped as if a further answer were to come.
@pytest.mark.parametrize('client', [ServiceClient, EngineClient])
@pytest.mark.parametrize('further', [False, True], ids=['alone', 'further'])
@pytest.mark.parametrize('status', STATUSES)
async def test_answer_with_an_odd_status_is_none(
    status: bytes,
    further: bool,
    client: type[ServiceClient] | type[EngineClient],
) -> None:
    """It is unknown whether the request ran."""
    answer = b'HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b' % (
        status,
        len(EVENTS),
        EVENTS,
    )
    outcome = await ask(client, answer + FURTHER * further)
    assert outcome.unwrap_err().ran == 'unknown'


async def test_interim_answer_is_skipped() -> None:
    """Guards against refusing the answer behind an interim one."""
    answer = b'HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n' + FURTHER
    outcome = await ask(ServiceClient, answer)
    assert outcome.unwrap().body == b'ok'


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer one request: health checks as asked, any other with a 999."""
    with suppress(asyncio.IncompleteReadError, ConnectionError):
        head = await reader.readuntil(b'\r\n\r\n')
        odd = FURTHER.replace(b'200', b'999')
        writer.write(odd if head.startswith(b'POST') else FURTHER)
        await writer.drain()
    writer.close()


async def test_caller_gets_no_odd_status() -> None:
    """Guards against a status that no caller can read."""
    listener = await asyncio.start_server(serve, '127.0.0.1', 0)
    address = f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'
    async with listener, make_fleet() as fleet:
        await fleet.add_sidecar('service-1', address, 'service', 'dispatch')
        links = fleet.entry().fleet.links_of
        await until(lambda: len(links('dispatch')) == 1)
        answer = await fleet.ask(
            '/services/dispatch/bookings',
            {'id': 'b'},
            headers={'Idempotency-Key': uuid7()},
        )
    assert answer.status == 502
