"""Accepts HTTP requests of callers, validates and routes them."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from result import Err

from quetzaldyke.connection.http_server import (
    HttpServer,
    Receive,
    Scope,
    Send,
)
from quetzaldyke.gateway.authentication import Identity
from quetzaldyke.gateway.event_stream import EventSplitter
from quetzaldyke.gateway.incomplete_response import IncompleteResponseError
from quetzaldyke.gateway.key_check import Denial, KeyCheck
from quetzaldyke.gateway.loading import (
    BacklogTime,
    LoadingWait,
    no_backlog,
    no_wait,
)
from quetzaldyke.gateway.model import CallerLimits, Configuration, Route
from quetzaldyke.gateway.online_request import (
    Headers,
    OnlineRequest,
    Outcome,
    Progress,
    RelayContext,
)
from quetzaldyke.gateway.open_requests import OpenRequests
from quetzaldyke.gateway.rate_demand import RateLimiter, admit_all
from quetzaldyke.gateway.received_request import (
    AsgiCaller,
    CallerDisconnectedError,
    ReceivedRequest,
    build_request,
    read_body,
)
from quetzaldyke.gateway.relay import end_request, relay
from quetzaldyke.gateway.request_building import (
    ServiceChoice,
    online_request_of,
)
from quetzaldyke.gateway.request_outcome import FinalOutcome, record_outcome
from quetzaldyke.gateway.responses import send_refusal, send_response
from quetzaldyke.gateway.route_table import RouteTable, choose_service
from quetzaldyke.gateway.stop_window import StopWindow
from quetzaldyke.parts.byte_budget import ByteBudget, Holding
from quetzaldyke.platform import names
from quetzaldyke.process.metrics import Metrics

STATUS_BAD_REQUEST: Final = 400
STATUS_UNAUTHORIZED: Final = 401
STATUS_NOT_FOUND: Final = 404
STATUS_TOO_LARGE: Final = 413
STATUS_TOO_MANY_REQUESTS: Final = 429
STATUS_HEADERS_TOO_LARGE: Final = 431
STATUS_BAD_GATEWAY: Final = 502
STATUS_UNAVAILABLE: Final = 503
CONFIGURATION_RETRY_S: Final = 1.0
# Bytes of all callers' bodies in memory.
MAX_BODIES_BYTES: Final = 16_777_216
# Outcome of a request that is ended because the entry leaves.
LEFT_REASON: Final = 'entry_left'

JobHandler = Callable[
    [ReceivedRequest, Route | None, Identity, AsgiCaller],
    Awaitable[bool],
]


async def no_refresh() -> None:
    """Use the configuration in force."""


@dataclass(slots=True)
class Ingress:
    """ASGI application that serves the callers' requests."""

    context: RelayContext
    metrics: Metrics
    generator: random.Random
    # Serves requests to the batch job API; returns False for all others.
    handle_job: JobHandler
    # Whether the configuration was confirmed recently enough to answer an
    # unknown route with 404.
    is_current: Callable[[], bool]
    keys: KeyCheck
    wait_until_loaded: LoadingWait = no_wait
    backlog_s: BacklogTime = no_backlog
    # Reads the configuration if it is too old to decide a request.
    refresh: Callable[[], Awaitable[None]] = no_refresh
    # Admits or refuses a request by the rate of its organisation.
    admit: RateLimiter = admit_all
    table: RouteTable | None = None
    limits: CallerLimits = field(default_factory=CallerLimits)
    # Set during a graceful shutdown: every response then closes its
    # connection.
    closing: bool = False
    open_requests: OpenRequests = field(default_factory=OpenRequests)
    window: StopWindow = field(default_factory=StopWindow)
    # Bodies of the requests that are open.
    bodies: ByteBudget = field(
        default_factory=lambda: ByteBudget(MAX_BODIES_BYTES)
    )

    @property
    def version(self) -> int:
        """Return the version of the routes in force; 0 without any."""
        return self.table.version if self.table else 0

    def configure(self, configuration: Configuration) -> None:
        """Replace the route table and the caller limits."""
        self.table = RouteTable.from_configuration(configuration)
        self.limits = configuration.limits
        self.window.keep_routes(self.table.by_name)

    def time_out_callers(self, server: HttpServer) -> None:
        """Close, count and log connections that exceed a caller timeout."""
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
        self.note_declined(server)

    def note_declined(self, server: HttpServer) -> None:
        """Count and log the heads and offers that connections declined."""
        refused, offers = server.take_declined()
        for reason, count in refused.items():
            self.metrics.count('requests_malformed_total', count, reason=reason)
            self.context.log_event(
                'requests_malformed', reason=reason, requests=count
            )
        if offers:
            self.metrics.count('upgrade_offers_total', offers)

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request; count a caller that disconnects early."""
        caller = AsgiCaller(send, closing=self.closing)
        with (
            self.open_requests.counted(),
            self.bodies.holding(lambda: None) as held,
        ):
            try:
                request = await self.read_request(scope, receive, caller, held)
                if request is not None:
                    await self.serve_until_disconnect(request, receive, caller)
            except CallerDisconnectedError:
                self.metrics.count('callers_left_early_total')

    async def serve_until_disconnect(
        self,
        request: ReceivedRequest,
        receive: Receive,
        caller: AsgiCaller,
    ) -> None:
        """Serve a request; cancel it when the caller disconnects.

        Raises `IncompleteResponseError` when a started response can't be
        completed.
        """
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
            # The server closes a connection whose response raises an error.
            raise incomplete

    async def read_request(
        self,
        scope: Scope,
        receive: Receive,
        caller: AsgiCaller,
        held: Holding,
    ) -> ReceivedRequest | None:
        """Read a request; reject it and return None if it is too large.

        It is refused if it holds the most bytes of all bodies that together
        are too large. Raises `CallerDisconnectedError` if the caller leaves
        meanwhile.
        """
        headers: Headers = list(scope['headers'])
        size = sum(len(name) + len(content) + 4 for name, content in headers)
        if size > self.limits.max_header_bytes:
            await self.reject(caller, STATUS_HEADERS_TOO_LARGE)
            return None
        with anyio.CancelScope() as crowded:
            held.on_evict = crowded.cancel
            body = await read_body(receive, held, self.limits.max_body_bytes)
            if body is None:
                await self.reject(caller, STATUS_TOO_LARGE)
                return None
            held.evictable = False
            return build_request(scope, headers, body)
        await self.refuse(
            caller, build_request(scope, headers, b''), 'bodies_too_large'
        )
        return None

    async def serve(self, request: ReceivedRequest, caller: AsgiCaller) -> None:
        """Pass a request to the job API or to the route that matches it."""
        if not request.host:
            await self.reject(caller, STATUS_BAD_REQUEST)
            return
        arrived_s = self.context.now() - self.backlog_s(request.backlog_s)
        await self.wait_until_loaded(request)
        await self.refresh()
        admitted = await self.keys.admit(request, lambda: self.table)
        if isinstance(admitted, Err):
            await self.deny(caller, request, admitted.err_value)
            return
        route = admitted.ok_value.route
        identity = admitted.ok_value.identity
        if await self.serve_job(request, route, identity, caller):
            return
        if route is None:
            await self.reject_unknown_route(caller, request)
            return
        online = online_request_of(
            request, route, identity, arrived_s, self.choose_service(arrived_s)
        )
        if online is None:
            await self.reject(caller, STATUS_BAD_REQUEST)
            return
        online.version = self.version
        online.configuration_as_of_s = self.keys.feed.confirmation.as_of_s
        now_s = self.context.now()
        if not self.window.fits(route.name, online.deadline_s, now_s):
            retry_after_s = self.window.retry_after_s(now_s)
            await self.refuse(caller, request, 'stopping', retry_after_s)
            return
        admission = await self.admit(online.organisation, online.deadline_s)
        if isinstance(admission, Err):
            await self.refuse(
                caller,
                request,
                'organisation_rate',
                admission.err_value.retry_after_s,
                status=STATUS_TOO_MANY_REQUESTS,
                organisation=identity.name,
            )
            return
        await self.relay(online, caller)

    def choose_service(self, now_s: float) -> ServiceChoice:
        """Return the choice of a service among those that have endpoints."""
        endpoints = self.context.dispatcher.endpoints
        return lambda route: choose_service(
            route,
            self.generator,
            lambda service: bool(endpoints.usable(service, now_s)),
        )

    async def deny(
        self, caller: AsgiCaller, request: ReceivedRequest, denial: Denial
    ) -> None:
        """Reject a request with an unknown key, or refuse it for now."""
        if not denial.unauthorized:
            await self.refuse(caller, request, denial.reason)
            return
        status = STATUS_UNAUTHORIZED
        self.metrics.count('requests_rejected_total', status=str(status))
        self.context.log_event(
            'request_unauthorized',
            request=id_of(request),
            route=denial.route,
            reason=denial.reason,
            config=self.version,
        )
        await send_response(caller, status, headers=[names.AUTHENTICATE])

    async def reject_unknown_route(
        self, caller: AsgiCaller, request: ReceivedRequest
    ) -> None:
        """Reject a request whose route is not configured.

        An entry that may not know the current version refuses it for now.
        """
        if self.is_current():
            await self.reject(caller, STATUS_NOT_FOUND)
        else:
            await self.refuse(caller, request, 'configuration_too_old')

    async def serve_job(
        self,
        request: ReceivedRequest,
        route: Route | None,
        identity: Identity,
        caller: AsgiCaller,
    ) -> bool:
        """Serve a request about a job; return whether it was one.

        Answers 502 if the entry leaves before it is served.
        """
        with self.open_requests.endable() as scope:
            return await self.handle_job(request, route, identity, caller)
        if not caller.started:
            await send_response(caller, STATUS_BAD_GATEWAY)
        return scope.cancelled_caught

    async def relay(self, online: OnlineRequest, caller: AsgiCaller) -> None:
        """Relay a request to an endpoint; log and count the outcome."""
        cancelled = anyio.get_cancelled_exc_class()
        progress = Progress(EventSplitter(online.last_event))
        outcome = Outcome(0, '')
        try:
            with self.open_requests.endable() as scope:
                outcome = await relay(self.context, online, caller, progress)
            if scope.cancelled_caught:
                outcome = await end_request(caller, progress, LEFT_REASON)
        except IncompleteResponseError as exc:
            self.record(online, 'broken', str(exc), progress)
            raise
        except cancelled:
            self.record(online, 'caller_left', '', progress)
            raise
        status = str(outcome.status)
        self.record(online, status, outcome.reason, progress)

    def record(
        self,
        online: OnlineRequest,
        status: str,
        reason: str,
        progress: Progress,
    ) -> None:
        """Log the outcome of a request and update its metrics."""
        now_s = self.context.now()
        if reason == 'served':
            self.window.note_served(online.route.name, now_s - online.arrived_s)
        record_outcome(
            self.metrics,
            self.context.log_event,
            online,
            FinalOutcome(status, reason, now_s - online.arrived_s),
            progress,
        )

    async def reject(self, caller: AsgiCaller, status: int) -> None:
        """Reject an invalid or unroutable request."""
        self.metrics.count('requests_rejected_total', status=str(status))
        self.context.log_event('request_rejected', status=status)
        await send_response(caller, status)

    async def refuse(
        self,
        caller: AsgiCaller,
        request: ReceivedRequest,
        reason: str,
        retry_after_s: float = CONFIGURATION_RETRY_S,
        status: int = STATUS_UNAVAILABLE,
        **fields: str,
    ) -> None:
        """Refuse a request that no endpoint has run."""
        self.metrics.count('requests_refused_total', reason=reason)
        self.context.log_event(
            'request_refused',
            request=id_of(request),
            reason=reason,
            config=self.version,
            **fields,
        )
        retry_after = b'%.2f' % retry_after_s
        await send_refusal(caller, status, retry_after)


def id_of(request: ReceivedRequest) -> str:
    """Return the attempt id of a request for the log; empty if none."""
    return (request.header(names.ATTEMPT_ID) or b'').decode('latin-1')
