"""Simulates the platform's key-value service.

Serves a subset of the etcd v3 JSON gateway: range reads, transactions with
one revision compare and one put or delete, leases, and streaming watches.
Calls are counted by kind, and faults can be switched at run time.
"""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Final

import anyio
from anyio.abc import TaskStatus
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from quetzaldyke.standins.faults import (
    InterruptibleServer,
    SeededRandom,
    control_routes,
)
from quetzaldyke.standins.kv_calls import (
    CALLS,
    Body,
    KvCallError,
    KvCounts,
    bytes_field,
    event_body,
    header,
    int_field,
)
from quetzaldyke.standins.kv_state import KeyEvent, KvState, in_range

EXPIRY_POLL_S: Final = 0.02
READ_PATHS: Final = frozenset(('/v3/kv/range',))


@dataclass(frozen=True, slots=True)
class KvOptions:
    """Options of the simulated service."""

    address: str = '127.0.0.1:0'
    seed: int = 1


@dataclass(slots=True)
class KvFaults:
    """Fault switches, all off initially."""

    # Refuses new connections and aborts open ones.
    down: bool = False
    # Delay before a call is processed. A write can be applied after its client
    # has timed out.
    delay_s: float = 0.0
    # Fraction of calls that `delay_s` applies to.
    delay_ratio: float = 1.0
    # Number of next writes that are applied without a response.
    lose_answers: int = 0
    # Fraction of writes that are applied without a response.
    lose_answers_ratio: float = 0.0
    # Fraction of calls whose connection is aborted before they are applied.
    drop_ratio: float = 0.0
    # Leases expire this long before their deadline.
    expire_early_s: float = 0.0


@dataclass(slots=True)
class KvStandin:
    """A simulated service: its faults, counters, state and server."""

    faults: KvFaults
    counts: KvCounts
    state: KvState
    server: InterruptibleServer
    rng: SeededRandom

    @property
    def address(self) -> str:
        """Return the bound address."""
        return self.server.address

    @property
    def stopping(self) -> anyio.Event:
        """Return the event that stops the stand-in once it is set."""
        return self.server.stopping


async def handle_call(standin: KvStandin, request: Request) -> Response:
    """Process a call other than a watch, subject to the active faults."""
    body = await request.json()
    faults = standin.faults
    if faults.delay_s and standin.rng.draw(faults.delay_ratio):
        await anyio.sleep(faults.delay_s)
    if faults.down or standin.rng.draw(faults.drop_ratio):
        return standin.server.abort_connection(request)
    path = request.url.path
    try:
        answer = CALLS[path](standin.state, standin.counts, body)
    except KvCallError as exc:
        return error_response(exc)
    if path not in READ_PATHS and should_lose_answer(standin):
        return standin.server.abort_connection(request)
    return JSONResponse(answer)


def error_response(exc: KvCallError) -> Response:
    """Return an error response in the format of the etcd gateway."""
    message = str(exc)
    return JSONResponse(
        {'error': message, 'code': exc.code, 'message': message},
        exc.status,
    )


def should_lose_answer(standin: KvStandin) -> bool:
    """Return whether to drop the response to an applied write."""
    if standin.faults.lose_answers > 0:
        standin.faults.lose_answers -= 1
        return True
    return standin.rng.draw(standin.faults.lose_answers_ratio)


async def handle_watch(standin: KvStandin, request: Request) -> Response:
    """Open a watch that streams one JSON object per line."""
    body = await request.json()
    if standin.faults.delay_s:
        await anyio.sleep(standin.faults.delay_s)
    standin.counts.calls['watch'] += 1
    create = body['create_request']
    return StreamingResponse(
        watch_lines(
            standin,
            bytes_field(create, 'key'),
            bytes_field(create, 'range_end'),
            int_field(create, 'start_revision'),
        ),
        media_type='application/json',
    )


def watch_line(state: KvState, fields: Body) -> str:
    """Return one line of a watch response."""
    return f'{json.dumps({"result": {"header": header(state), **fields}})}\n'


async def watch_lines(
    standin: KvStandin,
    key: bytes,
    range_end: bytes,
    start_revision: int,
) -> AsyncIterator[str]:
    """Yield JSON lines: the watch's creation, then the changes of a range.

    Starts at a revision, or with the next change if it is 0, and goes on
    until closed. Ends with a cancellation if the next revision to send has
    been compacted. Without `range_end`, only the key itself is watched.
    """
    state = standin.state
    next_revision = start_revision or state.revision + 1
    standin.counts.open_watches += 1
    try:
        yield watch_line(state, {'created': True})
        while True:
            changed = state.changed
            if next_revision <= state.compacted:
                fields = {
                    'canceled': True,
                    'compact_revision': str(state.compacted + 1),
                }
                yield watch_line(state, fields)
                return
            events = events_in_range(state, key, range_end, next_revision)
            next_revision = state.revision + 1
            if events:
                rows = [event_body(one) for one in events]
                yield watch_line(state, {'events': rows})
            await changed.wait()
    finally:
        standin.counts.open_watches -= 1


def events_in_range(
    state: KvState,
    key: bytes,
    range_end: bytes,
    revision: int,
) -> list[KeyEvent]:
    """Return the changes of a range at or after a revision."""
    return [
        event
        for event in state.events_from(revision)
        if event.kv.key == key
        or (range_end and in_range(event.kv.key, key, range_end))
    ]


async def expire_leases(standin: KvStandin) -> None:
    """Revoke expired leases periodically."""
    while True:
        await anyio.sleep(EXPIRY_POLL_S)
        standin.state.expire_leases(standin.faults.expire_early_s)


def make_app(standin: KvStandin) -> Starlette:
    """Return the HTTP app of a stand-in."""

    async def call(request: Request) -> Response:
        return await handle_call(standin, request)

    async def watch(request: Request) -> Response:
        return await handle_watch(standin, request)

    routes = [Route(path, call, methods=['POST']) for path in CALLS]
    routes.append(Route('/v3/watch', watch, methods=['POST']))
    routes.extend(control_routes(standin.faults, standin.counts.as_dict))
    return Starlette(routes=routes)


def make_standin(options: KvOptions) -> KvStandin:
    """Return a stand-in that does not serve requests yet."""
    faults = KvFaults()
    return KvStandin(
        faults,
        KvCounts(),
        KvState(),
        InterruptibleServer(lambda: faults.down),
        SeededRandom(options.seed),
    )


async def run_kv(
    options: KvOptions,
    *,
    task_status: TaskStatus[KvStandin] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run the stand-in until it is stopped or cancelled."""
    standin = make_standin(options)
    async with anyio.create_task_group() as group:
        group.start_soon(expire_leases, standin)
        await group.start(
            standin.server.serve,
            make_app(standin),
            options.address,
        )
        task_status.started(standin)
        await standin.server.stopped.wait()
        group.cancel_scope.cancel()
