"""What all stand-ins share: outages, broken answers and remote switches.

A stand-in that is down refuses connections, as a process that is gone
does. `PUT /faults` changes the switches of a stand-in that runs as a
process of its own; in one process they are plain attributes.
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
DRAIN_S: Final = 2


@dataclass(slots=True)
class Outage:
    """Serves an app on one address and takes it down on demand."""

    is_down: Callable[[], bool]
    stopping: anyio.Event = field(default_factory=anyio.Event)
    # Set when the graceful stop is complete.
    stopped: anyio.Event = field(default_factory=anyio.Event)
    address: str = ''
    # The server that listens, or listened last.
    http: HttpServer | None = None
    listening: bool = False

    def break_answer(self, request: Request) -> Response:
        """Break the connection of a request instead of answering it."""
        if self.http is not None and request.client is not None:
            host, port = request.client
            self.http.abort_connection((host, port))
        return Response(status_code=500)

    def guard(self, app: App) -> App:
        """Return an app that answers nothing once the stand-in is down.

        The listener is closed a moment later than the switch is set.
        """

        async def guarded(scope: Scope, receive: Receive, send: Send) -> None:
            if not self.is_down():
                await app(scope, receive, send)
                return
            request = Request(scope)
            await self.break_answer(request)(scope, receive, send)

        return guarded

    async def serve(
        self,
        app: App,
        address: str,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until stopped; refuses connections while it is down."""
        self.address = address
        reported = False
        while not self.stopping.is_set():
            if self.is_down():
                await anyio.sleep(POLL_S)
                continue
            async with anyio.create_task_group() as group:
                self.http = await group.start(
                    serve_http,
                    self.guard(app),
                    HttpOptions(self.address, DRAIN_S),
                    self.stopping,
                )
                self.address = self.http.address
                self.listening = True
                if not reported:
                    task_status.started()
                    reported = True
                await self.wait_for_outage()
                if not self.stopping.is_set():
                    group.cancel_scope.cancel()
            self.listening = False
        self.stopped.set()

    async def wait_for_outage(self) -> None:
        """Return when the stand-in goes down or is stopped."""
        while not self.is_down() and not self.stopping.is_set():
            await anyio.sleep(POLL_S)


@dataclass(slots=True)
class Chance:
    """Seeded random choices, so that a run can be repeated."""

    seed: int = 1
    source: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Seed the source."""
        self.source = random.Random(self.seed)

    def happens(self, ratio: float) -> bool:
        """Return True in the given share of calls."""
        return ratio > 0 and self.source.random() < ratio


def set_faults(faults: Any, given: dict[str, Any]) -> str:
    """Set known switches; returns the name of an unknown one, or ''."""
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
    """Return the routes that switch faults and read the counters."""

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
