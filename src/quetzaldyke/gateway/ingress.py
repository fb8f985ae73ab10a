"""Turns HTTP requests of callers into requests of the project, and back."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import anyio

from quetzaldyke.connection.http_server import (
    App,
    HttpServer,
    Receive,
    Scope,
    Send,
)
from quetzaldyke.gateway.event_stream import EventSplitter
from quetzaldyke.gateway.incomplete_response import IncompleteResponseError
from quetzaldyke.gateway.model import CallerLimits, Configuration, Route
from quetzaldyke.gateway.online_request import (
    Headers,
    OnlineRequest,
    Progress,
    RelayContext,
)
from quetzaldyke.gateway.relay import relay
from quetzaldyke.gateway.responses import send_refusal, send_response
from quetzaldyke.gateway.route_table import RouteTable, choose_service
from quetzaldyke.platform import names
from quetzaldyke.process.metrics import Metrics

MS_IN_S: Final = 1000
STATUS_OK: Final = 200
STATUS_BAD_REQUEST: Final = 400
STATUS_NOT_FOUND: Final = 404
STATUS_TOO_LARGE: Final = 413
STATUS_HEADERS_TOO_LARGE: Final = 431
STATUS_UNAVAILABLE: Final = 503
NO_CONFIGURATION_RETRY_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """One request of a caller, read whole."""

    method: bytes
    # Path and query as the caller sent them.
    target: bytes
    path: str
    query: bytes
    host: str
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of that name."""
        for known, content in self.headers:
            if known == name:
                return content
        return None

    def number(self, name: bytes) -> int | None:
        """Return a header that holds a number, or None."""
        text = self.header(name)
        return int(text) if text is not None and text.isdigit() else None


class AsgiCaller:
    """The caller's side of one request."""

    def __init__(self, send: Send, *, closing: bool) -> None:
        """Create a caller that has got nothing yet."""
        self.asgi_send = send
        self.closing = closing

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
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
        """Send a part of the body."""
        await self.asgi_send(
            {'type': 'http.response.body', 'body': chunk, 'more_body': True},
        )

    async def finish(self) -> None:
        """Mark the answer as complete."""
        await self.asgi_send(
            {'type': 'http.response.body', 'body': b'', 'more_body': False},
        )


class CallerDisconnectedError(Exception):
    """The caller closed its channel before its request was complete."""


JobHandler = Callable[
    [ReceivedRequest, Route | None, AsgiCaller],
    Awaitable[bool],
]


@dataclass(slots=True)
class Ingress:
    """ASGI application of the callers' listener."""

    context: RelayContext
    metrics: Metrics
    generator: random.Random
    # Serves the calls of batch jobs; False when it is none of them.
    handle_job: JobHandler
    # Whether the configuration is recent enough to say that a route is not
    # there.
    is_current: Callable[[], bool]
    table: RouteTable | None = None
    limits: CallerLimits = field(default_factory=CallerLimits)
    # Set at a planned stop: every answer then ends its connection.
    closing: bool = False
    open_requests: int = 0

    def configure(self, configuration: Configuration) -> None:
        """Serve by a new configuration from now on."""
        self.table = RouteTable.from_configuration(configuration)
        self.limits = configuration.limits

    def time_out_callers(self, server: HttpServer) -> None:
        """End the connections that exceed the operator's time limits."""
        ended = server.time_out_callers(
            self.limits.header_timeout_s,
            self.limits.idle_timeout_s,
        )
        for reason, count in ended.items():
            self.metrics.count('callers_timed_out_total', count, limit=reason)
            self.context.log_event(
                'callers_timed_out',
                limit=reason,
                connections=count,
            )

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        self.open_requests += 1
        caller = AsgiCaller(send, closing=self.closing)
        try:
            request = await self.read_request(scope, receive, caller)
            if request is not None:
                await self.serve_until_disconnect(request, receive, caller)
        except CallerDisconnectedError:
            self.metrics.count('callers_left_early_total')
        finally:
            self.open_requests -= 1

    async def serve_until_disconnect(
        self,
        request: ReceivedRequest,
        receive: Receive,
        caller: AsgiCaller,
    ) -> None:
        """Serve a request and stop its work when the caller leaves."""
        incomplete: IncompleteResponseError | None = None
        async with anyio.create_task_group() as group:

            async def watch_caller() -> None:
                while (await receive())['type'] != 'http.disconnect':
                    pass
                group.cancel_scope.cancel()

            group.start_soon(watch_caller)
            try:
                await self.serve(request, caller)
            except IncompleteResponseError as exc:
                incomplete = exc
            group.cancel_scope.cancel()
        if incomplete is not None:
            # The server closes a channel whose answer ends in an error.
            raise incomplete

    async def read_request(
        self,
        scope: Scope,
        receive: Receive,
        caller: AsgiCaller,
    ) -> ReceivedRequest | None:
        """Read a request within the limits, or reject it."""
        headers: Headers = list(scope['headers'])
        size = sum(len(name) + len(content) + 4 for name, content in headers)
        if size > self.limits.max_header_bytes:
            await self.reject(caller, STATUS_HEADERS_TOO_LARGE)
            return None
        body = bytearray()
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                raise CallerDisconnectedError
            body += message.get('body', b'')
            if len(body) > self.limits.max_body_bytes:
                await self.reject(caller, STATUS_TOO_LARGE)
                return None
            if not message.get('more_body', False):
                break
        return build_request(scope, headers, bytes(body))

    async def serve(self, request: ReceivedRequest, caller: AsgiCaller) -> None:
        """Find the route of a request and serve it."""
        if self.table is None:
            await self.refuse(caller, request, 'no_configuration')
            return
        route = self.table.find(request.host, request.path)
        if await self.handle_job(request, route, caller):
            return
        if route is None:
            if self.is_current():
                await self.reject(caller, STATUS_NOT_FOUND)
            else:
                await self.refuse(caller, request, 'configuration_too_old')
            return
        online = self.to_online_request(request, route)
        if online is None:
            await self.reject(caller, STATUS_BAD_REQUEST)
            return
        await self.relay(online, caller)

    async def relay(self, online: OnlineRequest, caller: AsgiCaller) -> None:
        """Relay a request and record how it ended."""
        kind = online.route.kind
        cancelled = anyio.get_cancelled_exc_class()
        progress = Progress(EventSplitter(online.last_event))
        try:
            outcome = await relay(self.context, online, caller, progress)
        except IncompleteResponseError as exc:
            self.record(online, kind, 'broken', str(exc), progress)
            raise
        except cancelled:
            self.record(online, kind, 'caller_left', '', progress)
            raise
        status = str(outcome.status)
        self.record(online, kind, status, outcome.reason, progress)

    def record(
        self,
        online: OnlineRequest,
        kind: str,
        status: str,
        reason: str,
        progress: Progress,
    ) -> None:
        """Log and count the end of a request."""
        now_s = self.context.now()
        elapsed_ms = (now_s - online.arrived_s) * MS_IN_S
        self.metrics.count('requests_total', kind=kind, status=status)
        self.metrics.observe_ms('request_ms', elapsed_ms, kind=kind)
        self.context.log_event(
            'request_served' if reason == 'served' else 'request_failed',
            request=online.request_id.decode('latin-1'),
            route=online.route.name,
            kind=kind,
            status=status,
            reason=reason,
            elapsed_ms=int(elapsed_ms),
            placed_ms=span_ms(online.arrived_s, progress.placed_s),
            first_ms=span_ms(online.arrived_s, progress.first_event_at_s),
            deadline_ms=span_ms(online.arrived_s, online.deadline_s),
            endpoint=progress.endpoint_id,
            running=progress.running,
            sends=progress.sends,
            attempts=progress.attempts,
            last_event=progress.splitter.last_id,
            config=self.table.version if self.table else 0,
        )

    def to_online_request(
        self,
        request: ReceivedRequest,
        route: Route,
    ) -> OnlineRequest | None:
        """Return the request to relay, or None if it has no id."""
        request_id = request.header(names.ATTEMPT_ID)
        if not request_id:
            return None
        now_s = self.context.now()
        requested_ms = request.number(names.DEADLINE)
        limit_s = route.timeout_s
        if requested_ms is not None:
            limit_s = min(limit_s, requested_ms / MS_IN_S)
        return OnlineRequest(
            request_id=request_id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            route=route,
            service=choose_service(route, self.generator),
            arrived_s=now_s,
            deadline_s=now_s + limit_s,
            last_event=request.number(names.LAST_EVENT),
        )

    async def reject(self, caller: AsgiCaller, status: int) -> None:
        """Reject a request that is wrong in itself."""
        self.metrics.count('requests_rejected_total', status=str(status))
        self.context.log_event('request_rejected', status=status)
        await send_response(caller, status)

    async def refuse(
        self,
        caller: AsgiCaller,
        request: ReceivedRequest,
        reason: str,
    ) -> None:
        """Refuse a request that this entry can't judge yet."""
        request_id = request.header(names.ATTEMPT_ID) or b''
        self.metrics.count('requests_refused_total', reason=reason)
        self.context.log_event(
            'request_refused',
            request=request_id.decode('latin-1'),
            reason=reason,
        )
        pause = b'%.2f' % NO_CONFIGURATION_RETRY_S
        await send_refusal(caller, STATUS_UNAVAILABLE, pause)


def span_ms(start_s: float, end_s: float) -> int | str:
    """Return a span in ms, or nothing if its end never came."""
    return int((end_s - start_s) * MS_IN_S) if end_s else ''


def build_request(
    scope: Scope, headers: Headers, body: bytes
) -> ReceivedRequest:
    """Return a request in the project's form."""
    query: bytes = scope['query_string']
    raw_path: bytes = scope['raw_path']
    host = next((text for name, text in headers if name == b'host'), b'')
    return ReceivedRequest(
        method=scope['method'].encode('latin-1'),
        target=b'%b?%b' % (raw_path, query) if query else raw_path,
        path=raw_path.decode('latin-1'),
        query=query,
        host=host.decode('latin-1').lower(),
        headers=headers,
        body=body,
    )


def readiness_app(unready_reason: Callable[[], str]) -> App:
    """Return the ASGI application of the readiness listener."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        reason = unready_reason().encode()
        status = STATUS_UNAVAILABLE if reason else STATUS_OK
        await send_response(AsgiCaller(send, closing=False), status, reason)

    return app
