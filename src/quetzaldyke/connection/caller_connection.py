"""HTTP connection of a caller, with the timeouts set by the operator.

Load pattern: callers that open connections and send nothing, send a request
so slowly that it holds memory and a file descriptor forever, or send a head
or trailers without end. A request that was received completely is never timed out here:
its route says how long it may take.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any, Final, Literal

from quetzaldyke.connection.strict_connection import StrictConnection

REQUEST_TIMEOUT_RESPONSE: Final = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'connection: close\r\n'
    b'content-length: 0\r\n'
    b'\r\n'
)
HEAD_TOO_LARGE_RESPONSE: Final = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'connection: close\r\n'
    b'content-length: 0\r\n'
    b'\r\n'
)
# Limit on an incomplete head, beyond its first segment, and on trailers or the
# header of a chunk. The operator's limit, which may be lower, applies to
# complete heads.
MAX_HEAD_BYTES: Final = 262_144

# Key of a request's state: how long the connection of its first request had
# waited to be accepted, in seconds.
BACKLOG_STATE: Final = 'backlog_s'
# Linux's `struct tcp_info`: its first bytes, up to the time in ms since the
# last data was received.
TCP_INFO_BYTES: Final = 56
LAST_RECEIVED_OFFSET: Final = 52
MS_IN_S: Final = 1000

# What had come before a connection was accepted is read within this time. A
# caller that sends later was silent, and its request is new.
MAX_READ_DELAY_S: Final = 0.05

TimeoutKind = Literal['head', 'body', 'idle']


def silence_s(connected: Any) -> float:
    """Return the time since a socket last received data; 0 if not known.

    Without any data, it is the time since the connection was established.
    """
    if connected is None or not hasattr(socket, 'TCP_INFO'):
        return 0.0
    try:
        raw = connected.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        # The caller has gone, or the socket is not one of TCP.
        return 0.0
    if len(raw) < TCP_INFO_BYTES:
        return 0.0
    silence_ms: int = struct.unpack_from('I', raw, LAST_RECEIVED_OFFSET)[0]
    return silence_ms / MS_IN_S


class CallerConnection(StrictConnection):
    """A connection that records the times its timeouts are based on."""

    def __init__(self, *args: Any, **keywords: Any) -> None:
        """Create a connection that has received nothing yet."""
        super().__init__(*args, **keywords)
        # When the head that is being received began; None if there is none.
        self.head_started_s: float | None = None
        # When data was last received or a response was completed.
        self.last_active_s = self.loop.time()
        self.head_bytes = 0
        # Received for a request since the last byte of its body.
        self.bytes_after_body = 0
        # How long it had waited to be accepted; 0 behind its first request.
        self.backlog_s = 0.0
        self.connected_s = self.last_active_s

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Note how long the connection has waited to be accepted."""
        super().connection_made(transport)
        self.connected_s = self.loop.time()
        self.backlog_s = silence_s(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Parse data; close the connection if a head or trailer has no end."""
        self.last_active_s = self.loop.time()
        if self.head_started_s is not None:
            self.head_bytes += len(data)
            if self.head_bytes > MAX_HEAD_BYTES:
                self.refuse_head()
                return
        self.bytes_after_body += len(data)
        super().data_received(data)
        if self.is_receiving() and self.bytes_after_body > MAX_HEAD_BYTES:
            self.refuse_trailers()

    def refuse_trailers(self) -> None:
        """Close the connection of a request that has endless trailers."""
        if not self.cycle.response_started:
            self.transport.write(HEAD_TOO_LARGE_RESPONSE)
        self.transport.close()

    def refuse_head(self) -> None:
        """Close the connection, but not while an earlier answer is sent.

        Reading goes on when that answer is complete.
        """
        if self.is_serving():
            self.flow.pause_reading()
            return
        self.transport.write(HEAD_TOO_LARGE_RESPONSE)
        self.transport.close()

    def on_message_begin(self) -> None:
        """Start the header timeout of a request."""
        self.head_started_s = self.loop.time()
        self.head_bytes = 0
        self.bytes_after_body = 0
        super().on_message_begin()
        waited_s = self.loop.time() - self.connected_s
        sent_before = waited_s <= MAX_READ_DELAY_S
        self.scope['state'][BACKLOG_STATE] = self.backlog_s * sent_before
        self.backlog_s = 0.0

    def on_body(self, body: bytes) -> None:
        """Pass on a piece of a body."""
        self.bytes_after_body = 0
        super().on_body(body)

    def on_headers_complete(self) -> None:
        """Stop the header timeout."""
        self.head_started_s = None
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Start the idle timeout."""
        self.last_active_s = self.loop.time()
        super().on_response_complete()

    def expired_timeout(
        self,
        header_timeout_s: float,
        idle_timeout_s: float,
        now_s: float,
    ) -> TimeoutKind | None:
        """Return the kind of timeout that has expired, or None."""
        if self.is_answering():
            return None
        if self.head_started_s is not None:
            expired = now_s - self.head_started_s > header_timeout_s
            return 'head' if expired else None
        if now_s - self.last_active_s <= idle_timeout_s:
            return None
        return 'body' if self.is_serving() else 'idle'

    def close_expired(self, reason: TimeoutKind) -> None:
        """Close the connection; a partial request is answered with 408."""
        if reason != 'idle':
            self.transport.write(REQUEST_TIMEOUT_RESPONSE)
        self.transport.close()
