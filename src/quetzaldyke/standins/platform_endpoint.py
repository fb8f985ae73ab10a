"""Simulates an endpoint on the platform: a model engine or plain service.

Registers in the store, runs requests on a limited number of slots, normally
in order of arrival, and records every run, so that tests can detect
duplicate or misplaced runs. The events of a stream depend only on the
request, as resuming requires.
"""

from __future__ import annotations

import base64
import os
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any, Final

import anyio
import httpcore
import orjson
from anyio.abc import TaskStatus
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from quetzaldyke.standins.serving import serve_standin

MS_IN_S: Final = 1000
HEARTBEAT_S: Final = 0.5
LEASE_S: Final = 2.0
MAX_QUEUE: Final = 24
# Exit status of a process that the crashing part has ended.
CRASH_STATUS: Final = 70
METHODS: Final = ('GET', 'POST', 'PUT', 'DELETE')


@dataclass(frozen=True, slots=True)
class PlatformEndpointOptions:
    """Options of the simulated endpoint."""

    address: str = '127.0.0.1:0'
    # Address that is registered; empty for the one it listens on.
    advertised_address: str = ''
    # Store to register in; empty to not register.
    store_address: str = ''
    endpoint_id: str = 'i-1'
    service: str = 'lm'
    failure_domain: str = 'a'
    slots: int = 4
    events: int = 10
    event_ms: float = 5.0
    # Returns a single body instead of an event stream.
    plain: bool = False
    # Id of a part of prompts; a request with it ends this process as soon as
    # its response has begun. Empty for none.
    crashing_part: str = ''


@dataclass(slots=True)
class EndpointFaults:
    """Fault switches, all off initially."""

    # Aborts each stream after this many events; 0 disables this.
    break_after: int = 0
    # Fails every request with status 500.
    fail: bool = False
    # Never responds to requests.
    silent: bool = False
    draining: bool = False
    # Text of the limit that each response names; empty to name none.
    limit: str = ''
    # States in each response that this endpoint drains. With `draining` the
    # registration says so too.
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class RunRecord:
    """A run of a request, from `first_event` on."""

    request_id: str
    path: str
    first_event: int
    started_s: float
    body: str


@dataclass(slots=True)
class PlatformEndpointStandin:
    """A simulated endpoint: its options, faults, slots and run records."""

    options: PlatformEndpointOptions
    faults: EndpointFaults = field(default_factory=EndpointFaults)
    stopping: anyio.Event = field(default_factory=anyio.Event)
    address: str = ''
    runs: list[RunRecord] = field(default_factory=list)
    running: int = 0
    queued: int = 0
    peak_running: int = 0
    started_ms: int = field(default_factory=lambda: int(time.time() * MS_IN_S))
    slot_freed: anyio.Event = field(default_factory=anyio.Event)

    def routes(self) -> list[Route]:
        """Return the control routes and the route that runs requests."""
        return [
            Route('/faults', self.set_faults, methods=['POST']),
            Route('/runs', self.get_runs),
            Route('/{path:path}', self.serve, methods=list(METHODS)),
        ]

    async def set_faults(self, request: Request) -> Response:
        """Set fault switches."""
        for name, setting in orjson.loads(await request.body()).items():
            setattr(self.faults, name, setting)
        return Response()

    async def get_runs(self, request: Request) -> Response:
        """Return all runs so far and the peak concurrency."""
        rows = [
            {
                'id': one.request_id,
                'path': one.path,
                'first': one.first_event,
                'at': one.started_s,
                'body': one.body,
            }
            for one in self.runs
        ]
        return Response(
            orjson.dumps({'runs': rows, 'most': self.peak_running}),
            media_type='application/json',
        )

    async def serve(self, request: Request) -> Response:
        """Run a request, or refuse it.

        Returns 421 if another instance was expected, 503 if the queue is full
        and 400 without an attempt id; none of these has run.
        """
        request_id = request.headers.get('attempt-id', '')
        expected = request.headers.get('expect-instance')
        if expected is not None and expected != self.options.endpoint_id:
            return Response(
                status_code=421,
                headers={
                    'Attempt-Id': request_id,
                    'Instance-Id': self.options.endpoint_id,
                },
            )
        if self.faults.silent:
            await anyio.sleep_forever()
        if not request_id or self.queued >= MAX_QUEUE:
            status = 503 if request_id else 400
            return Response(
                status_code=status,
                headers={'Attempt-Id': request_id, 'Not-Executed': '1'},
            )
        body = await request.body()
        await self.acquire_slot()
        first = int(request.headers.get('last-event-id', '0')) + 1
        self.runs.append(
            RunRecord(
                request_id,
                request.url.path,
                first,
                time.time(),
                body.decode('latin-1'),
            ),
        )
        headers = {'Attempt-Id': request_id, 'Response-Signature': 'proof'}
        if self.faults.leaving:
            headers['Server-Leaving'] = '1'
        if self.faults.limit:
            headers['Server-Limit'] = self.faults.limit
        if self.faults.fail:
            self.release_slot()
            return Response(status_code=500, headers=headers)
        if self.is_crashing(request):
            return StreamingResponse(self.crash(), headers=headers)
        if self.options.plain:
            return await self.plain_response(request_id, headers)
        return StreamingResponse(
            self.stream(request_id, first),
            headers=headers,
            media_type='text/event-stream',
        )

    def is_crashing(self, request: Request) -> bool:
        """Return whether the prompt of a request has the crashing part."""
        header = request.headers.get('prompt-prefix', '')
        part_ids = [entry.partition(':')[0] for entry in header.split(',')]
        return bool(part_ids[0]) and self.options.crashing_part in part_ids

    async def crash(self) -> AsyncIterator[bytes]:
        """Begin a stream, then end the process with all its connections."""
        yield b''
        await anyio.sleep(self.options.event_ms / MS_IN_S)
        os._exit(CRASH_STATUS)

    async def acquire_slot(self) -> None:
        """Wait for a free slot and occupy it."""
        self.queued += 1
        try:
            while self.running >= self.options.slots:
                await self.slot_freed.wait()
        finally:
            self.queued -= 1
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)

    def release_slot(self) -> None:
        """Release a slot and wake the waiting requests."""
        self.running -= 1
        self.slot_freed.set()
        self.slot_freed = anyio.Event()

    async def plain_response(
        self,
        request_id: str,
        headers: dict[str, str],
    ) -> Response:
        """Return a single body and release the slot."""
        try:
            await anyio.sleep(self.options.event_ms / MS_IN_S)
            return Response(f'done {request_id}', headers=headers)
        finally:
            self.release_slot()

    async def stream(
        self,
        request_id: str,
        first: int,
    ) -> AsyncIterator[bytes]:
        """Yield the events from `first` on and release the slot.

        Raises `ConnectionResetError` where the `break_after` fault applies.
        """
        try:
            for number in range(first, self.options.events + 1):
                await anyio.sleep(self.options.event_ms / MS_IN_S)
                yield event_of(request_id, number)
                broken = self.faults.break_after
                if broken and number - first + 1 >= broken:
                    raise ConnectionResetError(
                        'stream aborted by the break_after fault'
                    )
        finally:
            self.release_slot()


def event_of(request_id: str, number: int) -> bytes:
    r"""Return the server-sent event `number` of a request.

    >>> event_of('r', 2)
    b'id: 2\ndata: r/2\n\n'
    """
    return f'id: {number}\ndata: {request_id}/{number}\n\n'.encode()


def expected_output(request_id: str, events: int) -> str:
    r"""Return the complete output of a request, its events' data joined.

    >>> expected_output('r', 2)
    'r/1\nr/2'
    """
    lines = (f'{request_id}/{number}' for number in range(1, events + 1))
    return '\n'.join(lines)


async def register(standin: PlatformEndpointStandin) -> None:
    """Keep this endpoint registered in the store, until cancelled."""
    lease = 0
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            try:
                lease = await renew_registration(standin, pool, lease)
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
                lease = 0
            await anyio.sleep(HEARTBEAT_S)


async def renew_registration(
    standin: PlatformEndpointStandin,
    pool: httpcore.AsyncConnectionPool,
    lease: int,
) -> int:
    """Renew the lease or register again; return the lease, 0 on failure.

    Registers on every call while draining.
    """
    if lease and not standin.faults.draining:
        kept = await call_store(standin, pool, f'kv-keep/{lease}', {})
        if kept is not None:
            return lease
    granted = await call_store(
        standin, pool, 'kv-lease', {'ttl-ms': LEASE_S * 1000}
    )
    if granted is None:
        return 0
    lease = granted['lease']
    put = {
        'key': f'servers/{standin.options.endpoint_id}',
        'value': base64.b64encode(registration_entry(standin)).decode('ascii'),
        'lease': lease,
    }
    written = await call_store(standin, pool, 'kv-txn', {'puts': [put]})
    return lease if written is not None else 0


def registration_entry(standin: PlatformEndpointStandin) -> bytes:
    """Return the registration of an endpoint as JSON."""
    options = standin.options
    return orjson.dumps(
        {
            'service': options.service,
            'address': options.advertised_address or standin.address,
            'zone': options.failure_domain,
            'version': 'v1',
            'slots': options.slots,
            'state': 'draining' if standin.faults.draining else 'ready',
            'cold-left-ms': 0,
            'call-seq': 0,
            'born': standin.started_ms,
        },
    )


async def call_store(
    standin: PlatformEndpointStandin,
    pool: httpcore.AsyncConnectionPool,
    path: str,
    body: object,
) -> Any:
    """Call the store; return None unless the status is 200."""
    answer = await pool.request(
        'POST',
        f'http://{standin.options.store_address}/quetzaldyke/{path}',
        content=orjson.dumps(body),
    )
    return orjson.loads(answer.content) if answer.status == 200 else None


async def run_platform_endpoint(
    options: PlatformEndpointOptions,
    *,
    task_status: TaskStatus[
        PlatformEndpointStandin
    ] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run the stand-in until `stopping` is set."""
    await serve_standin(
        PlatformEndpointStandin(options),
        options.address,
        register if options.store_address else None,
        task_status,
    )
