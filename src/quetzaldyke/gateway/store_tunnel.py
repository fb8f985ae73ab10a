"""Relays TCP connections of peers to the platform's store.

Requests of peers for missed updates come on the same port, see
`peer_updates.py`.

Bytes pass unchanged, so the store's responses need no translation, and a call
that is interrupted here looks to the peer like any other broken connection.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Final

import anyio
from anyio.abc import ByteStream, TaskGroup, TaskStatus

from quetzaldyke.gateway.guarded import run_guarded
from quetzaldyke.gateway.logs import log_event

if TYPE_CHECKING:
    from quetzaldyke.gateway.peer_updates import HeldUpdate

# Begin of a request that is answered here.
UPDATES_LINE: Final = b'GET /watch-updates?'
HEAD_END: Final = b'\r\n\r\n'
MAX_REQUEST_BYTES: Final = 2048
CONNECT_TIMEOUT_S: Final = 0.4
# From the opening of a connection until its first bytes.
FIRST_BYTES_TIMEOUT_S: Final = 5.0
# Peer connections that are relayed at the same time.
MAX_TUNNELS: Final = 64


async def serve_tunnels(
    host: str,
    port: int,
    store: tuple[str, int],
    held: HeldUpdate,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Accept and relay connections of peers until cancelled.

    Requests for missed updates are answered with what is `held`.
    """
    limiter = anyio.CapacityLimiter(MAX_TUNNELS)

    async def handle(peer: ByteStream) -> None:
        async with peer:
            first = await receive_first(peer)
            if first.startswith(UPDATES_LINE):
                await run_guarded(answer_updates, peer, first, held)
            elif first and limiter.available_tokens:
                async with limiter:
                    await relay_connection(peer, first, store)
            elif first:
                # The peer uses another one at once, and not after a timeout.
                log_event('tunnels_used_up', tunnels=MAX_TUNNELS)

    listener = await anyio.create_tcp_listener(
        local_host=host,
        local_port=port,
    )
    task_status.started()
    await listener.serve(handle)


async def answer_updates(
    peer: ByteStream, request: bytes, held: HeldUpdate
) -> None:
    """Answer a request for missed updates; its module is imported then."""
    module = importlib.import_module('quetzaldyke.gateway.peer_updates')
    await module.answer_peer(peer, request, held)


async def receive_first(peer: ByteStream) -> bytes:
    """Return the first bytes of a peer; none if it closes or stays silent.

    They show what the peer asks for, and hold a whole request for updates.
    """
    received = b''
    with anyio.move_on_after(FIRST_BYTES_TIMEOUT_S) as scope:
        try:
            while needs_more(received):
                received += await peer.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return b''
    return b'' if scope.cancelled_caught else received


def needs_more(received: bytes) -> bool:
    """Return whether it is open what a peer asks for.

    >>> needs_more(b'GET /w'), needs_more(b'GET /quetz')
    (True, False)
    >>> needs_more(UPDATES_LINE), needs_more(UPDATES_LINE + HEAD_END)
    (True, False)
    """
    if received.startswith(UPDATES_LINE):
        return HEAD_END not in received and len(received) < MAX_REQUEST_BYTES
    return UPDATES_LINE.startswith(received)


async def relay_connection(
    peer: ByteStream, first: bytes, store: tuple[str, int]
) -> None:
    """Relay one connection until either side closes it.

    `first` are the bytes that were read already. A failure to connect to the
    store is logged, and the relay ends.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(*store)
    except (OSError, TimeoutError) as exc:
        log_event('tunnel_failed', fault=repr(exc))
        return
    async with stream, anyio.create_task_group() as group:
        await send_first(stream, first, group)
        group.start_soon(copy, peer, stream, group)
        await copy(stream, peer, group)


async def send_first(
    stream: ByteStream, first: bytes, group: TaskGroup
) -> None:
    """Send the first bytes to the store; cancel the relay if that fails."""
    try:
        await stream.send(first)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
        log_event('tunnel_broken')
        group.cancel_scope.cancel()


async def copy(
    source: ByteStream, target: ByteStream, group: TaskGroup
) -> None:
    """Copy bytes in one direction, then cancel both directions."""
    try:
        async for chunk in source:
            await target.send(chunk)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
        log_event('tunnel_broken')
    group.cancel_scope.cancel()
