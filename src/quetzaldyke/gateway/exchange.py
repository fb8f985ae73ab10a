"""An HTTP request on a connection and the response as it arrives."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, Literal, Protocol

from quetzaldyke.gateway.further_answers import (
    further_ids,
    holds_status_line,
)
from quetzaldyke.parts.byte_budget import ByteBudget, Holding

# Limit on a body that is read as a whole, which keeps a peer that sends
# without end from using up the memory of an instance.
MAX_BODY_BYTES: Final = 8_388_608


class ConnectionControl(Protocol):
    """What an exchange needs of the connection that carries it."""

    def abort(self) -> None:
        """Close the connection immediately."""

    def resume_reading(self) -> None:
        """Resume reading after the buffered body has been consumed."""

    def may_carry(self, request_id: bytes) -> bool:
        """Return whether the connection has never carried a request."""


# What ends the body of a response: its status if that has none, its length, its
# last chunk, or the close of the connection.
Delimiter = Literal['status', 'length', 'chunks', 'close']
STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))


class Failure(Enum):
    """Why an exchange failed."""

    # No connection could be opened: the request was certainly not sent.
    NOT_CONNECTED = 'not_connected'
    # The connection was reset or closed before the response was complete.
    BROKEN = 'broken'
    # The peer sent an invalid response.
    MALFORMED = 'malformed'
    # The timeout expired before the next bytes arrived.
    STALLED = 'stalled'
    # This process cancelled the exchange.
    CANCELLED = 'cancelled'


class ExchangeError(Exception):
    """An exchange ended without a complete response."""

    def __init__(self, failure: Failure, detail: str = '') -> None:
        """Store the kind of failure; the detail goes into the message."""
        super().__init__(f'{failure.value} {detail}'.strip())
        self.failure = failure


def connection_options(headers: list[tuple[bytes, bytes]]) -> set[bytes]:
    """Return the options and names that the connection headers list.

    >>> sorted(connection_options([(b'connection', b'X-A, Close')]))
    [b'close', b'x-a']
    """
    return {
        option.strip().lower()
        for name, content in headers
        if name == b'connection'
        for option in content.split(b',')
    }


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def get(self, name: bytes) -> bytes | None:
        """Return the first header of that name, or None."""
        for known, content in self.headers:
            if known == name:
                return content
        return None

    @property
    def transfer_codings(self) -> list[bytes]:
        """Return the transfer codings in order, in lower case."""
        return [
            coding.strip().lower()
            for name, content in self.headers
            if name == b'transfer-encoding'
            for coding in content.split(b',')
        ]

    @property
    def closes(self) -> bool:
        """Return whether the connection ends after the response."""
        return b'close' in connection_options(self.headers)

    @property
    def delimiter(self) -> Delimiter:
        """Return what ends the body."""
        if self.status in STATUSES_WITHOUT_BODY:
            return 'status'
        codings = self.transfer_codings
        if codings:
            return 'chunks' if codings[-1] == b'chunked' else 'close'
        length = self.get(b'content-length')
        return 'close' if length is None else 'length'

    @property
    def framed(self) -> bool:
        """Return whether the body's end shows in another way than a close."""
        return self.delimiter != 'close'


@dataclass(slots=True, eq=False)
class Exchange:
    """The state of one request and its response."""

    # Header that echoes the request id, and the value expected in it; a
    # response with another value is skipped.
    echo_header: bytes = b''
    expected_echo: bytes = b''
    head: ResponseHead | None = None
    # Head of a response that could not be taken for this request's; for logs.
    rejected: ResponseHead | None = None
    chunks: deque[bytes] = field(default_factory=deque)
    complete: bool = False
    failure: Failure | None = None
    detail: str = ''
    waiter: asyncio.Future[None] | None = None
    connection: ConnectionControl | None = None
    unread_bytes: int = 0
    # Requests that the connection has carried, this one included; 0 before the
    # request is sent.
    connection_uses: int = 0
    # Whether bytes that begin no response came right behind the complete one.
    garbage_follows: bool = False
    # Monotonic time at which the watchdog cancels the exchange; 0 for never.
    expires_at_s: float = 0.0
    # Called on expiry; returns a later expiry time, or 0 to cancel.
    extend: Callable[[float], float] | None = None
    # Bytes of the body that this process keeps; None if they aren't counted.
    held: Holding | None = None

    def count_bytes(self, budget: ByteBudget) -> None:
        """Count the bytes of the body against a budget until it is cancelled.

        The exchange fails if it holds the most bytes of all that exceed it.
        """
        self.held = budget.hold(self.evict)

    def evict(self) -> None:
        """Give the body up, because all bodies together are too large.

        The connection of a complete answer may carry another one by now.
        """
        was_complete = self.complete
        self.complete = False
        self.chunks.clear()
        self.unread_bytes = 0
        self.fail(Failure.MALFORMED, 'too many bytes of bodies in memory')
        if self.connection is not None and not was_complete:
            self.connection.abort()

    def add_chunk(self, chunk: bytes) -> None:
        """Store the next bytes of the body for the reader."""
        self.chunks.append(chunk)
        self.unread_bytes += len(chunk)
        if self.held is not None:
            self.held.grow(len(chunk))
        self.wake()

    def describe(self) -> dict[str, object]:
        """Return the log fields on the response and its connection.

        `named` tells whether the response returned the id of the request.
        """
        head = self.head or self.rejected
        if head is None:
            return {
                'delimited_by': '',
                'named': '',
                'uses': self.connection_uses,
            }
        return {
            'delimited_by': head.delimiter,
            'named': head.get(self.echo_header) is not None,
            'uses': self.connection_uses,
        }

    def wake(self) -> None:
        """Wake the task that waits for the response."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def finish(self) -> None:
        """Mark the response as complete unless the exchange has failed."""
        if self.failure is None:
            self.complete = True
            self.wake()

    def fail(self, failure: Failure, detail: str = '') -> None:
        """Mark the exchange as failed unless it has already ended.

        Chunks that have arrived can still be read.
        """
        if self.complete or self.failure is not None:
            return
        self.failure = failure
        self.detail = detail
        self.wake()

    async def wait(self) -> None:
        """Wait until more of the response arrives or the exchange ends."""
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    async def read_head(self) -> ResponseHead:
        """Return the head of the response.

        Raises `ExchangeError` if the exchange fails first.
        """
        while self.head is None:
            if self.failure is not None:
                raise ExchangeError(self.failure, self.detail)
            await self.wait()
        return self.head

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body, or no bytes at its end.

        Raises `ExchangeError` if the exchange fails first.
        """
        while not self.chunks:
            if self.complete:
                return b''
            if self.failure is not None:
                raise ExchangeError(self.failure, self.detail)
            await self.wait()
        chunk = self.chunks.popleft()
        self.unread_bytes -= len(chunk)
        if self.held is not None:
            self.held.shrink(len(chunk))
        if self.connection is not None and not self.unread_bytes:
            self.connection.resume_reading()
        return chunk

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the whole body.

        Raises `ExchangeError` if it breaks off, exceeds the limit, or holds a
        further answer.
        """
        body = bytearray()
        while chunk := await self.read_chunk():
            body += chunk
            if self.held is not None:
                self.held.grow(len(chunk))
            if len(body) > max_bytes:
                raise ExchangeError(
                    Failure.MALFORMED, f'body exceeds {max_bytes} bytes'
                )
        whole = bytes(body)
        if self.echo_header and self.holds_further(whole):
            raise ExchangeError(Failure.MALFORMED, 'body holds a response head')
        return whole

    def holds_further(self, body: bytes) -> bool:
        """Return whether a whole body holds a further answer.

        A body that states its end may quote the head of any answer. A further
        one on this connection names a request that it has carried, or its own
        end is left over behind the body.
        """
        ids = further_ids(body, self.echo_header)
        if not self.framed:
            return any(True for _ in ids)
        if any(self.was_carried(request_id) for request_id in ids):
            return True
        return self.garbage_follows and holds_status_line(body)

    def was_carried(self, request_id: bytes) -> bool:
        """Return whether the connection has carried a request."""
        if self.connection is None:
            return request_id == self.expected_echo
        return not self.connection.may_carry(request_id)

    @property
    def framed(self) -> bool:
        """Return whether the response's end shows in another way than a close."""
        return self.head is not None and self.head.framed

    def check_events(self, events: int, events_before: int) -> None:
        """Check that an event stream that has ended can be complete.

        Raises `ExchangeError` if it had no event, unless it was resumed and
        only its end was missing. The end of a body without length or chunks
        is also that of a crash, so there it must have had an event.
        """
        if events or (events_before and self.framed):
            return
        raise ExchangeError(Failure.BROKEN, 'stream ended without an event')

    def check_timeout(self, now_s: float) -> bool:
        """Cancel the exchange if it has expired and is not extended.

        Returns whether it was cancelled.
        """
        if not self.expires_at_s or now_s <= self.expires_at_s:
            return False
        later_s = self.extend(now_s) if self.extend is not None else 0.0
        if later_s > now_s:
            self.expires_at_s = later_s
            return False
        self.cancel(Failure.STALLED)
        return True

    def cancel(self, failure: Failure = Failure.CANCELLED) -> None:
        """Fail the exchange and abort its connection, unless complete.

        The failure comes first: the close that follows is no end of the body.
        """
        if self.held is not None:
            self.held.release()
            self.held = None
        if self.complete:
            return
        self.fail(failure)
        if self.connection is not None:
            self.connection.abort()
