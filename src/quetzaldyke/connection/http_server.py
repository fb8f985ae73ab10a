"""Serves an ASGI app with uvicorn in the running event loop.

uvicorn runs in the caller's task and installs no signal handlers. The bound
port is reported once connections are accepted, and an event starts the
graceful shutdown. Cancelling the task aborts all connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import (
    Awaitable,
    Callable,
    Iterable,
    Iterator,
    MutableMapping,
)
from dataclasses import dataclass
from typing import Any, Final

import anyio
import uvicorn
from anyio.abc import TaskStatus

from quetzaldyke.connection.caller_connection import CallerConnection
from quetzaldyke.connection.listener import BACKLOG, bind
from quetzaldyke.connection.strict_connection import CountingState

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Scope]]
Send = Callable[[Scope], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

# Longer than the idle timeout of common clients, so that a request is rarely
# sent on a connection that the server is closing.
KEEP_ALIVE_S: Final = 75
# Iterations of the event loop within which an accepted connection gets its
# transport and protocol.
ACCEPT_ITERATIONS: Final = 4


@dataclass(frozen=True, slots=True)
class HttpOptions:
    """Options for serving one app."""

    address: str
    # Maximum wait for running requests during a graceful shutdown.
    drain_s: int = 60
    # Idle time after which a connection is closed.
    keep_alive_s: int = KEEP_ALIVE_S


class EmbeddedServer(uvicorn.Server):
    """uvicorn server without signal handlers."""

    def __init__(self, config: uvicorn.Config) -> None:
        """Create an event that is set when connections are accepted."""
        super().__init__(config)
        self.listening = anyio.Event()
        self.counts = CountingState()
        self.server_state = self.counts

    async def startup(
        self,
        sockets: list[socket.socket] | None = None,
    ) -> None:
        """Start listening and set the event."""
        await super().startup(sockets)
        self.listening.set()

    async def shutdown(
        self,
        sockets: list[socket.socket] | None = None,
    ) -> None:
        """Stop accepting connections, then shut down gracefully."""
        await stop_accepting(self.servers)
        await super().shutdown(sockets)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers of the process unchanged."""
        yield


@dataclass(slots=True)
class HttpServer:
    """A running server."""

    address: str
    server: EmbeddedServer
    aborted: bool = False

    async def abort(self) -> None:
        """Close the listeners, abort connections and cancel requests."""
        listeners = getattr(self.server, 'servers', ())
        self.abort_connections()
        await stop_accepting(listeners)
        for listener in listeners:
            listener.close()
        self.abort_connections()

    def time_out_callers(
        self,
        header_timeout_s: float,
        idle_timeout_s: float,
    ) -> Counter[str]:
        """Close connections whose timeout has expired; return their counts.

        The counts are by kind of timeout: head, body or idle.
        """
        now_s = asyncio.get_running_loop().time()
        ended: Counter[str] = Counter()
        for connection in list(self.server.server_state.connections):
            if not isinstance(connection, CallerConnection):
                continue
            reason = connection.expired_timeout(
                header_timeout_s, idle_timeout_s, now_s
            )
            if reason is not None:
                connection.close_expired(reason)
                ended[reason] += 1
        return ended

    def take_declined(self) -> tuple[Counter[str], int]:
        """Return what was declined since the last call.

        That are the requests that got a 400, by reason, and the offers of
        another protocol.
        """
        counts = self.server.counts
        refused, counts.refused_heads = counts.refused_heads, Counter()
        offers, counts.declined_offers = counts.declined_offers, 0
        return refused, offers

    def abort_connections(self) -> None:
        """Abort all connections and cancel their requests."""
        self.aborted = True
        for connection in list(self.server.server_state.connections):
            abort_transport(connection)
        for task in list(self.server.server_state.tasks):
            task.cancel()

    def abort_connection(self, client: tuple[str, int]) -> None:
        """Abort the connection of one client (`scope['client']`)."""
        for connection in list(self.server.server_state.connections):
            if getattr(connection, 'client', None) == client:
                abort_transport(connection)


async def stop_accepting(listeners: Iterable[asyncio.Server]) -> None:
    """Stop accepting; new connections stay in the backlog.

    If a listener is closed right after an accept, asyncio drops the accepted
    connection without closing it, and its client waits forever. Accepting
    therefore stops some iterations of the event loop before the close.
    """
    loop = asyncio.get_running_loop()
    for listener in listeners:
        for bound in listener.sockets:
            loop.remove_reader(bound.fileno())
    with anyio.CancelScope(shield=True):
        for _ in range(ACCEPT_ITERATIONS):
            await anyio.sleep(0)


def abort_transport(connection: Any) -> None:
    """Abort a connection without sending buffered data."""
    if connection.transport is not None:
        connection.transport.abort()


def start_server(
    app: App,
    options: HttpOptions,
    bound: socket.socket,
) -> HttpServer:
    """Return a server for an app; the server is not yet running."""

    cancelled = anyio.get_cancelled_exc_class()

    async def wrapped_app(scope: Scope, receive: Receive, send: Send) -> None:
        if http.aborted:
            # The connection was accepted just before the listener was closed.
            http.abort_connection(tuple(scope['client']))
            await anyio.sleep(0)
            return
        try:
            await app(scope, receive, send)
        except cancelled:
            if not http.aborted:
                raise

    server = EmbeddedServer(
        uvicorn.Config(
            wrapped_app,
            loop='none',
            http=CallerConnection,
            ws='none',
            lifespan='off',
            log_config=None,
            log_level='error',
            access_log=False,
            server_header=False,
            backlog=BACKLOG,
            timeout_keep_alive=options.keep_alive_s,
            timeout_graceful_shutdown=options.drain_s,
        ),
    )
    host = options.address.rpartition(':')[0]
    http = HttpServer(f'{host}:{bound.getsockname()[1]}', server)
    return http


async def serve_http(
    app: App,
    options: HttpOptions,
    stopping: anyio.Event,
    bound: socket.socket | None = None,
    *,
    task_status: TaskStatus[HttpServer] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until `stopping` is set, then finish running requests.

    Reports the server as the task status once it accepts connections. If a
    bound socket is given, it is used instead of binding the address; otherwise
    a failure to bind raises OSError.
    """
    bound = bind(options.address) if bound is None else bound
    http = start_server(app, options, bound)
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(stop_when_set, http, stopping)
            group.start_soon(report_start, http, task_status)
            await http.server.serve(sockets=[bound])
            group.cancel_scope.cancel()
    finally:
        await http.abort()
        bound.close()


async def report_start(
    http: HttpServer,
    task_status: TaskStatus[HttpServer],
) -> None:
    """Report the server as the task status once it is listening."""
    await http.server.listening.wait()
    task_status.started(http)


async def stop_when_set(http: HttpServer, stopping: anyio.Event) -> None:
    """Start the graceful shutdown when the event is set."""
    await stopping.wait()
    http.server.should_exit = True
