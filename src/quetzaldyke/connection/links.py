"""Runs peer connections: handshake, reading, writing and heartbeats.

The dialing and the listening side run the same task for a connection. The
handlers that each side passes decide what to do with a message.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import anyio
from anyio.abc import (
    ByteStream,
    Listener,
    SocketAttribute,
    SocketStream,
    TaskStatus,
)
from result import Err

from quetzaldyke.connection.frames import FrameError
from quetzaldyke.connection.messages import (
    Heartbeat,
    Hello,
    Message,
)
from quetzaldyke.connection.peer import (
    HEARTBEAT_INTERVAL_S,
    MAX_MISSED_INTERVALS,
    HandshakeError,
    PeerClosed,
    PeerSession,
    open_session,
)
from quetzaldyke.parts.addresses import parse_address
from quetzaldyke.parts.hlc import MS_IN_S, HybridClock, Stamp

# Heartbeats that one process sends per second over all its connections. A
# heartbeat in a separate write costs 330 us of CPU time, both ends together,
# so this limit keeps them under 0.8 % of a core; the budget for all control
# work is 1.3 %.
HEARTBEATS_PER_S: Final = 25

# With these keepalive and timeout options the kernel detects an instance that
# vanished, regardless of the heartbeat interval.
SOCKET_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 4000),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)

OnOpen = Callable[[PeerSession], Awaitable[None]]
OnMessage = Callable[[PeerSession, Message], Awaitable[None]]
OnClose = Callable[[PeerSession], None]

CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    FrameError,
    HandshakeError,
    PeerClosed,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.IncompleteRead,
)


@dataclass(slots=True)
class LinkOptions:
    """Options and handlers shared by all connections of a process."""

    secret: str
    clock: HybridClock
    make_hello: Callable[[], Hello]
    config_version: Callable[[], int]
    on_open: OnOpen
    on_message: OnMessage
    on_close: OnClose
    open_sessions: int = 0


def stamp_to_row(stamp: Stamp) -> list[int | str]:
    """Return the wire form of a stamp: wall time, counter and process."""
    return [stamp.wall_ms, stamp.counter, stamp.process]


def observe_stamp_row(clock: HybridClock, row: list[int | str]) -> None:
    """Advance the clock to a stamp from the wire; ignores malformed ones."""
    match row:
        case [int(wall_ms), int(counter), str(process)]:
            clock.observe(Stamp(wall_ms, counter, process))


def heartbeat_interval_s(open_sessions: int) -> float:
    """Return the heartbeat interval that keeps within `HEARTBEATS_PER_S`.

    >>> heartbeat_interval_s(10), heartbeat_interval_s(130)
    (1.0, 5.2)
    """
    return max(HEARTBEAT_INTERVAL_S, open_sessions / HEARTBEATS_PER_S)


def make_heartbeat(options: LinkOptions) -> Heartbeat:
    """Return a heartbeat with the current stamp, version and interval."""
    interval_s = heartbeat_interval_s(options.open_sessions)
    return Heartbeat(
        stamp_to_row(options.clock.now()),
        options.config_version(),
        int(interval_s * MS_IN_S),
    )


def handle_heartbeat(
    session: PeerSession,
    options: LinkOptions,
    heartbeat: Heartbeat,
) -> None:
    """Advance the clock and update the session's silence timeout.

    It is a multiple of the longer of the peer's interval and our own.
    """
    observe_stamp_row(options.clock, heartbeat.stamp)
    session.peer_interval_s = heartbeat.interval_ms / MS_IN_S
    # Both sides send at the longer of the two intervals.
    slower_s = max(
        session.peer_interval_s,
        heartbeat_interval_s(options.open_sessions),
    )
    session.silence_timeout_s = MAX_MISSED_INTERVALS * slower_s


async def run_session(session: PeerSession, options: LinkOptions) -> None:
    """Run an authenticated session until it is closed, broken or silent."""
    options.open_sessions += 1
    async with anyio.create_task_group() as group:
        group.start_soon(write_until_closed, session, group.cancel_scope)
        group.start_soon(session.cancel_when_silent, group.cancel_scope)
        group.start_soon(
            session.send_heartbeats,
            lambda: make_heartbeat(options),
        )
        try:
            await options.on_open(session)
            async for message in session.messages():
                if isinstance(message, Heartbeat):
                    handle_heartbeat(session, options, message)
                await options.on_message(session, message)
        except CONNECTION_ERRORS:
            pass
        finally:
            session.closed = True
            options.open_sessions -= 1
            options.on_close(session)
            group.cancel_scope.cancel()


async def write_until_closed(
    session: PeerSession,
    scope: anyio.CancelScope,
) -> None:
    """Write queued frames; cancels the scope if the connection fails."""
    try:
        await session.write_queued()
    except CONNECTION_ERRORS:
        scope.cancel()


async def handle_stream(
    stream: ByteStream,
    options: LinkOptions,
    dialer: bool,
) -> None:
    """Authenticate a stream and run its session.

    Returns without an error if the handshake fails.
    """
    async with stream:
        try:
            session = await open_session(
                stream,
                options.secret,
                options.make_hello(),
                dialer,
            )
        except CONNECTION_ERRORS:
            return
        observe_stamp_row(options.clock, session.remote.stamp)
        await run_session(session, options)


def set_socket_options(stream: SocketStream) -> None:
    """Set `SOCKET_OPTIONS` on the socket of a connection."""
    raw = stream.extra(SocketAttribute.raw_socket)
    for level, option, setting in SOCKET_OPTIONS:
        raw.setsockopt(level, option, setting)


async def dial(address: str, options: LinkOptions) -> bool:
    """Connect to a peer and run the session until it ends.

    Returns False if no connection could be established.
    """
    parsed = parse_address(address)
    if isinstance(parsed, Err):
        return False
    host, port = parsed.ok_value
    try:
        stream = await anyio.connect_tcp(host, port)
    except (OSError, ValueError):
        return False
    set_socket_options(stream)
    await handle_stream(stream, options, dialer=True)
    return True


async def listen(
    address: str,
    options: LinkOptions,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Accept peer connections until cancelled.

    Reports the bound address as the task status.
    """
    host, _, port = address.rpartition(':')
    listener = await anyio.create_tcp_listener(
        local_host=host.strip('[]'),
        local_port=int(port),
    )
    bound = bound_port(listener.listeners[0])
    task_status.started(f'{host}:{bound}')

    async def accept(stream: SocketStream) -> None:
        set_socket_options(stream)
        await handle_stream(stream, options, dialer=False)

    async with listener:
        await listener.serve(accept)


def bound_port(listener: Listener[SocketStream]) -> int:
    """Return the local port of a listener."""
    return int(listener.extra(SocketAttribute.local_port))
