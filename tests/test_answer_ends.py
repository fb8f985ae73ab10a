"""Tests of answers without length or chunks that end between two events."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateway_kit import make_endpoint, make_route
from quetzaldyke.gateway.answer_ends import StreamEnds
from quetzaldyke.gateway.exchange import Exchange
from quetzaldyke.gateway.item_run import ItemRun
from raw_endpoint import raw_endpoint
from test_broken_streams import (
    CHUNKED,
    EVENTS,
    HEAD,
    LAST_CHUNK,
    REFUSAL,
    REQUEST,
    THIRD,
    chunk,
    fleet,
    read_to_end,
    read_whole,
)
from test_unframed_answers import RunHarness

pytestmark = pytest.mark.anyio
# Answers that end with their connection, and one that ends with a chunk.
CUT = HEAD + b'\r\n' + EVENTS
REST = HEAD + b'\r\n' + THIRD
NOTHING = HEAD + b'\r\n'
FRAMED_NOTHING = CHUNKED + LAST_CHUNK
FRAMED_REST = CHUNKED + chunk(THIRD) + LAST_CHUNK


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, object]]:
    """Run on both event loops: the programs use uvloop, most tests don't."""
    return 'asyncio', {'use_uvloop': request.param}


async def run_item(
    answers: list[bytes], endpoints: list[str]
) -> tuple[RunHarness, list[bytes]]:
    """Run an item at endpoints in turn; return it and the requests."""
    remaining = [
        raw.replace(b'Attempt-Id: r1', b'Attempt-Id: i1') for raw in answers
    ]
    async with raw_endpoint(
        lambda *_: remaining.pop(0), closing=True
    ) as endpoint:
        harness = RunHarness.at(endpoint.port)
        dispatcher = harness.run.context.dispatcher
        for name in set(endpoints):
            dispatcher.endpoints.put(
                replace(
                    make_endpoint(name), host='127.0.0.1', port=endpoint.port
                )
            )
        for name in endpoints:
            tracked = dispatcher.endpoints.by_id[name]
            run = ItemRun(
                harness.run.context,
                harness.run.job,
                harness.run.progress,
                dispatcher.acquire_on(tracked.endpoint, online=False),
                Exchange(b'attempt-id', b'i1'),
            )
            with anyio.fail_after(5):
                await run.run()
    return harness, endpoint.requests


# Guards against an item that is listed as completed with part of its text,
# because its endpoint closed the connection cleanly between two events.
async def test_item_cut_between_events_is_not_completed() -> None:
    """The next run brings the rest, and a third one proves its end."""
    harness, requests = await run_item([CUT], ['e1'])
    assert not harness.results
    harness, requests = await run_item([CUT, REST], ['e1', 'e2'])
    assert not harness.results
    assert b'last-event-id: 2\r\n' in requests[1]
    harness, requests = await run_item([CUT, REST, NOTHING], ['e1', 'e2', 'e1'])
    assert harness.results == [True]
    assert harness.run.progress.outputs == [b'a', b'b', b'c']
    assert b'last-event-id: 3\r\n' in requests[2]


@pytest.mark.parametrize(
    ('answers', 'endpoints', 'whole'),
    [
        ([CUT, NOTHING], ['e1', 'e2'], True),
        ([CUT, FRAMED_NOTHING], ['e1', 'e2'], True),
        ([CUT, FRAMED_NOTHING], ['e1', 'e1'], True),
        ([CUT, FRAMED_REST], ['e1', 'e2'], True),
        ([CUT, REST], ['e1', 'e2'], False),
        ([CUT, REFUSAL], ['e1', 'e2'], False),
        ([CUT, REFUSAL, NOTHING], ['e1', 'e2', 'e2'], True),
        ([CUT, NOTHING], ['e1', 'e1'], True),
    ],
    ids=[
        'agreed by another endpoint',
        'proven by another endpoint',
        'proven by the same endpoint',
        'refuted and proven',
        'refuted',
        'not answered',
        'answered later',
        'agreed by the only endpoint',
    ],
)
async def test_end_of_an_item_needs_a_second_answer(
    answers: list[bytes], endpoints: list[str], *, whole: bool
) -> None:
    """Guards against an end that is believed, or never believed."""
    harness, _ = await run_item(answers, endpoints)
    assert harness.results == ([True] if whole else [])


async def test_one_endpoint_does_not_confirm_itself_beside_others() -> None:
    """Guards against an endpoint that cuts each of its answers."""
    harness, _ = await run_item([CUT, NOTHING], ['e1', 'e1'])
    assert harness.results == [True]
    progress = harness.run.progress
    assert not StreamEnds(2, ['e1', 'e1']).agree({'e1', 'e2'})
    assert progress.avoided == {'e1'}


async def test_empty_answer_alone_states_no_end() -> None:
    """Guards against an endpoint that closes before the first event."""
    harness, _ = await run_item([NOTHING, NOTHING], ['e1', 'e2'])
    assert not harness.results


# Guards against a caller's stream that ends as if it were whole, because its
# endpoint closed the connection cleanly between two events.
async def test_stream_cut_between_events_goes_on() -> None:
    """The caller gets the rest from the next endpoint, whose end is confirmed.

    Both attempts are used up then, so only these endpoints are asked.
    """
    async with fleet(make_route(), [CUT, REST, NOTHING]) as (endpoint, caller):
        await caller.send(REQUEST)
        received = await read_whole(caller)
        assert b'last-event-id: 2\r\n' in endpoint.requests[1]
        assert b'last-event-id: 3\r\n' in endpoint.requests[2]
    body = received.partition(b'\r\n\r\n')[2]
    assert body == chunk(EVENTS) + chunk(THIRD) + LAST_CHUNK


@pytest.mark.parametrize('max_attempts', [1, 2, 3])
@pytest.mark.parametrize(
    'second', [NOTHING, FRAMED_NOTHING], ids=['agreed', 'proven']
)
async def test_stream_that_ended_is_ended(
    second: bytes, max_attempts: int
) -> None:
    """Guards against breaking a stream whose end another answer confirms."""
    route = make_route(max_attempts=max_attempts)
    async with fleet(route, [CUT, second]) as (endpoint, caller):
        await caller.send(REQUEST)
        received = await read_whole(caller)
        instances = {expected_instance(one) for one in endpoint.requests}
    assert received.partition(b'\r\n\r\n')[2] == chunk(EVENTS) + LAST_CHUNK
    assert len(endpoint.requests) == 2
    assert len(instances) == min(2, max_attempts)


# Guards against a stream that ends as complete before its last event, because
# nobody who was asked could tell whether it had ended.
@pytest.mark.parametrize('max_attempts', [1, 2, 3])
@pytest.mark.parametrize(
    'second',
    [REFUSAL, b'', CHUNKED, CHUNKED + chunk(b'id: 9\ndata: x\n\n')],
    ids=['refused', 'closed', 'broken off', 'other events'],
)
async def test_stream_that_nobody_confirms_is_broken_off(
    second: bytes, max_attempts: int
) -> None:
    """The caller gets its events and a connection without an end."""
    route = make_route(max_attempts=max_attempts)
    async with fleet(route, [CUT, *[second] * 9]) as (endpoint, caller):
        await caller.send(REQUEST)
        received = await read_to_end(caller)
        instances = {expected_instance(one) for one in endpoint.requests}
    assert received.partition(b'\r\n\r\n')[2] == chunk(EVENTS)
    assert len(endpoint.requests) > 1
    assert second == REFUSAL or len(instances) <= max_attempts


def expected_instance(request: bytes) -> bytes:
    """Return the endpoint that a request names."""
    _, _, rest = request.lower().partition(b'\r\nexpect-instance: ')
    return rest.partition(b'\r\n')[0]


async def test_stream_that_breaks_off_behind_its_end_is_broken() -> None:
    """Guards against an end that a later event has refuted."""
    broken = CHUNKED + chunk(THIRD + b'id: 4')
    answers = [CUT, broken, REFUSAL, REFUSAL, REFUSAL, REFUSAL]
    async with fleet(make_route(), answers) as (_, caller):
        await caller.send(REQUEST)
        received = await read_to_end(caller)
    body = received.partition(b'\r\n\r\n')[2]
    assert body == chunk(EVENTS) + chunk(THIRD)


async def test_stream_that_may_run_once_is_not_confirmed() -> None:
    """Guards against a second run of what may run once."""
    route = make_route(resumable=False)
    async with fleet(route, [CUT, REST]) as (endpoint, caller):
        await caller.send(REQUEST)
        received = await read_whole(caller)
        assert len(endpoint.requests) == 1
    assert received.partition(b'\r\n\r\n')[2] == chunk(EVENTS) + LAST_CHUNK


async def test_answer_with_chunks_is_not_confirmed() -> None:
    """Guards against a second request for what proves its own end."""
    whole = CHUNKED + chunk(EVENTS) + LAST_CHUNK
    harness, requests = await run_item([whole], ['e1'])
    assert harness.results == [True]
    assert len(requests) == 1


@given(
    st.lists(st.tuples(st.integers(1, 3), st.sampled_from('abc')), max_size=8),
    st.sets(st.sampled_from('abc'), min_size=1),
)
def test_ends_agree_only_behind_the_same_event(
    statements: list[tuple[int, str]], usable: set[str]
) -> None:
    """Guards against statements about different ends that add up."""
    ends = StreamEnds()
    for last_event, endpoint_id in statements:
        ends.add(last_event, endpoint_id)
    if not ends.agree(usable):
        return
    last_event = statements[-1][0]
    agreeing = [one for event, one in statements[-2:] if event == last_event]
    assert len(agreeing) == 2
    latest = ends.asked(last_event)
    assert len(latest) > 1 or usable <= latest
