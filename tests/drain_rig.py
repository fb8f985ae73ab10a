"""Endpoints on real sockets whose answers state that they are draining."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

from gateway_kit import FakeTime, make_dispatcher, make_endpoint, make_route
from quetzaldyke.gateway.crashes import CrashTracker
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.event_stream import EventSplitter
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.model import Endpoint
from quetzaldyke.gateway.online_request import (
    Headers,
    OnlineRequest,
    Progress,
    RelayContext,
)
from quetzaldyke.gateway.relay import relay


@dataclass(slots=True)
class AnsweringEndpoint:
    """An endpoint that answers each request at once with set headers."""

    endpoint_id: str
    status: str = '200 OK'
    # Header lines of each answer, each with its line end.
    lines: str = ''
    # Bytes sent before the answer, `%s` being the id of the request.
    before: str = ''
    got: list[str] = field(default_factory=list)
    port: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection until it closes."""
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                rows = [row.partition(': ') for row in head.split('\r\n')[1:]]
                headers = {name.lower(): text for name, _, text in rows}
                length = int(headers.get('content-length', '0'))
                await reader.readexactly(length)
                request_id = headers['attempt-id']
                self.got.append(request_id)
                writer.write(self.answer(request_id).encode('latin-1'))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def answer(self, request_id: str) -> str:
        """Return the bytes of an answer."""
        return (
            f'{self.before}HTTP/1.1 {self.status}\r\n'
            f'Attempt-Id: {request_id}\r\nResponse-Signature: s\r\n'
            f'{self.lines}Content-Length: 2\r\n\r\nok'
        )

    def record(self, *, started_ms: int = 1) -> Endpoint:
        """Return the registration of this endpoint."""
        made = make_endpoint(self.endpoint_id, started_ms=started_ms)
        return replace(made, port=self.port)


@dataclass(slots=True)
class RecordingCaller:
    """Records the response that a caller receives."""

    status: int = 0
    headers: Headers = field(default_factory=list)

    async def start(self, status: int, headers: Headers) -> None:
        """Record status and headers."""
        self.status = status
        self.headers = headers

    async def send(self, chunk: bytes) -> None:
        """Ignore the body."""

    async def finish(self) -> None:
        """Ignore the end."""


@dataclass(slots=True)
class DrainHarness:
    """An entry without store and peers, and the endpoints of one service."""

    endpoints: list[AnsweringEndpoint]
    time: FakeTime
    dispatcher: Dispatcher
    client: HttpClient
    sent: int = 0

    async def request(self) -> RecordingCaller:
        """Relay one request and return what its caller received."""
        self.sent += 1
        caller = RecordingCaller()
        now_s = self.time.now_s
        route = make_route('idempotent')
        request_id = f'r{self.sent}'.encode()
        request = OnlineRequest(
            request_id,
            b'POST',
            b'/p/x',
            [(b'host', b'h.example'), (b'attempt-id', request_id)],
            b'body',
            route,
            'lm',
            now_s,
            now_s + route.timeout_s,
            None,
        )
        context = RelayContext(
            self.dispatcher,
            self.client,
            CrashTracker(),
            self.time.read,
            lambda *args, **fields: None,
        )
        await relay(context, request, caller, Progress(EventSplitter(None)))
        return caller


@asynccontextmanager
async def drain_harness(
    *endpoints: AnsweringEndpoint,
) -> AsyncIterator[DrainHarness]:
    """Start endpoints and an entry that knows their registrations."""
    servers = [
        await asyncio.start_server(one.serve, '127.0.0.1', 0)
        for one in endpoints
    ]
    for one, server in zip(endpoints, servers, strict=True):
        one.port = server.sockets[0].getsockname()[1]
    time = FakeTime()
    records = [one.record() for one in endpoints]
    client = HttpClient()
    try:
        yield DrainHarness(
            list(endpoints), time, make_dispatcher(time, *records), client
        )
    finally:
        client.close()
        for server in servers:
            server.close()
