"""Tests of the waiting line: bursts, refusals and returning callers."""

from __future__ import annotations

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from gateway_kit import (
    FakeTime,
    make_dispatcher,
    make_endpoint,
    make_route,
    use,
)
from quetzaldyke.gateway.wait_queue import QueuedRequest, WaitQueue, may_wait

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


def make_queued_request(
    started: list[str],
    name: str,
    *,
    priority: int = 0,
    latest_on_time_start_s: float = 10.0,
    latest_start_s: float = 20.0,
    room: int = 100,
) -> QueuedRequest:
    """Return a waiter that notes its start while there is room."""

    def try_start() -> bool:
        if len(started) >= room:
            return False
        started.append(name)
        return True

    return QueuedRequest(
        priority,
        latest_on_time_start_s,
        latest_start_s,
        try_start,
        lambda: started.append(f'refused {name}'),
    )


def test_urgent_first_then_order_of_arrival() -> None:
    """Guards against a less urgent request that is served first."""
    started: list[str] = []
    queue = WaitQueue()
    queue.add(make_queued_request(started, 'low', priority=2))
    queue.add(make_queued_request(started, 'first'))
    queue.add(make_queued_request(started, 'second'))
    queue.serve(1.0)
    assert started == ['first', 'second', 'low']


def test_those_that_can_be_on_time_go_first() -> None:
    """Guards against a burst that makes every request late."""
    started: list[str] = []
    queue = WaitQueue()
    queue.add(make_queued_request(started, 'late', latest_on_time_start_s=0.5))
    queue.add(
        make_queued_request(started, 'timely', latest_on_time_start_s=5.0)
    )
    queue.serve(1.0)
    assert started == ['timely', 'late']


def test_line_keeps_those_without_room() -> None:
    """Guards against requests that are dropped when slots run out."""
    started: list[str] = []
    queue = WaitQueue()
    for name in ('a', 'b', 'c'):
        queue.add(make_queued_request(started, name, room=2))
    queue.serve(1.0)
    assert (started, len(queue)) == (['a', 'b'], 1)


def test_late_requests_are_refused_not_forgotten() -> None:
    """Guards against callers that are never told that they were given up."""
    started: list[str] = []
    queue = WaitQueue()
    queue.add(make_queued_request(started, 'a', latest_start_s=2.0))
    queue.refuse_expired(2.0)
    assert (started, len(queue)) == (['refused a'], 0)


@given(st.integers(1, 60))
def test_refused_callers_return_one_after_the_other(refused: int) -> None:
    """Guards against a stampede of callers told the same time."""
    queue = WaitQueue()
    times = [queue.next_retry_s(0.0, own_slots=10.0) for _ in range(refused)]
    pace_s = queue.mean_hold_s / 5.0
    gaps = [
        after - before for before, after in zip(times, times[1:], strict=False)
    ]
    assert all(gap == pytest.approx(pace_s) for gap in gaps)


@given(
    st.floats(0, 10),
    st.floats(0.05, 1),
    st.floats(0.1, 5),
)
def test_longer_waits_are_never_preferred(
    expected_s: float,
    target_s: float,
    left_s: float,
) -> None:
    """Guards against a rule that accepts a long wait and refuses a short."""
    if may_wait(expected_s, target_s, left_s, 5.0):
        assert may_wait(expected_s / 2, target_s, left_s, 5.0)


async def test_new_caller_is_refused_at_once_when_the_line_is_long() -> None:
    """Guards against callers held until their objective is lost."""
    time = FakeTime()
    dispatcher = make_dispatcher(time, make_endpoint('e1'))
    use(dispatcher.loads, 'e1', online=9, batch=0)
    dispatcher.loads.apply_report('p', {}, {'lm': 50}, 0, time.now_s)
    placed = await dispatcher.acquire('lm', make_route(), time.now_s + 5, ())
    assert isinstance(placed, Err)
    assert placed.err_value.reason == 'no_slot_in_time'
    assert placed.err_value.retry_after_s > 0


def test_queues_of_engines_count_as_a_wait() -> None:
    """Guards against callers kept for a slot that comes too late."""
    time = FakeTime()
    dispatcher = make_dispatcher(time, make_endpoint('e1'))
    use(dispatcher.loads, 'e1', online=4, batch=3)
    without = dispatcher.expected_wait_s('lm')
    use(dispatcher.loads, 'e1', online=6, batch=0)
    assert dispatcher.expected_wait_s('lm') == pytest.approx(3 * without)


async def check_wait_for_release(left_s: float, *, sent_before: bool) -> None:
    """Check that a request waits at a full endpoint until a slot is freed."""
    time = FakeTime()
    dispatcher = make_dispatcher(time, make_endpoint('e1'))
    holders = [dispatcher.try_acquire('lm') for _ in range(5)]
    dispatcher.loads.apply_report('p', {}, {'lm': 4}, 0, time.now_s)
    placed = []

    async def ask() -> None:
        placed.append(
            await dispatcher.acquire(
                'lm',
                make_route(),
                time.now_s + left_s,
                (),
                sent_before=sent_before,
            ),
        )

    async with anyio.create_task_group() as group:
        group.start_soon(ask)
        await anyio.wait_all_tasks_blocked()
        assert not placed
        assert holders[0] is not None
        dispatcher.release(holders[0])
    assert isinstance(placed[0], Ok)


async def test_returning_caller_waits_for_a_slot() -> None:
    """Guards against callers that are sent away a second time."""
    await check_wait_for_release(3.0, sent_before=False)


async def test_request_that_was_sent_before_waits_for_a_slot() -> None:
    """Guards against a request lost because its retry found no slot."""
    await check_wait_for_release(5.0, sent_before=True)


async def test_cancelled_waiter_gives_its_place_back() -> None:
    """Guards against slots that leak when a caller leaves the line."""
    time = FakeTime()
    dispatcher = make_dispatcher(time, make_endpoint('e1'))
    holders = [dispatcher.try_acquire('lm') for _ in range(5)]
    with anyio.move_on_after(0):
        await dispatcher.acquire('lm', make_route(), time.now_s + 3.0, ())
    for holder in holders:
        assert holder is not None
        dispatcher.release(holder)
    assert dispatcher.loads.total('e1') == 0


async def test_service_without_endpoints_is_refused_at_once() -> None:
    """Guards against requests that wait for endpoints that are not there."""
    time = FakeTime()
    dispatcher = make_dispatcher(time)
    placed = await dispatcher.acquire('lm', make_route(), time.now_s + 5, ())
    assert isinstance(placed, Err)
    assert placed.err_value.reason == 'no_endpoint'
