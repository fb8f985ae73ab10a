"""Simulates a service with bookings that must not execute twice.

Counts the executions of each booking id, so that tests can detect
duplicates, and can drop the response after a booking was made.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskStatus
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from quetzaldyke.standins.faults import (
    InterruptibleServer,
    SeededRandom,
    control_routes,
)


@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """Options of the simulated service."""

    address: str = '127.0.0.1:0'
    name: str = 'service'
    work_ms: float = 5.0
    seed: int = 1


@dataclass(slots=True)
class ServiceFaults:
    """Fault switches, all off initially."""

    # Refuses new connections and aborts open ones; bookings are kept.
    down: bool = False
    # Additional delay before a booking is made.
    delay_s: float = 0.0
    # Number of next bookings that are made without a response.
    lose_answers: int = 0
    # Fraction of bookings that are made without a response.
    lose_answers_ratio: float = 0.0


@dataclass(slots=True)
class ServiceStandin:
    """A simulated service: its options, faults, server and counters."""

    options: ServiceOptions
    faults: ServiceFaults
    server: InterruptibleServer
    rng: SeededRandom
    executions: Counter[str] = field(default_factory=Counter)
    running: int = 0

    @property
    def address(self) -> str:
        """Return the bound address."""
        return self.server.address

    @property
    def stopping(self) -> anyio.Event:
        """Return the event that stops the stand-in once it is set."""
        return self.server.stopping


def should_lose_answer(service: ServiceStandin) -> bool:
    """Return whether to drop the response to a booking."""
    if service.faults.lose_answers > 0:
        service.faults.lose_answers -= 1
        return True
    return service.rng.draw(service.faults.lose_answers_ratio)


async def create_booking(service: ServiceStandin, request: Request) -> Response:
    """Count an execution of a booking after the work time; return 201.

    Returns 400 without an id. A repeated id is executed again. With the fault
    of lost answers, the connection may be aborted after the execution.
    """
    body = await request.json()
    booking_id = body.get('id') if isinstance(body, dict) else None
    if not isinstance(booking_id, str):
        return JSONResponse({'error': 'id is missing'}, 400)
    service.running += 1
    try:
        delay_s = service.options.work_ms / 1000 + service.faults.delay_s
        await anyio.sleep(delay_s)
    finally:
        service.running -= 1
    service.executions[booking_id] += 1
    if should_lose_answer(service):
        return service.server.abort_connection(request)
    answer: dict[str, Any] = {
        'id': booking_id,
        'booked_by': service.options.name,
        'executions': service.executions[booking_id],
    }
    return JSONResponse(answer, 201)


def make_app(service: ServiceStandin) -> Starlette:
    """Return the HTTP app of a stand-in."""

    async def post_booking(request: Request) -> Response:
        return await create_booking(service, request)

    async def roster(_request: Request) -> Response:
        await anyio.sleep(service.faults.delay_s)
        return JSONResponse({'roster': sorted(service.executions)})

    async def executions(_request: Request) -> Response:
        return JSONResponse(dict(service.executions))

    async def health(_request: Request) -> Response:
        return JSONResponse({'status': 'ok'})

    async def load(_request: Request) -> Response:
        return JSONResponse({'running': service.running, 'waiting': 0})

    def counts() -> dict[str, Any]:
        return {
            'bookings': len(service.executions),
            'executions': sum(service.executions.values()),
        }

    routes = [
        Route('/bookings', post_booking, methods=['POST']),
        Route('/roster', roster),
        Route('/executions', executions),
        Route('/health', health),
        Route('/load', load),
        *control_routes(service.faults, counts),
    ]
    return Starlette(routes=routes)


async def run_service(
    options: ServiceOptions,
    *,
    task_status: TaskStatus[ServiceStandin] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run the stand-in until it is stopped or cancelled."""
    faults = ServiceFaults()
    service = ServiceStandin(
        options,
        faults,
        InterruptibleServer(lambda: faults.down),
        SeededRandom(options.seed),
    )
    async with anyio.create_task_group() as group:
        await group.start(
            service.server.serve,
            make_app(service),
            options.address,
        )
        task_status.started(service)
        await service.server.stopped.wait()
        group.cancel_scope.cancel()
