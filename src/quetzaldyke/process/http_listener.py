"""Starts an HTTP listener of a process and stops it gracefully."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup, TaskStatus

from quetzaldyke.connection.http_server import App, HttpOptions, serve_http


@dataclass(slots=True)
class HttpListener:
    """A running listener: its address and its events for the stop."""

    address: str = ''
    stopping: anyio.Event = field(default_factory=anyio.Event)
    finished: anyio.Event = field(default_factory=anyio.Event)

    async def stop(self) -> None:
        """Stop accepting connections and wait for running requests."""
        self.stopping.set()
        await self.finished.wait()


async def serve(
    app: App,
    options: HttpOptions,
    listener: HttpListener,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until the stop; set the listener's address and `finished`."""
    async with anyio.create_task_group() as group:
        http = await group.start(serve_http, app, options, listener.stopping)
        listener.address = http.address
        task_status.started()
    listener.finished.set()


async def start_http(
    app: App,
    options: HttpOptions,
    group: TaskGroup,
) -> HttpListener:
    """Return a listener that has its address and accepts connections."""
    listener = HttpListener()
    await group.start(serve, app, options, listener)
    return listener
