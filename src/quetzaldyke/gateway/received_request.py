"""A caller's request as the server received it, and the way to answer it."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import parse_qs, unquote

from quetzaldyke.connection.caller_connection import BACKLOG_STATE
from quetzaldyke.connection.http_server import Receive, Scope, Send
from quetzaldyke.connection.strict_connection import request_target
from quetzaldyke.gateway.online_request import Headers
from quetzaldyke.parts.byte_budget import Holding
from quetzaldyke.parts.decimals import parse_decimal


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A caller's HTTP request with its whole body."""

    method: bytes
    # Request target: raw path and query string.
    target: bytes
    path: str
    query: bytes
    host: str
    headers: Headers
    body: bytes
    # How long its connection had waited to be accepted.
    backlog_s: float = 0.0

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of that name, or None."""
        for known, content in self.headers:
            if known == name:
                return content
        return None

    def sole_header(self, name: bytes) -> bytes | None:
        """Return the header of that name, or None unless there is just one.

        Of several, the next recipient may take another one than this entry.
        """
        found = [content for known, content in self.headers if known == name]
        return found[0] if len(found) == 1 else None

    def number(self, name: bytes) -> int | None:
        """Return a header as an integer, cut to the largest one in use.

        Returns None if it is missing or is not a decimal number.
        """
        return parse_decimal(self.header(name))


class AsgiCaller:
    """Sends one response to a caller over ASGI."""

    def __init__(self, send: Send, *, closing: bool) -> None:
        """Wrap an ASGI send; closing ends the connection afterwards."""
        self.asgi_send = send
        self.closing = closing
        self.started = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers of the response."""
        self.started = True
        if self.closing:
            headers = [*headers, (b'connection', b'close')]
        await self.asgi_send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            },
        )

    async def send(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        await self.asgi_send(
            {'type': 'http.response.body', 'body': chunk, 'more_body': True},
        )

    async def finish(self) -> None:
        """End the response body."""
        await self.asgi_send(
            {'type': 'http.response.body', 'body': b'', 'more_body': False},
        )


class CallerDisconnectedError(Exception):
    """The caller disconnected before its request was complete."""


def build_request(
    scope: Scope, headers: Headers, body: bytes
) -> ReceivedRequest:
    """Build a received request from an ASGI scope, headers and body."""
    query: bytes = scope['query_string']
    raw_path: bytes = scope['raw_path']
    host = next((text for name, text in headers if name == b'host'), b'')
    return ReceivedRequest(
        method=scope['method'].encode('latin-1'),
        target=request_target(scope),
        path=raw_path.decode('latin-1'),
        query=query,
        host=host.decode('latin-1').lower(),
        headers=headers,
        body=body,
        backlog_s=scope.get('state', {}).get(BACKLOG_STATE, 0.0),
    )


async def read_body(
    receive: Receive, held: Holding, max_bytes: int
) -> bytes | None:
    """Return the body of a request; None if it is too large.

    Counts its bytes in `held`. Raises `CallerDisconnectedError` if the caller
    leaves meanwhile.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerDisconnectedError
        part = message.get('body', b'')
        body += part
        held.grow(len(part))
        if len(body) > max_bytes:
            return None
        if not message.get('more_body', False):
            return bytes(body)


def decode_id(text: str) -> str:
    """Return the id in a path, where callers may have to encode characters.

    >>> decode_id('a%2Fb'), decode_id('a/b')
    ('a/b', 'a/b')
    """
    return unquote(text, 'latin-1')


def query_text(query: bytes, name: str) -> str:
    """Return a parameter of a query string, empty when it is missing.

    >>> query_text(b'id=a%2Fb', 'id')
    'a/b'
    """
    values = parse_qs(query.decode('latin-1')).get(name, [''])
    return values[0]


def query_number(query: bytes, name: str) -> int:
    """Return a numeric parameter, 0 when it is missing or no number."""
    return parse_decimal(query_text(query, name)) or 0
