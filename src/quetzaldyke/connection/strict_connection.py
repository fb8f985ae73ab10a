"""HTTP connection on which parser and program agree where a request ends.

Load pattern: requests that offer another protocol, or that several recipients
may read differently. The parser stops behind the head of a request with an
offer and would take its body for the next request; such a head is parsed again
without the offer. Whatever is ambiguous gets a 400, and its connection closes.
Trailers are dropped, as they must not become headers.
"""

from __future__ import annotations

from collections import Counter
from typing import Any, Final, cast

import httptools
from result import Err
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from quetzaldyke.connection.request_framing import (
    CHECKED_HEADERS,
    CONNECT,
    Fields,
    RequestLine,
    expects_continue,
    read_target,
    without_offer,
)

BAD_REQUEST: Final = 'Invalid HTTP request received.'
# Key of the scope's extensions under which `request_target` finds it.
TARGET_EXTENSION: Final = 'quetzaldyke.target'


class RefusedHeadError(Exception):
    """The head of a request is refused."""


class CountingState(ServerState):
    """State of a server, with what its connections have declined."""

    def __init__(self) -> None:
        """Create the state of a server without connections."""
        super().__init__()
        # Requests that got a 400, by reason.
        self.refused_heads: Counter[str] = Counter()
        # Requests that were served as if they offered no other protocol.
        self.declined_offers = 0


def new_parser(protocol: HttpToolsProtocol) -> httptools.HttpRequestParser:
    """Return a parser that skips what follows a request that closes."""
    parser = httptools.HttpRequestParser(protocol)
    parser.set_dangerous_leniencies(lenient_data_after_close=True)
    return parser


class StrictConnection(HttpToolsProtocol):
    """A connection that serves requests which can be read in one way only."""

    def __init__(self, *args: Any, **keywords: Any) -> None:
        """Create a connection that has received nothing yet."""
        super().__init__(*args, **keywords)
        self.parser = new_parser(self)
        self.counts = cast('CountingState', self.server_state)
        self.in_head = False
        # From the end of a head to the end of the body and its trailers.
        self.in_body = False
        self.has_trailers = False
        # Whether the parser stopped at an offer of another protocol.
        self.offered = False
        self.checked: Fields = []
        self.fault = ''
        # Whether a connection that a caller may not go on using stays open if
        # the body comes before the answer.
        self.reusable_after_body = False
        # Why the bytes behind the current request are refused; empty if not.
        self.refusal = ''

    def data_received(self, data: bytes) -> None:
        """Parse data; refuse what is malformed."""
        if self.refusal:
            return
        self._unset_keepalive_if_required()
        self.fault = ''
        try:
            self.parse(data)
        except httptools.HttpParserError:
            self.counts.refused_heads[self.fault or 'malformed'] += 1
            self.send_400_response(BAD_REQUEST)

    def parse(self, data: bytes) -> None:
        """Parse data; raises `HttpParserError` if it is malformed.

        Reading goes on behind each head with an offer, where the parser stops.
        """
        unread: bytes | memoryview = data
        while unread:
            try:
                self.parser.feed_data(unread)
            except httptools.HttpParserUpgrade as stopped:
                unread = memoryview(unread)[stopped.args[0] :]
                self.decline_offer()
                continue
            return

    def decline_offer(self) -> None:
        """Parse the current head again, as if it made no offer."""
        head = without_offer(self.request_line(), self.headers)
        self.counts.declined_offers += 1
        # The parser may take the connection for closed behind the offer.
        self.parser = new_parser(self)
        self.parser.feed_data(head)

    def request_line(self) -> RequestLine:
        """Return the request line of the current head."""
        return RequestLine(
            self.parser.get_method(),
            self.url,
            self.parser.get_http_version(),
        )

    def on_message_begin(self) -> None:
        """Start a head."""
        self.in_head = True
        self.has_trailers = False
        self.offered = False
        self.checked = []
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; drop a trailer."""
        if not self.in_head:
            self.has_trailers = True
            return
        name = name.lower()
        value = value.rstrip(b' \t')
        if name in CHECKED_HEADERS:
            self.checked.append((name, value))
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Start serving a request, unless it is refused or parsed again.

        Raises `RefusedHeadError`, which the parser reports as its own error.
        """
        self.in_head = False
        line = self.request_line()
        if self.parser.should_upgrade() and line.method != CONNECT:
            self.offered = True
            return
        target = read_target(line, self.checked)
        if isinstance(target, Err):
            self.fault = target.err_value
            raise RefusedHeadError(self.fault)
        self.in_body = True
        self.url = target.ok_value
        waits = len(self.checked) > 1 and expects_continue(line, self.checked)
        self.expect_100_continue = waits  # noqa: WPS114
        self.scope['extensions'] = {TARGET_EXTENSION: {'target': self.url}}
        super().on_headers_complete()
        self.reusable_after_body = False
        if waits:
            # A caller that gets its answer first may leave out the body.
            self.reusable_after_body = self.cycle.keep_alive
            self.cycle.keep_alive = False

    def on_message_complete(self) -> None:
        """End a request, but not one whose head is parsed again."""
        if self.offered:
            return
        self.in_body = False
        if self.reusable_after_body and not self.cycle.response_started:
            self.cycle.keep_alive = True
        if self.has_trailers and not self.parser.should_keep_alive():
            # Nothing that follows is parsed.
            self.cycle.keep_alive = False
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Refuse what follows the request if it is malformed."""
        super().on_response_complete()
        if self.refusal:
            self.send_400_response(self.refusal)

    def shutdown(self) -> None:
        """Close the connection after the current answer."""
        self.reusable_after_body = False
        super().shutdown()

    def send_400_response(self, msg: str) -> None:  # noqa: WPS114
        """Refuse malformed bytes, but not while an earlier answer is sent.

        The error would stand in that answer, or be taken for it. Bytes of a
        body whose answer has begun close the connection.
        """
        if self.is_answering():
            self.refusal = msg
            self.flow.pause_reading()
        elif self.in_body and self.cycle.response_started:
            self.transport.close()
        else:
            super().send_400_response(msg)

    def is_serving(self) -> bool:
        """Tell whether a request is being read or answered."""
        return self.cycle is not None and not self.cycle.response_complete

    def is_receiving(self) -> bool:
        """Tell whether the body or trailers of a request are being read."""
        return self.is_serving() and self.cycle.more_body

    def is_answering(self) -> bool:
        """Tell whether a request is being answered that was read completely.

        Other requests of the connection then wait, read only in part.
        """
        return bool(self.pipeline) or (
            self.is_serving() and not self.cycle.more_body
        )


def request_target(scope: Any) -> bytes:
    """Return path and query of a request as they were received.

    The other keys of a scope don't tell an empty query from none.
    """
    extension = scope.get('extensions', {}).get(TARGET_EXTENSION)
    if extension is not None:
        return cast('bytes', extension['target'])
    query: bytes = scope['query_string']
    raw_path: bytes = scope['raw_path']
    return b'%b?%b' % (raw_path, query) if query else raw_path
