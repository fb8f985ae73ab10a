"""Serves an ASGI app inside the running event loop.

uvicorn runs as a task of the caller: it installs no signal handlers, the
bound port is reported when connections are accepted, and an event starts
the graceful stop. Cancelling the task breaks all connections at once.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator, MutableMapping
from dataclasses import dataclass
from typing import Any, Final

import anyio
import uvicorn
from anyio.abc import TaskStatus

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Scope]]
Send = Callable[[Scope], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

# Longer than the idle time of usual clients, so that a request rarely meets
# a connection that the server is just closing.
KEEP_ALIVE_S: Final = 75
BACKLOG: Final = 1024


@dataclass(frozen=True, slots=True)
class HttpOptions:
    """How one app is served."""

    address: str
    # Longest wait for running requests at a graceful stop.
    drain_s: int = 60


class QuietServer(uvicorn.Server):
    """uvicorn server without signal handlers."""

    def __init__(self, config: uvicorn.Config) -> None:
        """Add the event that is set when connections are accepted."""
        super().__init__(config)
        self.listening = anyio.Event()

    async def startup(
        self,
        sockets: list[socket.socket] | None = None,
    ) -> None:
        """Listen and set the event."""
        await super().startup(sockets)
        self.listening.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the process's signal handlers alone."""
        yield


@dataclass(slots=True)
class HttpServer:
    """A running server."""

    address: str
    server: QuietServer
    aborted: bool = False

    def abort(self) -> None:
        """Close the listener, break all connections, end all requests."""
        self.aborted = True
        for listener in getattr(self.server, 'servers', ()):
            listener.close()
        for connection in list(self.server.server_state.connections):
            abort_transport(connection)
        for task in list(self.server.server_state.tasks):
            task.cancel()

    def break_connection(self, client: tuple[str, int]) -> None:
        """Break the connection of one client (`scope['client']`)."""
        for connection in list(self.server.server_state.connections):
            if getattr(connection, 'client', None) == client:
                abort_transport(connection)


def abort_transport(connection: Any) -> None:
    """Break a connection without sending what is buffered."""
    if connection.transport is not None:
        connection.transport.abort()


def bind(address: str) -> socket.socket:
    """Return a bound socket; port 0 takes any free port."""
    host, _, port = address.rpartition(':')
    bare = host.strip('[]')
    family = socket.AF_INET6 if ':' in bare else socket.AF_INET
    # asyncio turns Nagle's algorithm off only on sockets with this protocol
    # number; without it each answer took 40 ms.
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((bare, int(port)))
    except OSError:
        bound.close()
        raise
    bound.setblocking(False)
    return bound


def start_server(
    app: App,
    options: HttpOptions,
    bound: socket.socket,
) -> HttpServer:
    """Return a server for an app that is not yet started."""

    cancelled = anyio.get_cancelled_exc_class()

    async def guarded(scope: Scope, receive: Receive, send: Send) -> None:
        try:
            await app(scope, receive, send)
        except cancelled:
            if not http.aborted:
                raise

    server = QuietServer(
        uvicorn.Config(
            guarded,
            loop='none',
            http='httptools',
            ws='none',
            lifespan='off',
            log_config=None,
            log_level='error',
            access_log=False,
            server_header=False,
            backlog=BACKLOG,
            timeout_keep_alive=KEEP_ALIVE_S,
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
    *,
    task_status: TaskStatus[HttpServer] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until `stopping` is set, then finish running requests.

    Reports the server once it accepts connections.
    """
    bound = bind(options.address)
    http = start_server(app, options, bound)
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(stop_when_set, http, stopping)
            group.start_soon(report_start, http, task_status)
            await http.server.serve(sockets=[bound])
            group.cancel_scope.cancel()
    finally:
        http.abort()
        bound.close()


async def report_start(
    http: HttpServer,
    task_status: TaskStatus[HttpServer],
) -> None:
    """Report the server as soon as it listens."""
    await http.server.listening.wait()
    task_status.started(http)


async def stop_when_set(http: HttpServer, stopping: anyio.Event) -> None:
    """Start the graceful stop when the event is set."""
    await stopping.wait()
    http.server.should_exit = True
