"""A caller's connection and the time limits that the operator sets for it.

Load pattern: callers that open connections and send nothing, or send a
request so slowly that it holds memory and a descriptor for ever. A request
that has come whole is never timed out here: its route says how long it may
take.
"""

from __future__ import annotations

from typing import Any, Final, Literal

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

REQUEST_TIMEOUT_RESPONSE: Final = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'connection: close\r\n'
    b'content-length: 0\r\n'
    b'\r\n'
)

TimeoutKind = Literal['head', 'body', 'idle']


class CallerConnection(HttpToolsProtocol):
    """One connection, with the times that its limits need."""

    def __init__(self, *args: Any, **keywords: Any) -> None:
        """Start with no request on its way."""
        super().__init__(*args, **keywords)
        # Since when a request's head is on its way; None when none is.
        self.head_started_s: float | None = None
        # When something last came, or the last answer was complete.
        self.last_active_s = self.loop.time()

    def data_received(self, data: bytes) -> None:
        """Note that the caller is there."""
        self.last_active_s = self.loop.time()
        super().data_received(data)

    def on_message_begin(self) -> None:
        """The head of a request is on its way."""
        self.head_started_s = self.loop.time()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """The head has come in time."""
        self.head_started_s = None
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Count idle time from the end of an answer."""
        self.last_active_s = self.loop.time()
        super().on_response_complete()

    def is_serving(self) -> bool:
        """Tell whether a request is being read or answered."""
        return self.cycle is not None and not self.cycle.response_complete

    def expired_timeout(
        self,
        header_timeout_s: float,
        idle_timeout_s: float,
        now_s: float,
    ) -> TimeoutKind | None:
        """Return which limit has passed, if any."""
        if self.is_serving() and not self.cycle.more_body:
            return None
        if self.head_started_s is not None:
            expired = now_s - self.head_started_s > header_timeout_s
            return 'head' if expired else None
        if now_s - self.last_active_s <= idle_timeout_s:
            return None
        return 'body' if self.is_serving() else 'idle'

    def close_expired(self, reason: TimeoutKind) -> None:
        """End the connection; a request that was begun is answered."""
        if reason != 'idle':
            self.transport.write(REQUEST_TIMEOUT_RESPONSE)
        self.transport.close()
