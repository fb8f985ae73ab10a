"""Answers peers that missed updates of watches, and asks peers for them.

A request is a GET on the port for peers, where connections to the store are
relayed as well; the answer is an encoded update, compressed. Unlike a
datagram it has no limit on its size, and is sent as fast as the links allow.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from typing import Final
from urllib.parse import parse_qs, urlencode, urlsplit

import anyio
from anyio.abc import ByteStream

from quetzaldyke.gateway.exchange import Exchange, ExchangeError
from quetzaldyke.gateway.gossip_messages import (
    WatchUpdate,
    decode,
    decode_revision,
    encode_watch_message,
)
from quetzaldyke.gateway.http_client import HttpClient, encode_request

UPDATES_PATH: Final = '/watch-updates'
STATUS_OK: Final = 200
NOT_HELD: Final = (
    b'HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'
)
# Fastest level: the values are mostly hashes and numbers.
COMPRESSION_LEVEL: Final = 1
# A peer that does not read its answer for longer has given up.
ANSWER_TIMEOUT_S: Final = 5.0
# Largest update that is decompressed, some times a value of the store.
MAX_UPDATE_BYTES: Final = 8_388_608

# Returns the changes of a prefix after a revision; None if they are not held.
HeldUpdate = Callable[[str, int], WatchUpdate | None]


async def answer_peer(
    peer: ByteStream, request: bytes, held: HeldUpdate
) -> None:
    """Answer one request of a peer, which then closes its connection.

    Raises `ValueError` if the request is malformed.
    """
    target = request.split(b' ', 2)[1].decode('ascii')
    query = parse_qs(urlsplit(target).query, strict_parsing=True)
    revision = decode_revision(query.get('after', ['-1'])[0])
    update = held(query.get('prefix', [''])[0], revision)
    with anyio.move_on_after(ANSWER_TIMEOUT_S):
        await peer.send(NOT_HELD if update is None else encode_answer(update))


def encode_answer(update: WatchUpdate) -> bytes:
    """Return the whole answer that carries an update."""
    body = zlib.compress(encode_watch_message(update), COMPRESSION_LEVEL)
    return (
        b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\nconnection: close\r\n\r\n%b'
        % (len(body), body)
    )


def decode_body(body: bytes) -> WatchUpdate | None:
    """Return the update in an answer; None if it is malformed or too large."""
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(body, MAX_UPDATE_BYTES)
    except zlib.error:
        return None
    message = decode(encoded) if decompressor.eof else None
    return message if isinstance(message, WatchUpdate) else None


async def ask_peer(
    client: HttpClient,
    address: tuple[str, int],
    prefix: str,
    after: int,
    timeout_s: float,
) -> WatchUpdate | None:
    """Return what a peer holds of a prefix after a revision.

    None if it does not answer in time, or has dropped some of the changes.
    """
    query = urlencode({'prefix': prefix, 'after': after})
    host = (b'host', f'{address[0]}:{address[1]}'.encode())
    target = f'{UPDATES_PATH}?{query}'.encode()
    exchange = Exchange()
    try:
        async with asyncio.timeout(timeout_s):
            request = encode_request(b'GET', target, [host], b'')
            await client.start(*address, request, exchange)
            head = await exchange.read_head()
            body = await exchange.read_body()
    except (ExchangeError, TimeoutError):
        return None
    finally:
        exchange.cancel()
    return decode_body(body) if head.status == STATUS_OK else None
