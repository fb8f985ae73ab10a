"""Runs the HTTP server of a stand-in until it is stopped."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

import anyio
from anyio.abc import TaskStatus
from starlette.applications import Starlette
from starlette.routing import Route

from quetzaldyke.connection.http_server import HttpOptions, serve_http


class Standin(Protocol):
    """The interface of a stand-in that can be served."""

    stopping: anyio.Event
    # Set once the server accepts connections.
    address: str

    def routes(self) -> list[Route]:
        """Return the routes to serve."""


StandinT = TypeVar('StandinT', bound=Standin)


async def serve_standin(
    standin: StandinT,
    address: str,
    background_task: Callable[[StandinT], Coroutine[Any, Any, None]] | None,
    task_status: TaskStatus[StandinT],
) -> None:
    """Serve a stand-in and run its background task until it is stopped."""
    async with anyio.create_task_group() as group:
        http = await group.start(
            serve_http,
            Starlette(routes=standin.routes()),
            HttpOptions(address, drain_s=1),
            standin.stopping,
        )
        standin.address = http.address
        if background_task is not None:
            group.start_soon(background_task, standin)
        task_status.started(standin)
        await standin.stopping.wait()
        group.cancel_scope.cancel()
