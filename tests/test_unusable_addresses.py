"""Tests of connections to addresses that no socket can use."""

from __future__ import annotations

import asyncio
from typing import Final

import pytest
import uvloop

from quetzaldyke.gateway.exchange import Exchange, ExchangeError, Failure
from quetzaldyke.gateway.http_client import HttpClient, encode_request

RUNNERS: Final = {'asyncio': asyncio.run, 'uvloop': uvloop.run}
REQUEST: Final = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
ADDRESSES: Final = (
    ('127.0.0.1', 99_999),
    ('127.0.0.1', 65_536),
    ('127.0.0.1', 0),
    ('127.0.0.1', -5),
    ('127.0.0.1', 2**70),
    ('', 80),
    ('a b', 80),
    ('..', 80),
    ('x\0', 80),
    ('x' * 300, 80),
    ('\u00e9' * 70, 80),
    ('\ud800', 80),
)


async def connect(host: str, port: int) -> Failure:
    """Return how a request to an address fails."""
    client = HttpClient()
    with pytest.raises(ExchangeError) as raised:
        await client.start(host, port, REQUEST, Exchange())
    return raised.value.failure


@pytest.mark.parametrize('loop', RUNNERS)
@pytest.mark.parametrize(('host', 'port'), ADDRESSES)
def test_unusable_address_is_not_connected(
    loop: str, host: str, port: int
) -> None:
    """Guards against errors of a connection that the attempts don't handle."""
    failure = RUNNERS[loop](connect(host, port))
    assert failure is Failure.NOT_CONNECTED


async def request_with_cut_port() -> bool:
    """Return whether a server gets a request for its port plus 65,536."""
    reached = asyncio.Event()

    async def note(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        reached.set()
        writer.close()

    server = await asyncio.start_server(note, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        with pytest.raises(ExchangeError):
            exchange = Exchange()
            client = HttpClient()
            await client.start('127.0.0.1', port + 65_536, REQUEST, exchange)
            await exchange.read_head()
        await asyncio.sleep(0)
    return reached.is_set()


@pytest.mark.parametrize('loop', RUNNERS)
def test_port_out_of_range_reaches_no_other_address(loop: str) -> None:
    """Guards against a request at another server, whose port it cuts to."""
    assert not RUNNERS[loop](request_with_cut_port())
