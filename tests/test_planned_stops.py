"""Tests of requests that come or run while an entry is being stopped."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import anyio
import pytest
from anyio.abc import SocketStream
from hypothesis import given
from hypothesis import strategies as st

from gateway_fleet import GatewayFleet
from gateway_kit import make_route, set_running
from quetzaldyke.connection.http_server import (
    HttpOptions,
    HttpServer,
    serve_http,
)
from quetzaldyke.gateway.ingress import Ingress
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.stop_window import DURATION_MARGIN, StopWindow
from quetzaldyke.standins.platform_endpoint import event_of
from raw_endpoint import raw_endpoint
from test_broken_streams import (
    CHUNKED,
    EVENTS,
    REQUEST,
    chunk,
    make_ingress,
    read_to_end,
)

pytestmark = pytest.mark.anyio
SLOW_EVENTS = 320
# Says nothing of the request, and the endpoint sends nothing else.
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@asynccontextmanager
async def stopping_entry(
    route: Route, answer: bytes
) -> AsyncIterator[tuple[Ingress, SocketStream]]:
    """Run an entry before an endpoint that answers and stays silent then."""
    options = HttpOptions('127.0.0.1:0', drain_s=1)
    async with (
        raw_endpoint(lambda *_: answer or INTERIM) as endpoint,
        anyio.create_task_group() as group,
    ):
        ingress = make_ingress(route, endpoint.port)
        stopping = anyio.Event()
        server: HttpServer = await group.start(
            serve_http, ingress, options, stopping
        )
        host, _, port = server.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as caller:
            await caller.send(
                REQUEST.replace(b'Deadline-Ms: 800', b'Deadline-Ms: 4000')
            )
            with anyio.fail_after(5):
                while not ingress.open_requests.scopes:
                    await anyio.sleep(0.001)
            yield ingress, caller
        stopping.set()
        for writer in endpoint.writers:
            writer.close()


# Guards against requests that are cut without an answer at the end of the grace
# time, among them requests that may run once.
async def test_request_at_an_endpoint_gets_an_answer_at_the_end() -> None:
    """It may have run, so the answer promises nothing."""
    route = make_route('non_idempotent')
    async with stopping_entry(route, b'') as (ingress, caller):
        await anyio.sleep(0.05)
        assert ingress.open_requests.end_all() == 1
        received = await read_to_end_or_answer(caller)
    assert received.startswith(b'HTTP/1.1 502 ')


async def test_waiting_request_is_refused_as_not_run_at_the_end() -> None:
    """Guards against a wait for a slot that ends with the process."""
    route = make_route('non_idempotent')
    async with stopping_entry(route, b'') as (ingress, caller):
        ingress.open_requests.end_all()
        await read_to_end_or_answer(caller)
        dispatcher = ingress.context.dispatcher
        loads = dispatcher.loads
        with anyio.fail_after(5):
            while any(running.online for running in loads.own.values()):
                await anyio.sleep(0.001)
        for endpoint_id in ('e1', 'e2'):
            set_running(loads, endpoint_id, 4 + dispatcher.max_queued('lm'), 0)
        await caller.send(
            REQUEST.replace(b'Deadline-Ms: 800', b'Deadline-Ms: 4000')
        )
        with anyio.fail_after(5):
            while not dispatcher.waiting():
                await anyio.sleep(0.001)
        ingress.open_requests.end_all()
        received = await read_to_end_or_answer(caller)
    assert received.startswith(b'HTTP/1.1 503 ')
    assert b'retry-after' in received.lower()


async def read_to_end_or_answer(caller: SocketStream) -> bytes:
    """Return the next answer without a body, or what comes up to the end."""
    received = b''
    with anyio.fail_after(5):
        while not received.endswith(b'\r\n\r\n'):
            received += await caller.receive()
    return received


async def test_started_stream_is_broken_off_at_the_end() -> None:
    """Guards against an end of a stream that looks normal."""
    begun = CHUNKED + chunk(EVENTS)
    async with stopping_entry(make_route(), begun) as (ingress, caller):
        received = b''
        with anyio.fail_after(5):
            while not received.endswith(chunk(EVENTS)):
                received += await caller.receive()
        ingress.open_requests.end_all()
        assert await read_to_end(caller) == b''


async def test_request_that_cannot_end_in_time_is_refused_at_once() -> None:
    """Guards against taking what will be cut, and running it."""
    route = make_route('non_idempotent')
    async with stopping_entry(route, b'') as (ingress, caller):
        ingress.open_requests.end_all()
        await read_to_end_or_answer(caller)
        now_s = ingress.context.now()
        ingress.window.leaves_at_s = now_s + 2.0
        ingress.window.deregistered_at_s = now_s + 1.0
        await caller.send(
            REQUEST.replace(b'Deadline-Ms: 800', b'Deadline-Ms: 4000')
        )
        refusal = await read_to_end_or_answer(caller)
    assert refusal.startswith(b'HTTP/1.1 503 ')
    assert b'retry-after: 1.0' in refusal.lower() or b': 0.9' in refusal


@given(
    st.lists(st.floats(0.01, 30.0), max_size=90),
    st.floats(0.0, 30.0),
    st.floats(0.0, 10.0),
)
def test_taken_requests_end_in_time(
    durations_s: list[float], deadline_s: float, leaves_at_s: float
) -> None:
    """Guards against a request that is as long as the last and is taken."""
    window = StopWindow(leaves_at_s=leaves_at_s)
    for duration_s in durations_s:
        window.note_served('r', duration_s)
    fits = window.fits('r', deadline_s, now_s=0.0)
    if fits and durations_s and deadline_s > leaves_at_s:
        longest_s = max(durations_s[-64:])
        assert longest_s * DURATION_MARGIN <= leaves_at_s
    if deadline_s <= leaves_at_s:
        assert fits


def test_durations_of_removed_routes_are_forgotten() -> None:
    """Guards against memory that grows with each route that ever was."""
    window = StopWindow()
    for route in ('old', 'kept'):
        window.note_served(route, 1.0)
    window.keep_routes({'kept', 'new'})
    assert list(window.durations_s) == ['kept']


# Guards against streams that are taken late in the grace time and cut when the
# process leaves.
def test_late_streams_are_whole_or_refused(tmp_path: Path) -> None:
    """Each stream of a planned stop is whole or was refused as not run."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = GatewayFleet(tmp_path, stack)
            await fleet.start(1, engines=2, services=0, events=SLOW_EVENTS)
            answers: dict[str, tuple[int, bytes]] = {}

            async def stream(request_id: str) -> None:
                answers[request_id] = await fleet.call(
                    fleet.ports['entry-0'].front,
                    'POST',
                    '/once/x',
                    None,
                    {'Attempt-Id': request_id, 'Deadline-Ms': '4000'},
                    timeout_s=8.0,
                )

            await stream('first')
            async with anyio.create_task_group() as group:
                group.start_soon(stream, 'before')
                await anyio.sleep(0.05)
                fleet.processes['entry-0'].signal(signal.SIGTERM)
                for number in range(6):
                    await anyio.sleep(0.35)
                    group.start_soon(stream, f'late{number}')
            for request_id, (status, body) in answers.items():
                whole = b''.join(
                    event_of(request_id, number)
                    for number in range(1, SLOW_EVENTS + 1)
                )
                assert status in {200, 503}, request_id
                assert status == 503 or body == whole
            assert answers['before'][0] == 200

    anyio.run(run)
