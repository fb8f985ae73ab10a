"""Injects faults into stand-ins: outages, aborted responses and random faults.

A stand-in that is down refuses connections, like a stopped process. `PUT
/faults` sets the fault switches of a stand-in in another process; within one
process, tests set the attributes directly.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import anyio
from anyio.abc import TaskStatus
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from quetzaldyke.connection.http_server import (
    App,
    HttpOptions,
    HttpServer,
    Receive,
    Scope,
    Send,
    serve_http,
)

POLL_S: Final = 0.005
DRAIN_TIMEOUT_S: Final = 2


@dataclass(slots=True)
class InterruptibleServer:
    """Serves an app on one address, except while `is_down` returns True."""

    is_down: Callable[[], bool]
    stopping: anyio.Event = field(default_factory=anyio.Event)
    # Set once the graceful shutdown is complete.
    stopped: anyio.Event = field(default_factory=anyio.Event)
    address: str = ''
    # The current server, or the last one while the stand-in is down.
    http: HttpServer | None = None
    listening: bool = False

    def abort_connection(self, request: Request) -> Response:
        """Abort the connection of a request.

        The returned response is a placeholder for the framework.
        """
        if self.http is not None and request.client is not None:
            host, port = request.client
            self.http.abort_connection((host, port))
        return Response(status_code=500)

    def abort_when_down(self, app: App) -> App:
        """Return an app that aborts connections while the stand-in is down.

        This covers requests that arrive after the switch is set and before
        the listener closes.
        """

        async def abort_or_serve(
            scope: Scope, receive: Receive, send: Send
        ) -> None:
            if not self.is_down():
                await app(scope, receive, send)
                return
            request = Request(scope)
            await self.abort_connection(request)(scope, receive, send)

        return abort_or_serve

    async def serve(
        self,
        app: App,
        address: str,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until stopped; refuse connections while down.

        Reports the task as started once the app first listens.
        """
        self.address = address
        started = False
        while not self.stopping.is_set():
            if self.is_down():
                await anyio.sleep(POLL_S)
                continue
            async with anyio.create_task_group() as group:
                self.http = await group.start(
                    serve_http,
                    self.abort_when_down(app),
                    HttpOptions(self.address, DRAIN_TIMEOUT_S),
                    self.stopping,
                )
                self.address = self.http.address
                self.listening = True
                if not started:
                    task_status.started()
                    started = True
                await self.wait_until_down()
                if not self.stopping.is_set():
                    group.cancel_scope.cancel()
            self.listening = False
        self.stopped.set()

    async def wait_until_down(self) -> None:
        """Wait until the stand-in goes down or is stopped."""
        while not self.is_down() and not self.stopping.is_set():
            await anyio.sleep(POLL_S)


@dataclass(slots=True)
class SeededRandom:
    """Random decisions from a fixed seed, so that runs are reproducible."""

    seed: int = 1
    generator: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Create the generator from the seed."""
        self.generator = random.Random(self.seed)

    def draw(self, ratio: float) -> bool:
        """Return True with probability `ratio`."""
        return ratio > 0 and self.generator.random() < ratio


def set_faults(faults: Any, given: dict[str, Any]) -> str:
    """Set fault switches; return the first unknown name, or ''.

    Switches before the unknown one are set.
    """
    names = {one.name for one in dataclasses.fields(faults)}
    for name, setting in given.items():
        if name not in names:
            return name
        setattr(faults, name, setting)
    return ''


def control_routes(
    faults: Any,
    counts: Callable[[], dict[str, Any]],
) -> list[Route]:
    """Return the routes that get and set faults and get the counters."""

    async def put_faults(request: Request) -> Response:
        unknown = set_faults(faults, await request.json())
        if unknown:
            return JSONResponse({'error': f'no fault {unknown}'}, 400)
        return JSONResponse(dataclasses.asdict(faults))

    async def get_faults(_request: Request) -> Response:
        return JSONResponse(dataclasses.asdict(faults))

    async def get_counts(_request: Request) -> Response:
        return JSONResponse(counts())

    return [
        Route('/faults', put_faults, methods=['PUT']),
        Route('/faults', get_faults),
        Route('/counts', get_counts),
    ]
