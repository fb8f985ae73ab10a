"""Graceful shutdown of a sidecar; running online requests complete."""

from __future__ import annotations

from typing import Final

import anyio

from quetzaldyke.connection.links import CONNECTION_ERRORS
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.process.sidecar_state import SidecarProcess, update_admission

POLL_INTERVAL_S: Final = 0.01
CLOSE_TIMEOUT_S: Final = 2.0


def leave(process: SidecarProcess) -> None:
    """Close admission, preempt batch items and notify the entries."""
    if process.peers.leaving:
        return
    process.log_event('leaving', running=len(process.admission.running))
    process.peers.leave()
    update_admission(process)


async def drain(process: SidecarProcess) -> None:
    """Leave, wait for the requests to finish and close the connections.

    The wait is limited by the `drain_s` setting.
    """
    leave(process)
    with anyio.move_on_after(process.settings.drain_s) as scope:
        while process.runner.requests:
            await anyio.sleep(POLL_INTERVAL_S)
    if scope.cancelled_caught:
        process.log_event('drain_timed_out', left=len(process.runner.requests))
    await close_sessions(process)


async def close_sessions(process: SidecarProcess) -> None:
    """End all connections and wait for the entries to close theirs."""
    with anyio.move_on_after(CLOSE_TIMEOUT_S):
        for session in list(process.peers.sessions()):
            await close_session(session)
        while process.peers.peers:
            await anyio.sleep(POLL_INTERVAL_S)


async def close_session(session: PeerSession) -> None:
    """Send what is queued and then the end of the stream.

    A close without end of stream could discard bytes that the peer has not
    read yet.
    """
    while session.write_buffer.pending and not session.closed:
        await anyio.sleep(POLL_INTERVAL_S)
    session.closed = True
    try:
        await session.stream.send_eof()
    except CONNECTION_ERRORS:
        return
