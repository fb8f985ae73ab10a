"""An HTTP/1.1 connection to an endpoint or the store.

It parses with httptools, as uvicorn does, and tells which response belongs to
the request that waits, and exactly how an exchange ended.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Final, cast

import httptools

from quetzaldyke.gateway.answer_form import (
    form_fault,
    interim_fault,
    is_interim,
)
from quetzaldyke.gateway.answer_owner import Owner, owner_of
from quetzaldyke.gateway.exchange import Exchange, Failure, ResponseHead
from quetzaldyke.gateway.further_answers import is_torn
from quetzaldyke.parts.socket_state import (
    END_CHECK_INTERVAL_S,
    pending_error,
    unacknowledged_bytes,
)

# Assumed if the response has no Keep-Alive timeout.
DEFAULT_KEEP_ALIVE_S: Final = 4.0
# Reading is paused while more body bytes than this are unread.
MAX_UNREAD_BYTES: Final = 262_144
# Limit on all headers and trailers that a peer sends for one request,
# interim and skipped responses included, and on any other bytes that are no
# part of a body: a faulty peer may send them without end.
MAX_HEAD_BYTES: Final = 65_536
# Added for each header and each status line, which consist of more than the
# text that the parser reports.
LINE_OVERHEAD_BYTES: Final = 16
# Bounds the record of the requests that a connection has carried; it is then
# closed. More would save hardly any connection.
MAX_CARRIED_REQUESTS: Final = 256
# The second is raised for a switch of protocols, which no request asks for.
PARSER_ERRORS: Final = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class Connection(asyncio.Protocol):
    """A client connection that carries one exchange at a time."""

    def __init__(self, on_idle: Callable[[Connection], None]) -> None:
        """Create a connection; on_idle gets it when it can be reused."""
        self.on_idle = on_idle
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = None
        self.closed = False
        self.reading_paused = False
        self.reusable = True
        self.skipping_response = False
        # Whether an answer to another request has arrived.
        self.skipped_answers = False
        self.framed = False
        self.response_complete = False
        self.headers: list[tuple[bytes, bytes]] = []
        # Text behind the status code.
        self.reason = b''
        # Bytes received for the current request that are no part of its body.
        self.head_bytes = 0
        # Bytes received since the parser last reported anything.
        self.unparsed_bytes = 0
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self.idle_since_s = 0.0
        # Requests that were sent on this connection.
        self.uses = 0
        # Hashes of the ids of these requests, whose length has no bound. An
        # equal hash of two ids costs a connection and nothing else.
        self.carried: set[int] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open connection."""
        self.transport = cast('asyncio.Transport', transport)

    def send(self, exchange: Exchange, request: bytes) -> None:
        """Send a request; the response goes to the exchange."""
        assert self.transport is not None
        self.exchange = exchange
        self.response_complete = False
        self.head_bytes = 0
        self.unparsed_bytes = 0
        self.uses += 1
        if exchange.expected_echo:
            self.carried.add(hash(exchange.expected_echo))
        if self.uses >= MAX_CARRIED_REQUESTS:
            self.reusable = False
        exchange.connection = self
        exchange.connection_uses = self.uses
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; abort on bytes that nothing asked for."""
        exchange = self.exchange
        if exchange is None:
            # An unsolicited response: the next request on this connection
            # could mistake it for its own.
            self.abort()
            return
        self.unparsed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except PARSER_ERRORS as exc:
            exchange.garbage_follows = self.response_complete
            self.fail(Failure.MALFORMED, repr(exc))
            return
        if max(self.head_bytes, self.unparsed_bytes) > MAX_HEAD_BYTES:
            self.fail(Failure.MALFORMED, 'endless head')

    def eof_received(self) -> bool:
        """End a body that ends with the connection; let it close.

        Only the peer's own end is reported here, not a close by this process.
        The connection takes no request any more, though `connection_lost` is
        called only in a later iteration of the loop. It stays open while the
        body may still turn out to be incomplete.
        """
        self.closed = True
        exchange = self.exchange
        if exchange is None or exchange.head is None or self.framed:
            return False
        self.end_body()
        return self.exchange is not None

    def end_body(self) -> None:
        """Complete the body once the peer has received the whole request.

        A peer that closes the connection before that resets it behind the end
        of its stream; one that has ended its answer alone receives the rest.
        """
        exchange, transport = self.exchange, self.transport
        if exchange is None or transport is None or transport.is_closing():
            return
        error = pending_error(transport)
        if error is not None:
            self.fail(Failure.BROKEN, repr(error))
        elif unacknowledged_bytes(transport):
            asyncio.get_running_loop().call_later(
                END_CHECK_INTERVAL_S, self.end_body
            )
        else:
            self.exchange = None
            exchange.finish()
            transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange unless it is complete."""
        self.closed = True
        exchange = self.exchange
        self.exchange = None
        if exchange is not None:
            exchange.fail(Failure.BROKEN, repr(exc))

    def on_message_begin(self) -> None:
        """Start a response; an extra one ends the connection's reuse."""
        self.headers = []
        self.reason = b''
        self.head_bytes += LINE_OVERHEAD_BYTES
        if self.response_complete:
            self.reusable = False

    def on_status(self, reason: bytes) -> None:
        """Store the reason phrase, or a part of it."""
        self.reason += reason

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store a header or trailer of the current response."""
        self.unparsed_bytes = 0
        self.head_bytes += len(name) + len(content) + LINE_OVERHEAD_BYTES
        if self.head_bytes <= MAX_HEAD_BYTES:
            self.headers.append((name.lower(), content))

    def on_chunk_header(self) -> None:
        """Record that a chunk's size line is complete."""
        self.unparsed_bytes = 0

    def on_headers_complete(self) -> None:
        """Pass the head to the exchange if it belongs to its request.

        Interim responses and those to other requests are skipped.
        """
        exchange = self.exchange
        status = self.parser.get_status_code()
        if exchange is None or self.response_complete:
            return
        if is_torn(self.reason, self.headers):
            self.fail(Failure.MALFORMED, 'head within a head')
            return
        # A copy: trailers are no headers of the response.
        head = ResponseHead(status, list(self.headers))
        if is_interim(status):
            self.skip_interim(head)
            return
        owner = owner_of(head, exchange.echo_header, exchange.expected_echo)
        if owner is Owner.OTHER and head.framed:
            self.skipping_response = True
            self.skipped_answers = True
            return
        reason = self.rejection(owner) or form_fault(head)
        if reason:
            self.reject(head, reason)
            return
        if owner is Owner.UNNAMED:
            self.reusable = False
        self.framed = head.framed
        self.read_keep_alive(head)
        exchange.head = head
        exchange.wake()

    def skip_interim(self, head: ResponseHead) -> None:
        """Skip an interim response; fail the exchange if none can follow."""
        fault = interim_fault(head)
        if fault:
            self.reject(head, fault)
            return
        self.skipping_response = True

    def reject(self, head: ResponseHead, reason: str) -> None:
        """Fail the exchange because of the head of a response."""
        if self.exchange is not None:
            self.exchange.rejected = head
        self.fail(Failure.MALFORMED, reason)

    def rejection(self, owner: Owner) -> str:
        """Return why an answer proves nothing, or no text if it may count.

        An answer without an id is this request's only if no other request
        can have an answer on this connection.
        """
        if owner is Owner.SEVERAL:
            return 'response names several requests'
        if owner is Owner.OTHER:
            # Its body would take in the answer behind it.
            return 'response without length names another request'
        shared = self.uses > 1 or self.skipped_answers
        if owner is Owner.UNNAMED and shared:
            return 'response names no request on a used connection'
        return ''

    def read_keep_alive(self, head: ResponseHead) -> None:
        """Read whether and for how long the connection may be reused."""
        if head.closes or not self.framed:
            self.reusable = False
        stated = head.get(b'keep-alive')
        if stated is None:
            return
        for part in stated.split(b','):
            name, _, value = part.strip().partition(b'=')
            if name.lower() == b'timeout' and value.isdigit():
                self.keep_alive_s = float(value)

    def on_body(self, body: bytes) -> None:
        """Pass a body chunk to the exchange; pause reading if it lags."""
        self.unparsed_bytes = 0
        exchange = self.exchange
        if exchange is None or self.response_complete:
            return
        if self.skipping_response:
            self.head_bytes += len(body)
            return
        exchange.add_chunk(body)
        if exchange.unread_bytes > MAX_UNREAD_BYTES and not self.reading_paused:
            assert self.transport is not None
            self.reading_paused = True
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """Complete the exchange and release the connection."""
        exchange = self.exchange
        if exchange is None or self.response_complete:
            return
        if self.skipping_response:
            # The response to the current request is still to come.
            self.skipping_response = False
            return
        self.response_complete = True
        exchange.finish()
        asyncio.get_running_loop().call_soon(self.release)

    def may_carry(self, request_id: bytes) -> bool:
        """Tell whether a request has not been sent on this connection.

        A repeated answer names the same request as the answer to its next
        try, so only an answer on another connection can be told from it.
        """
        return not request_id or hash(request_id) not in self.carried

    def release(self) -> None:
        """Return the connection to the pool, or close it.

        Runs after the received bytes have been parsed, so that an extra
        response among them is noticed. Unsent request bytes prevent reuse.
        """
        self.exchange = None
        transport = self.transport
        if self.closed or transport is None:
            return
        unsent = transport.get_write_buffer_size()
        if not self.reusable or unsent or transport.is_closing():
            transport.abort() if unsent else transport.close()
            self.closed = True
            return
        # The reader of the answer may have left without reading it all.
        self.resume_reading()
        self.idle_since_s = time.monotonic()
        self.on_idle(self)

    def resume_reading(self) -> None:
        """Resume reading if it was paused and the connection is open."""
        if (
            self.reading_paused
            and self.transport is not None
            and not self.closed
        ):
            self.reading_paused = False
            self.transport.resume_reading()

    def fail(self, failure: Failure, detail: str) -> None:
        """Fail the exchange and abort the connection."""
        exchange = self.exchange
        self.abort()
        if exchange is not None:
            exchange.fail(failure, detail)

    def abort(self) -> None:
        """Close the connection immediately and detach its exchange."""
        self.closed = True
        self.exchange = None
        if self.transport is not None:
            self.transport.abort()
