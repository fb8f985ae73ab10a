"""Relays TCP connections of peers to the platform's store.

Bytes pass unchanged, so the store's responses need no translation, and a call
that is interrupted here looks to the peer like any other broken connection.
"""

from __future__ import annotations

from typing import Final

import anyio
from anyio.abc import ByteStream, TaskGroup, TaskStatus

from quetzaldyke.gateway.logs import log_event

CONNECT_TIMEOUT_S: Final = 0.4
# Peer connections that are relayed at the same time.
MAX_TUNNELS: Final = 64


async def serve_tunnels(
    host: str,
    port: int,
    store: tuple[str, int],
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Accept and relay connections of peers until cancelled."""
    limiter = anyio.CapacityLimiter(MAX_TUNNELS)

    async def handle(peer: ByteStream) -> None:
        async with peer, limiter:
            await relay_connection(peer, store)

    listener = await anyio.create_tcp_listener(
        local_host=host,
        local_port=port,
    )
    task_status.started()
    await listener.serve(handle)


async def relay_connection(peer: ByteStream, store: tuple[str, int]) -> None:
    """Relay one connection until either side closes it.

    A failure to connect to the store is logged, and the relay ends.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(*store)
    except (OSError, TimeoutError) as exc:
        log_event('tunnel_failed', fault=repr(exc))
        return
    async with stream, anyio.create_task_group() as group:
        group.start_soon(copy, peer, stream, group)
        await copy(stream, peer, group)


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
