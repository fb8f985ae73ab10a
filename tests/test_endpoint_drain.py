"""Tests of endpoints that state in their answers that they are draining."""

from __future__ import annotations

from dataclasses import replace
from unittest import mock

import anyio
import pytest
from result import Err, Ok, Result

from drain_rig import AnsweringEndpoint, drain_harness
from gateway_kit import (
    FakeTime,
    make_dispatcher,
    make_endpoint,
    make_route,
    set_running,
)
from limit_fleet import LimitFleet
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.endpoint_drain import (
    MAX_UNREGISTERED,
    RETENTION_S,
    DrainStatements,
)
from quetzaldyke.gateway.exchange import (
    ExchangeError,
    Failure,
    ResponseHead,
)
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.reservation import Refusal, Reservation
from test_item_stalls import make_run

pytestmark = pytest.mark.anyio

LEAVING = 'Server-Leaving: 1\r\n'


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


# Guards against an entry that keeps sending to an endpoint that has stated
# that it is leaving, because only the store's registry told it so.
async def test_draining_endpoint_gets_no_request_without_the_store() -> None:
    """Guards against requests that the leaving endpoint no longer serves."""
    leaving = AnsweringEndpoint('a', lines=LEAVING)
    other = AnsweringEndpoint('b')
    async with drain_harness(leaving, other) as harness:
        while not leaving.got:
            await harness.request()
        known = len(leaving.got)
        harness.time.now_s += 2.1
        for _ in range(30):
            assert (await harness.request()).status == 200
        assert len(leaving.got) == known


# Guards against sending to an endpoint that is draining because it is the
# only one: every filter of endpoints but this one is dropped then.
async def test_last_endpoint_gets_no_request_while_it_drains() -> None:
    """Guards against a caller that waits for an endpoint that has left."""
    leaving = AnsweringEndpoint('a', lines=LEAVING)
    async with drain_harness(leaving) as harness:
        assert (await harness.request()).status == 200
        refused = await harness.request()
        assert refused.status == 503
        assert float(dict(refused.headers)[b'retry-after']) > 0
        assert len(leaving.got) == 1


# Guards against a statement that is missed on answers that are not forwarded,
# or that drains an endpoint which did not state it.
@pytest.mark.parametrize(
    ('status', 'lines', 'drains'),
    [
        ('200 OK', LEAVING, True),
        ('200 OK', LEAVING * 2, True),
        ('200 OK', 'server-leaving:  1 \r\n', True),
        ('200 OK', LEAVING + 'Server-Leaving: 0\r\n', True),
        ('500 Error', LEAVING, True),
        ('503 Full', LEAVING + 'Not-Executed: 1\r\n', True),
        ('429 Many', LEAVING + 'Not-Executed: 1\r\nRetry-After: 1\r\n', True),
        ('421 Other', LEAVING + 'Instance-Id: b\r\n', False),
        ('200 OK', 'Server-Leaving: \r\n', False),
        ('200 OK', 'Server-Leaving: 0\r\n', False),
        ('200 OK', f'Server-Leaving: {"1" * 9000}\r\n', False),
        ('200 OK', 'Connection: close\r\n', False),
    ],
)
async def test_which_answers_drain_their_endpoint(
    status: str, lines: str, drains: bool
) -> None:
    """Guards against a malformed statement that costs an endpoint its work."""
    endpoint = AnsweringEndpoint('a', status, lines)
    async with drain_harness(endpoint) as harness:
        await harness.request()
        assert harness.dispatcher.endpoints.is_draining('a') is drains


# Guards against an interim answer, or one to another request, that is taken
# for the statement of the answer that follows it.
@pytest.mark.parametrize(
    'before',
    [
        f'HTTP/1.1 103 Early Hints\r\n{LEAVING}\r\n',
        f'HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\n{LEAVING}'
        'Content-Length: 1\r\n\r\nx',
    ],
    ids=['interim', 'other request'],
)
async def test_skipped_answer_drains_nobody(before: str) -> None:
    """Guards against a statement in an answer that belongs to no request."""
    endpoint = AnsweringEndpoint('a', before=before)
    async with drain_harness(endpoint) as harness:
        assert (await harness.request()).status == 200
        assert not harness.dispatcher.endpoints.is_draining('a')


async def test_statement_is_forwarded() -> None:
    """Guards against hiding the statement from whoever checks its effect."""
    async with drain_harness(AnsweringEndpoint('a', lines=LEAVING)) as harness:
        received = await harness.request()
        assert dict(received.headers)[b'server-leaving'] == b'1'


# Guards against a log line and a message for each answer of an endpoint that
# always states it, and for each unreadable value.
async def test_statement_is_noted_once() -> None:
    """Guards against work that grows with the answers of one endpoint."""
    time = FakeTime()
    dispatcher = make_dispatcher(time, make_endpoint('a'), make_endpoint('b'))
    notes = dispatcher.drains
    events: list[str] = []
    counted: list[str] = []
    stated: list[str] = []
    notes.log_event = lambda name, **fields: events.append(name)
    notes.count = counted.append
    notes.on_stated = stated.append
    for _ in range(100):
        notes.note_head(make_endpoint('a'), head_with(b'1'))
        notes.note_head(make_endpoint('b'), head_with(b'yes'))
    assert events == ['endpoint_draining', 'drain_unreadable']
    assert (counted.count('answer'), counted.count('unreadable')) == (1, 100)
    assert stated == [make_endpoint('a').lifetime]


def head_with(value: bytes) -> ResponseHead:
    """Return the head of an answer with a value of the header."""
    return ResponseHead(200, [(b'server-leaving', value)])


# Guards against a restarted endpoint that gets no requests because of what the
# one before it stated, also if that answer arrives after the restart.
@pytest.mark.parametrize('late', [False, True])
def test_later_lifetime_starts_clean(late: bool) -> None:
    """Guards against draining an endpoint that has just started."""
    time = FakeTime()
    old = make_endpoint('a', started_ms=1)
    new = make_endpoint('a', started_ms=2)
    dispatcher = make_dispatcher(time, old)
    if late:
        dispatcher.endpoints.put(new)
    dispatcher.drains.note_head(old, head_with(b'1'))
    if not late:
        assert not dispatcher.endpoints.usable('lm', time.now_s)
        dispatcher.endpoints.put(new)
    assert dispatcher.endpoints.usable('lm', time.now_s) == [new]


# Guards against an endpoint that gets no requests because of what another
# endpoint stated at the address that it has now.
def test_address_taken_over_starts_clean() -> None:
    """Guards against attributing a statement to an address."""
    time = FakeTime()
    old, new = make_endpoint('a'), make_endpoint('b')
    dispatcher = make_dispatcher(time, old)
    dispatcher.drains.note_head(old, head_with(b'1'))
    dispatcher.endpoints.replace_all([new], time.now_s)
    assert dispatcher.endpoints.usable('lm', time.now_s) == [new]


# Guards against a leaving endpoint that gets requests again because its
# registration lapsed in an outage of the store and came back in state ready.
def test_returned_registration_does_not_end_a_drain() -> None:
    """Guards against a registration that is older than the statement."""
    time = FakeTime()
    endpoint = make_endpoint('a', started_ms=1)
    dispatcher = make_dispatcher(time, endpoint, make_endpoint('b'))
    dispatcher.drains.note_head(endpoint, head_with(b'1'))
    table = dispatcher.endpoints
    table.outage_began()
    assert table.remove('a', time.now_s)
    table.drop_ended_drains(time.now_s)
    time.now_s += 5.0
    table.put(endpoint)
    assert [one.endpoint_id for one in table.usable('lm', time.now_s)] == ['b']


# Guards against memory that grows with the endpoints that have come and gone,
# or with the lifetimes that a peer invents.
def test_statements_of_ended_lifetimes_are_dropped() -> None:
    """Guards against statements that are kept for ever."""
    statements = DrainStatements()
    statements.add('a@1', 0.0)
    for number in range(2 * MAX_UNREGISTERED):
        statements.add(f'gone-{number}@1', 1.0 + number / MAX_UNREGISTERED)
    statements.drop_ended({'a@1'}, 10.0)
    assert len(statements.seen_s) == 1 + MAX_UNREGISTERED
    statements.drop_ended({'a@1'}, 20.0 + RETENTION_S)
    assert list(statements.seen_s) == ['a@1']
    statements.drop_ended(set(), 30.0 + 2 * RETENTION_S)
    assert not statements.seen_s


@pytest.mark.parametrize('failing', [False, True])
def test_drain_is_no_filter_to_be_dropped(failing: bool) -> None:
    """Guards against a draining endpoint that is used as the last one."""
    time = FakeTime()
    endpoint = make_endpoint('a')
    dispatcher = make_dispatcher(time, endpoint)
    dispatcher.drains.note_head(endpoint, head_with(b'1'))
    table = dispatcher.endpoints
    if failing:
        table.note_failure('a', time.now_s)
    assert not table.usable('lm', time.now_s, ['a'], avoid_failing=failing)
    assert not table.usable_for_batch('lm', time.now_s)
    assert dispatcher.try_acquire('lm') is None
    assert not dispatcher.capacity('lm').slots


async def wait_beside_full_endpoints(
    dispatcher: Dispatcher,
) -> list[Result[Reservation, Refusal]]:
    """Fill endpoint `a`, queue a request, and let `a` drain.

    Returns what the queued request got.
    """
    outcome: list[Result[Reservation, Refusal]] = []
    route = make_route('idempotent')
    now_s = dispatcher.clock.now()

    async def wait() -> None:
        deadline_s = now_s + route.timeout_s
        outcome.append(await dispatcher.acquire('lm', route, deadline_s, ()))

    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            while not len(dispatcher.queue('lm')):
                await anyio.sleep(0.001)
            endpoint = dispatcher.endpoints.by_id['a'].endpoint
            if 'b' in dispatcher.endpoints.by_id:
                dispatcher.loads.own.pop('b')
            dispatcher.drains.note_head(endpoint, head_with(b'1'))
    return outcome


# Guards against a queued request that waits until its deadline for an endpoint
# that has just stated that it is leaving.
async def test_queued_request_is_refused_at_once_if_nothing_is_left() -> None:
    """Guards against callers that are held although nothing can serve them."""
    dispatcher = make_dispatcher(FakeTime(), make_endpoint('a', slots=40))
    set_running(dispatcher.loads, 'a', 41, 0)
    outcome = await wait_beside_full_endpoints(dispatcher)
    assert isinstance(outcome[0], Err)
    assert outcome[0].err_value.reason == 'no_endpoint'
    assert outcome[0].err_value.retry_after_s > 0


async def test_queued_request_is_placed_elsewhere() -> None:
    """Guards against a queue that is not served when an endpoint drains."""
    dispatcher = make_dispatcher(
        FakeTime(), make_endpoint('a', slots=40), make_endpoint('b', slots=40)
    )
    for name in ('a', 'b'):
        set_running(dispatcher.loads, name, 41, 0)
    outcome = await wait_beside_full_endpoints(dispatcher)
    assert isinstance(outcome[0], Ok)
    assert outcome[0].ok_value.endpoint.endpoint_id == 'b'


# Guards against an item that was placed before its endpoint began to drain and
# is sent seconds later, after its body was read from a slow store.
async def test_item_is_not_sent_to_an_endpoint_that_drains_meanwhile() -> None:
    """Guards against an item that waits for its body and then goes there."""
    run = make_run(FakeTime())
    dispatcher = run.context.dispatcher

    async def read_body_part(job_id: str, part: int) -> Ok[bytes]:
        dispatcher.drains.note_head(run.reservation.endpoint, head_with(b'1'))
        return Ok(b'body')

    store = mock.Mock(read_body_part=read_body_part)
    run.context = replace(run.context, store=store)
    sent = ExchangeError(Failure.BROKEN)
    with mock.patch.object(HttpClient, 'start', side_effect=sent) as start:
        await run.run()
    start.assert_not_called()


# Guards against permits for a leaving endpoint that are asked for and used,
# because limits are kept apart from the list of endpoints.
def test_limited_endpoint_that_drains_gets_no_permits_used() -> None:
    """Guards against requests that a permit lets through."""
    fleet = LimitFleet.of(2, 1)
    simulated = fleet.endpoints['e0']
    simulated.limit = lambda now_s: 4.0
    fleet.add_demand(20.0, 8.0)
    fleet.run(3.0)
    assert simulated.got_s
    for entry in fleet.entries.values():
        entry.batch = 20
        entry.dispatcher.drains.note_head(simulated.endpoint, head_with(b'1'))
    fleet.run(8.0)
    assert max(simulated.got_s) <= 3.0
