"""A caller's connection without network, and a strict reader of requests."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Sequence
from typing import Any, Final, NamedTuple, cast

import uvicorn

from quetzaldyke.connection.caller_connection import CallerConnection
from quetzaldyke.connection.http_server import Receive, Scope, Send
from quetzaldyke.connection.strict_connection import CountingState
from quetzaldyke.gateway.forwarded_headers import request_headers
from quetzaldyke.gateway.http_client import encode_request
from quetzaldyke.gateway.received_request import build_request, read_body
from quetzaldyke.parts.byte_budget import ByteBudget

# Turns of the event loop in which the rig does all there is to do.
TURNS: Final = 24
MAX_BODY_BYTES: Final = 1_000_000
# Further spaces are allowed: section 3 of RFC 9112 permits it, and they are not
# forwarded.
LINE: Final = re.compile(
    rb'([A-Z-]+) +(/[!-\"$-~]*|\*|http://[!-\"$-~]+) +HTTP/1\.([01])'
)
HEADER: Final = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t -~\x80-\xff]*)"
)
HOST: Final = re.compile(
    rb"([a-zA-Z0-9_.~%!$&'()*+,;=-]*|\[[a-zA-Z0-9_.~%!$&'()*+,;=:-]+\])(:[0-9]*)?"
)
CHUNK: Final = re.compile(rb'([0-9A-Fa-f]{1,15})(?:;[\t -~\x80-\xff]*)?\r\n')
HOP_BY_HOP: Final = set(
    b'connection keep-alive proxy-connection te trailer transfer-encoding '
    b'upgrade http2-settings expect content-length deadline-ms last-event-id '
    b'expect-instance'.split()
)


class Message(NamedTuple):
    """A request, as far as it must reach the endpoint unchanged."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class Malformed(Exception):
    """Bytes that are no unambiguous request."""


def read_head(head: bytes) -> tuple[bytes, bytes, bytes, list[Any]]:
    """Return method, target, minor version and headers."""
    start, *lines = head.split(b'\r\n')
    line = LINE.fullmatch(start)
    found = [HEADER.fullmatch(text) for text in lines]
    if line is None or not all(found) or line[1] == b'CONNECT':
        raise Malformed(head)
    pairs = [(m[1].lower(), m[2].strip(b' \t')) for m in found if m]
    hosts = [content for name, content in pairs if name == b'host']
    target = line[2]
    if target.startswith(b'http:'):
        authority = re.split(rb'[/?]', target[7:])[0]
        if [authority] != hosts:
            raise Malformed(head)
        target = target[7 + len(authority) :]
        if not target.startswith(b'/'):
            target = b'/' + target if target or line[1] != b'OPTIONS' else b'*'
    if len(hosts) > 1 or not all(map(HOST.fullmatch, hosts)):
        raise Malformed(head)
    if (target == b'*') != (line[1] == b'OPTIONS'):
        raise Malformed(head)
    return line[1], target, line[3], pairs


def read_message(data: bytes) -> tuple[Message, bytes, bool] | None:
    """Return the first request, the bytes behind it and whether it is last.

    Returns None if it is incomplete; raises `Malformed`.
    """
    head, end, rest = data.lstrip(b'\r\n').partition(b'\r\n\r\n')
    if not end:
        return None
    method, target, minor, pairs = read_head(head)
    sizes = [content for name, content in pairs if name == b'content-length']
    codings = [c.lower() for n, c in pairs if n == b'transfer-encoding']
    if codings:
        if sizes or codings != [b'chunked'] or minor == b'0':
            raise Malformed(head)
        read = read_chunks(rest)
        if read is None:
            return None
        body, rest = read
    else:
        if len(sizes) > 1 or not all(
            re.fullmatch(rb'\d{1,18}', s) for s in sizes
        ):
            raise Malformed(head)
        size = int(sizes[0]) if sizes else 0
        if len(rest) < size:
            return None
        body, rest = rest[:size], rest[size:]
    options = b','.join(c for n, c in pairs if n == b'connection').lower()
    listed = {option.strip() for option in options.split(b',')}
    dropped = HOP_BY_HOP | listed - {b'host', b'attempt-id', b'content-type'}
    kept = tuple(pair for pair in pairs if pair[0] not in dropped)
    message = Message(method, target, kept, body)
    return message, rest, minor == b'0' or b'close' in listed


def read_chunks(rest: bytes) -> tuple[bytes, bytes] | None:
    """Return a body in chunks and what follows; None if it is incomplete."""
    body = b''
    while True:
        if b'\r\n' not in rest:
            return None
        line = CHUNK.match(rest)
        if line is None:
            raise Malformed(rest)
        size, rest = int(line[1], 16), rest[line.end() :]
        if size == 0:
            break
        if len(rest) < size + 2:
            return None
        if rest[size : size + 2] != b'\r\n':
            raise Malformed(rest)
        body, rest = body + rest[:size], rest[size + 2 :]
    trailers, end, behind = (b'\r\n' + rest).partition(b'\r\n\r\n')
    if not end:
        return None
    framing = (b'content-length', b'transfer-encoding')
    for text in trailers.split(b'\r\n')[1:]:
        trailer = HEADER.fullmatch(text)
        if trailer is None or trailer[1].lower() in framing:
            raise Malformed(text)
    return body, behind


def read_all(data: bytes) -> tuple[list[Message], bool]:
    """Return the requests in some bytes, and whether all are well-formed."""
    messages = []
    try:
        while read := read_message(data):
            message, data, last = read
            messages.append(message)
            if last:
                break
    except Malformed:
        return messages, False
    return messages, True


class FakeTransport:
    """The transport of a connection that exists only in memory."""

    def __init__(self) -> None:
        """Create an open transport."""
        self.protocol: CallerConnection | None = None
        self.written = b''
        self.closing = False
        self.paused = False

    def write(self, data: bytes) -> None:
        """Keep what the caller gets."""
        if not self.closing:
            self.written += data

    def close(self) -> None:
        """Close the connection in a later turn of the loop."""
        if not self.closing and self.protocol is not None:
            self.closing = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self.protocol.connection_lost, None)

    def is_closing(self) -> bool:
        """Tell whether the connection is closed."""
        return self.closing

    def pause_reading(self) -> None:
        """Hold back what the caller sends."""
        self.paused = True

    def resume_reading(self) -> None:
        """Pass on what the caller sends."""
        self.paused = False

    def get_extra_info(self, name: str) -> None:
        """Return nothing: there are no addresses."""


class Caller:
    """Sends bytes to a connection; keeps what is sent to the endpoint."""

    def __init__(self) -> None:
        """Open a connection."""
        # Whether a request is answered behind its body, or at once.
        self.reads_bodies = True
        config = uvicorn.Config(
            self.serve,
            interface='asgi3',
            lifespan='off',
            proxy_headers=False,
            log_config=None,
        )
        self.state = CountingState()
        self.connection = CallerConnection(
            config=config, server_state=self.state, app_state={}
        )
        self.transport = FakeTransport()
        self.transport.protocol = self.connection
        self.connection.connection_made(cast('Any', self.transport))
        self.forwarded: list[bytes] = []

    async def serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Forward a request as the gateway does, and answer it."""
        with ByteBudget(MAX_BODY_BYTES).holding(lambda: None) as held:
            body: bytes | None = b''
            if self.reads_bodies:
                body = await read_body(receive, held, MAX_BODY_BYTES)
        assert body is not None
        request = build_request(scope, list(scope['headers']), body)
        headers = request_headers(request.headers)
        self.forwarded.append(
            encode_request(request.method, request.target, headers, body)
        )
        head = [(b'content-length', b'0')]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': head}
        )
        await send({'type': 'http.response.body', 'body': b''})

    async def send(self, pieces: Sequence[bytes]) -> None:
        """Send pieces while the connection is open."""
        for piece in pieces:
            for _ in range(TURNS):
                if not self.transport.paused:
                    break
                await asyncio.sleep(0)
            if self.transport.closing:
                break
            self.connection.data_received(piece)
            await asyncio.sleep(0)
        for _ in range(TURNS):
            await asyncio.sleep(0)

    def received(self) -> list[Message]:
        """Return what the endpoint reads."""
        messages = []
        for raw in self.forwarded:
            read = read_message(raw)
            assert read is not None
            assert read[1] == b''
            messages.append(read[0])
        return messages
