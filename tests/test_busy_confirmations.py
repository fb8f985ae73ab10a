"""Tests of streams whose end is to be confirmed while all slots are taken."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import pytest
from anyio.abc import SocketStream
from result import Ok

from gateway_kit import make_route
from quetzaldyke.connection.http_server import (
    HttpOptions,
    HttpServer,
    serve_http,
)
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.event_stream import EventSplitter
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.online_request import OnlineRequest, Progress
from quetzaldyke.gateway.placement import QUEUED_PER_ENGINE
from quetzaldyke.gateway.reservation import Reservation
from quetzaldyke.gateway.retries import acquire_to_confirm
from quetzaldyke.gateway.stalls import answer_deadline_s
from quetzaldyke.gateway.wait_queue import QueuedRequest, WaitQueue
from raw_endpoint import RawEndpoint, raw_endpoint
from test_answer_ends import CUT, FRAMED_REST, NOTHING
from test_broken_streams import (
    EVENTS,
    LAST_CHUNK,
    REQUEST,
    THIRD,
    chunk,
    make_ingress,
    read_to_end,
    read_whole,
)

pytestmark = pytest.mark.anyio
TICK_S = 0.01


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@dataclass(slots=True)
class BusyFleet:
    """An entry with a caller, and two endpoints of which one is full."""

    dispatcher: Dispatcher
    endpoint: RawEndpoint
    caller: SocketStream
    taken: list[Reservation]

    async def until_waiting(self) -> None:
        """Wait until a request waits for a slot."""
        with anyio.fail_after(5):
            while not self.dispatcher.waiting():
                await anyio.sleep(TICK_S)


async def tick(dispatcher: Dispatcher) -> None:
    """Refuse requests whose time in the queue is over, as an entry does."""
    while True:
        await dispatcher.tick()
        await anyio.sleep(TICK_S)


@asynccontextmanager
async def busy_fleet(
    route: Route, answers: list[bytes], *, ticking: bool = True
) -> AsyncIterator[BusyFleet]:
    """Run an entry whose requests find a slot at the endpoint `e1` only."""
    remaining = list(answers)
    options = HttpOptions('127.0.0.1:0', drain_s=1)
    async with (
        raw_endpoint(lambda *_: remaining.pop(0), closing=True) as endpoint,
        anyio.create_task_group() as group,
    ):
        ingress = make_ingress(route, endpoint.port)
        dispatcher = ingress.context.dispatcher
        full = dispatcher.endpoints.by_id['e2'].endpoint
        taken = [
            dispatcher.acquire_on(full, online=True)
            for _ in range(full.slots + QUEUED_PER_ENGINE)
        ]
        stopping = anyio.Event()
        server: HttpServer = await group.start(
            serve_http, ingress, options, stopping
        )
        if ticking:
            group.start_soon(tick, dispatcher)
        host, _, port = server.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as caller:
            yield BusyFleet(dispatcher, endpoint, caller, taken)
        stopping.set()
        group.cancel_scope.cancel()


# Guards against a stream that ends as complete after some of its events: its
# endpoint crashes while no other one has a slot to go on with it.
async def test_stream_cut_while_all_others_are_busy_is_broken_off() -> None:
    """The caller gets the events so far and a connection without an end."""
    async with busy_fleet(make_route(), [CUT]) as fleet:
        await fleet.caller.send(REQUEST)
        received = await read_to_end(fleet.caller)
        assert len(fleet.endpoint.requests) == 1
    assert received.partition(b'\r\n\r\n')[2] == chunk(EVENTS)


@pytest.mark.parametrize(
    ('second', 'rest'),
    [(NOTHING, b''), (FRAMED_REST, chunk(THIRD))],
    ids=['whole', 'cut'],
)
async def test_stream_waits_for_a_slot_until_its_end_is_known(
    second: bytes, rest: bytes
) -> None:
    """Guards against breaking off what a slot a little later would mend."""
    async with busy_fleet(make_route(), [CUT, second]) as fleet:
        await fleet.caller.send(REQUEST)
        await fleet.until_waiting()
        fleet.dispatcher.release(fleet.taken.pop())
        received = await read_whole(fleet.caller)
        assert not fleet.dispatcher.waiting()
    body = received.partition(b'\r\n\r\n')[2]
    assert body == chunk(EVENTS) + rest + LAST_CHUNK


async def test_waiting_confirmation_holds_up_no_request() -> None:
    """Guards against slots that stay free while an end is to be confirmed.

    Nothing serves the queue here, so a request that is queued never starts.
    """
    async with busy_fleet(make_route(), [CUT], ticking=False) as fleet:
        await fleet.caller.send(REQUEST)
        await fleet.until_waiting()
        deadline_s = fleet.dispatcher.clock.now() + 5
        with anyio.fail_after(2):
            acquired = await fleet.dispatcher.acquire(
                'lm', make_route(), deadline_s, ()
            )
        assert isinstance(acquired, Ok)
        assert acquired.ok_value.endpoint.endpoint_id == 'e1'
        assert fleet.dispatcher.waiting() == {'lm': 1}


def queued(
    started: list[str],
    name: str,
    *,
    priority: int = 0,
    confirms: bool = False,
    flow: str = '',
    full: bool = False,
) -> QueuedRequest:
    """Return a request that notes its start unless its endpoints are full."""

    def try_start() -> bool:
        if not full:
            started.append(name)
        return not full

    return QueuedRequest(
        priority,
        10.0,
        20.0,
        try_start,
        lambda: started.append(f'refused {name}'),
        lambda expected_s: False,
        flow,
        confirms,
    )


@pytest.mark.parametrize('flow', ['', 'a'])
def test_confirmations_go_before_new_requests(flow: str) -> None:
    """Guards against callers that leave while others begin."""
    queue = WaitQueue()
    started: list[str] = []
    queue.add(queued(started, 'new'))
    queue.add(queued(started, 'urgent', priority=-1))
    queue.add(queued(started, 'full', priority=3, confirms=True, full=True))
    queue.add(queued(started, 'end', priority=3, confirms=True, flow=flow))
    queue.serve(0.0)
    assert started == ['end', 'urgent', 'new']
    assert len(queue) == 1
    assert not queue.has_new()


def test_confirmations_are_not_refused_for_estimates() -> None:
    """Guards against breaking a stream off while its caller still waits."""
    queue = WaitQueue()
    started: list[str] = []
    queue.add(queued(started, 'end', confirms=True, full=True))
    queue.add(queued(started, 'new', full=True))
    last = queue.last_in_order(0.0)
    assert last is not None
    assert not last.confirms
    queue.refuse_hopeless(lambda position: 9.0, 0.0)
    assert started == ['refused new']
    queue.refuse_expired(20.0)
    assert started == ['refused new', 'refused end']
    assert queue.last_in_order(0.0) is None


def test_stream_that_goes_on_has_all_of_its_time() -> None:
    """Guards against ending a resumed stream when its caller's patience does."""
    route = make_route()
    request = OnlineRequest(
        b'r1', b'POST', b'/p/x', [], b'', route, 'lm', 100.0, 160.0, None
    )
    progress = Progress(EventSplitter(2))
    progress.begin_send('e1', 100.0)
    progress.note_events(101.0)
    progress.note_sent(101.0)
    assert answer_deadline_s(request, progress) == 160.0
    assert not progress.note_end('e1', {'e1', 'e2'})
    assert answer_deadline_s(request, progress) == 102.5
    progress.note_events(102.0)
    assert answer_deadline_s(request, progress) == 160.0


# Guards against a stream that is broken off because an endpoint which must not
# be asked any more becomes usable while the request waits for one that may be.
@pytest.mark.parametrize('returns', [False, True])
async def test_endpoint_that_returns_ends_no_wait_for_a_confirmation(
    returns: bool,
) -> None:
    """The request goes on waiting for the endpoint that sent the stream."""
    route = make_route(max_attempts=1)
    context = make_ingress(route, 1).context
    dispatcher = context.dispatcher
    now_s = context.now()
    tracked = dispatcher.endpoints.by_id
    asked = tracked['e1'].endpoint
    taken = [
        dispatcher.acquire_on(asked, online=True)
        for _ in range(asked.slots + QUEUED_PER_ENGINE)
    ]
    tracked['e2'].ejected_until_s = now_s + 100
    request = OnlineRequest(
        b'r', b'POST', b'/', [], b'', route, 'lm', now_s, now_s + 5, None
    )
    progress = Progress(attempts=1, sends=1, ran={'e1'}, sent_at_s=now_s)
    progress.end_stated = True
    reserved = []

    async def confirm() -> None:
        reserved.append(await acquire_to_confirm(context, request, progress))

    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            group.start_soon(confirm)
            while not dispatcher.waiting():
                await anyio.sleep(TICK_S)
            if returns:
                tracked['e2'].ejected_until_s = 0
                await dispatcher.tick()
                await anyio.sleep(TICK_S)
            assert not reserved
            dispatcher.release(taken.pop())
    assert isinstance(reserved[0], Ok)
    assert reserved[0].ok_value.endpoint is asked
