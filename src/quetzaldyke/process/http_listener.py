"""One HTTP listener of a process: its address, its stop and its end."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup, TaskStatus

from quetzaldyke.connection.http_server import App, HttpOptions, serve_http


@dataclass(slots=True)
class HttpListener:
    """A listener that runs in the process's task group."""

    address: str = ''
    stopping: anyio.Event = field(default_factory=anyio.Event)
    finished: anyio.Event = field(default_factory=anyio.Event)

    async def stop(self) -> None:
        """Stop accepting, and wait until running requests are answered."""
        self.stopping.set()
        await self.finished.wait()


async def serve(
    app: App,
    options: HttpOptions,
    listener: HttpListener,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve one listener and report its address and its end."""
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
    """Start one HTTP listener."""
    listener = HttpListener()
    await group.start(serve, app, options, listener)
    return listener
