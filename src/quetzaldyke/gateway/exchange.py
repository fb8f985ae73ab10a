"""One request on a connection and its answer as it arrives."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class AbortableConnection(Protocol):
    """The connection that carries an exchange."""

    def abort(self) -> None:
        """Break the connection at once."""

    def resume_reading(self) -> None:
        """Read again after the reader has caught up."""


class Failure(Enum):
    """How an exchange failed."""

    # No connection: the request was certainly not sent.
    NOT_CONNECTED = 'not_connected'
    # Reset or closed before the whole answer came.
    BROKEN = 'broken'
    # The bytes are no answer.
    MALFORMED = 'malformed'
    # Nothing came within the time allowed.
    STALLED = 'stalled'
    # Given up by this process.
    CANCELLED = 'cancelled'


class ExchangeError(Exception):
    """An exchange ended without a whole answer."""

    def __init__(self, failure: Failure, detail: str = '') -> None:
        """Keep how it failed."""
        super().__init__(f'{failure.value} {detail}'.strip())
        self.failure = failure


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def get(self, name: bytes) -> bytes | None:
        """Return the first header of that name."""
        for known, content in self.headers:
            if known == name:
                return content
        return None


@dataclass(slots=True, eq=False)
class Exchange:
    """One request and its answer as it arrives."""

    # Header that the answer must repeat; other answers are skipped.
    echo_header: bytes = b''
    expected_echo: bytes = b''
    head: ResponseHead | None = None
    chunks: deque[bytes] = field(default_factory=deque)
    complete: bool = False
    failure: Failure | None = None
    detail: str = ''
    waiter: asyncio.Future[None] | None = None
    connection: AbortableConnection | None = None
    unread_bytes: int = 0
    # Monotonic time at which the watchdog ends the wait; 0 for never.
    expires_at_s: float = 0.0
    # Asked at that time for a later one; 0 ends the wait.
    extend: Callable[[float], float] | None = None

    def wake(self) -> None:
        """Let the reader look again."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def fail(self, failure: Failure, detail: str = '') -> None:
        """End the exchange; what has arrived can still be read."""
        if self.complete or self.failure is not None:
            return
        self.failure = failure
        self.detail = detail
        self.wake()

    async def wait(self) -> None:
        """Wait for the next arrival."""
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    async def read_head(self) -> ResponseHead:
        """Return the head of the answer."""
        while self.head is None:
            if self.failure is not None:
                raise ExchangeError(self.failure, self.detail)
            await self.wait()
        return self.head

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body; none at its end."""
        while not self.chunks:
            if self.complete:
                return b''
            if self.failure is not None:
                raise ExchangeError(self.failure, self.detail)
            await self.wait()
        chunk = self.chunks.popleft()
        self.unread_bytes -= len(chunk)
        if self.connection is not None and not self.unread_bytes:
            self.connection.resume_reading()
        return chunk

    async def read_body(self) -> bytes:
        """Return the whole body."""
        body = bytearray()
        while chunk := await self.read_chunk():
            body += chunk
        return bytes(body)

    def check_timeout(self, now_s: float) -> bool:
        """End the wait if its time is over; tell whether it was ended."""
        if not self.expires_at_s or now_s <= self.expires_at_s:
            return False
        later_s = self.extend(now_s) if self.extend is not None else 0.0
        if later_s > now_s:
            self.expires_at_s = later_s
            return False
        self.cancel(Failure.STALLED)
        return True

    def cancel(self, failure: Failure = Failure.CANCELLED) -> None:
        """Break the connection unless the answer is complete."""
        if self.connection is not None and not self.complete:
            self.connection.abort()
        self.fail(failure)
