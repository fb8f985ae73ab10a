"""Tests of what is learned of endpoints' speeds, and of placement by it."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from drain_rig import AnsweringEndpoint, drain_harness
from gateway_kit import (
    FakeTime,
    make_dispatcher,
    make_endpoint,
    make_route,
    set_running,
)
from quetzaldyke.gateway.answer_meter import AnswerMeter
from quetzaldyke.gateway.batch_schedule import BatchPolicy
from quetzaldyke.gateway.endpoint_speeds import EndpointSpeeds
from quetzaldyke.gateway.entry_settings import (
    SPEED_VARIABLE,
    read_entry_options,
)
from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.model import Endpoint, StatedLoad
from quetzaldyke.gateway.placement import PlacementPolicy
from quetzaldyke.gateway.reservation import Reservation
from quetzaldyke.gateway.slot_grants import SlotGrants
from quetzaldyke.platform.load_statements import decode_load

ROUTE = make_route('idempotent')
WORK_S = 0.07
SLOTS = 6


def first_event_p99_s(
    paces: list[float], load: float, *, by_speed: bool
) -> float:
    """Return the 99th percentile of answer times under an open load.

    `load` is the share of what the endpoints can serve together.
    """
    time = FakeTime(0.0)
    generator = random.Random(1)
    loads = LoadTable()
    speeds = EndpointSpeeds(time.read) if by_speed else None
    policy = PlacementPolicy('a', random.Random(2), loads, speeds=speeds)
    endpoints = [make_endpoint(f'e{n}', slots=SLOTS) for n in range(len(paces))]
    pace_of = {f'e{n}': pace for n, pace in enumerate(paces)}
    rate = load * sum(SLOTS / pace for pace in paces) / WORK_S
    steps: list[tuple[float, int, Callable[[], None]]] = []
    numbers = itertools.count()
    waiting: deque[float] = deque()
    queues = {endpoint_id: deque[float]() for endpoint_id in pace_of}
    taken_s: list[float] = []

    def after(delay_s: float, step: Callable[[], None]) -> None:
        heapq.heappush(steps, (time.now_s + delay_s, next(numbers), step))

    def start(endpoint: Endpoint, arrived_s: float, *, queued: bool) -> None:
        work_s = WORK_S * generator.uniform(0.7, 1.3)
        work_s *= pace_of[endpoint.endpoint_id]
        after(work_s, lambda: end(endpoint, arrived_s, work_s, queued))

    def end(
        endpoint: Endpoint, arrived_s: float, work_s: float, queued: bool
    ) -> None:
        taken_s.append(time.now_s - arrived_s)
        if speeds is not None and not queued:
            speeds.record(endpoint, 'whole', work_s)
        loads.own_counts(endpoint.endpoint_id).online -= 1
        if queues[endpoint.endpoint_id]:
            next_s = queues[endpoint.endpoint_id].popleft()
            start(endpoint, next_s, queued=True)
        place()

    def place() -> None:
        while waiting:
            choice = policy.choose(endpoints, 12, (), ROUTE)
            if choice is None:
                return
            endpoint_id = choice.endpoint.endpoint_id
            loads.own_counts(endpoint_id).online += 1
            if loads.total(endpoint_id) > SLOTS:
                queues[endpoint_id].append(waiting.popleft())
            else:
                start(choice.endpoint, waiting.popleft(), queued=False)

    for number in range(4_000):
        at_s = number / rate + generator.random() / rate
        heapq.heappush(steps, (at_s, next(numbers), lambda: None))
    refreshed_s = 0.0
    while steps:
        time.now_s, number, step = heapq.heappop(steps)
        if number < 4_000:
            waiting.append(time.now_s)
            place()
        step()
        if speeds is not None and time.now_s - refreshed_s > 0.5:
            refreshed_s = time.now_s
            speeds.refresh([('lm', endpoints)])
    return sorted(taken_s)[int(0.99 * len(taken_s))]


@pytest.mark.parametrize(
    ('paces', 'load'),
    [
        ([0.7, 1.7] * 4, 0.4),
        ([0.7, 1.7] * 4, 0.6),
        ([1.0] * 7 + [8.0], 0.6),
        ([1.0] * 7 + [8.0], 0.8),
        ([0.7, 0.8, 0.9, 1.0, 1.1, 1.2, 1.45, 1.7], 0.6),
    ],
)
def test_uneven_endpoints_serve_nearly_as_soon_as_even_ones(
    paces: list[float], load: float
) -> None:
    """Guards against placement by free slots, most of which are slow ones."""
    even = [len(paces) / sum(1 / pace for pace in paces)] * len(paces)
    even_s = first_event_p99_s(even, load, by_speed=False)
    assert first_event_p99_s(paces, load, by_speed=True) <= 1.2 * even_s
    assert first_event_p99_s(paces, load, by_speed=False) > 1.2 * even_s


@settings(max_examples=50)
@given(st.lists(st.integers(0, 5), min_size=2, max_size=6), st.booleans())
def test_unknown_speeds_leave_the_order_as_it_was(
    running: list[int], with_route: bool
) -> None:
    """Guards against other placements on services that are even."""
    loads = LoadTable()
    endpoints = [make_endpoint(f'e{n}') for n in range(len(running))]
    for endpoint, online in zip(endpoints, running, strict=True):
        set_running(loads, endpoint.endpoint_id, online, 0)
    speeds = EndpointSpeeds(lambda: 1.0)
    before = PlacementPolicy('a', random.Random(3), loads)
    policy = PlacementPolicy('a', random.Random(3), loads, speeds=speeds)
    route = ROUTE if with_route else None
    assert policy.choose(endpoints, 1, (), route) == before.choose(endpoints, 1)


def learned(
    speeds: EndpointSpeeds, paces: dict[str, float]
) -> dict[str, Endpoint]:
    """Return endpoints after answers that show these paces."""
    endpoints = {name: make_endpoint(name) for name in paces}
    for _ in range(40):
        for name, pace in paces.items():
            speeds.record(endpoints[name], 'first', 0.025 * pace)
            speeds.record(endpoints[name], 'pause', 0.025 * pace)
        speeds.refresh([('lm', list(endpoints.values()))])
    return endpoints


def test_one_odd_answer_changes_little() -> None:
    """Guards against an endpoint that is starved for a single pause."""
    speeds = EndpointSpeeds(FakeTime().read)
    endpoints = learned(speeds, {'a': 1.0, 'b': 1.0, 'c': 1.0})
    speeds.record(endpoints['a'], 'pause', 60.0)
    assert speeds.pace(endpoints['a']) < 1.5


def test_too_slow_endpoint_comes_last_until_it_is_tried_again() -> None:
    """Guards against streams with late pauses while others have room."""
    time = FakeTime()
    speeds = EndpointSpeeds(time.read)
    paces = {'a': 8.0, 'b': 1.0, 'c': 1.0}
    endpoints = learned(speeds, paces)
    candidates = list(endpoints.values())
    loads = LoadTable()
    policy = PlacementPolicy('a', random.Random(1), loads, speeds=speeds)
    for name in ('b', 'c'):
        set_running(loads, name, 4, 0)
    route = make_route('stream')
    waits = policy.choose(candidates, 1, (), route)
    assert waits is not None
    assert waits.endpoint.endpoint_id != 'a'
    for name in ('b', 'c'):
        set_running(loads, name, 5, 0)
    last = policy.choose(candidates, 1, (), route)
    assert last is not None
    assert last.endpoint.endpoint_id == 'a'
    for _ in range(60):
        time.now_s += 0.5
        speeds.refresh([('lm', candidates)])
    assert speeds.pace(endpoints['a']) < 1.2
    for online, chosen in ((0, 'a'), (1, 'b')):
        set_running(loads, 'a', online, 0)
        set_running(loads, 'b', 3, 0)
        tried = policy.choose(candidates, 1, (), route)
        assert tried is not None
        assert tried.endpoint.endpoint_id == chosen


def test_fast_engines_are_not_filled_where_slots_are_held_for_long() -> None:
    """Guards against entries that all send to the same last free slot.

    The one that comes too late waits far longer than a slow first event takes.
    """
    speeds = EndpointSpeeds(FakeTime().read)
    endpoints = learned(speeds, {'fast': 0.7, 'b': 1.0, 'slow': 1.7})
    speeds.record(endpoints['b'], 'stream', 0.8)
    loads = LoadTable()
    set_running(loads, 'fast', 3, 0)
    set_running(loads, 'b', 3, 0)
    policy = PlacementPolicy('a', random.Random(1), loads, speeds=speeds)
    candidates = list(endpoints.values())
    chosen = policy.choose(candidates, 1, (), make_route('stream'))
    assert chosen is not None
    assert chosen.endpoint.endpoint_id == 'slow'


def test_pause_goes_before_speed() -> None:
    """Guards against requests that a fast endpoint has said it will refuse."""
    speeds = EndpointSpeeds(FakeTime().read)
    endpoints = learned(speeds, {'fast': 1.0, 'b': 8.0, 'c': 8.0, 'd': 1.0})
    policy = PlacementPolicy('a', random.Random(1), LoadTable(), speeds=speeds)
    candidates = list(endpoints.values())
    route = make_route('stream')
    chosen = policy.choose(candidates, 1, ('fast', 'd'), route)
    assert chosen is not None
    assert chosen.endpoint.endpoint_id in {'b', 'c'}


def test_new_lifetime_starts_at_the_median() -> None:
    """Guards against a restarted endpoint that is starved or flooded."""
    speeds = EndpointSpeeds(FakeTime().read)
    learned(speeds, {'a': 8.0, 'b': 1.0, 'c': 1.0})
    assert speeds.pace(make_endpoint('a')) > 6
    assert speeds.pace(make_endpoint('a', started_ms=5)) == 1.0
    assert speeds.pace(make_endpoint('new')) == 1.0


def test_statement_counts_while_young_and_constant_lie_not_at_all() -> None:
    """Guards against an endpoint that draws all requests by its figure."""
    time = FakeTime()
    speeds = EndpointSpeeds(time.read)
    endpoints = learned(speeds, {'a': 1.0, 'b': 1.0, 'c': 1.0})
    liar = speeds.of(endpoints['a'])
    for _ in range(200):
        liar.note_statement(StatedLoad(0, 0, 4, 0.01), time.now_s)
        speeds.record(endpoints['a'], 'pause', 0.025)
        speeds.refresh([('lm', list(endpoints.values()))])
    assert 0.8 < speeds.slowness(endpoints['a'], time.now_s) < 1.25
    honest = speeds.of(endpoints['b'])
    honest.note_statement(StatedLoad(4, 3, 4, 2.5), time.now_s)
    assert speeds.slowness(endpoints['b'], time.now_s) > 2
    assert honest.stated_waiting(time.now_s) == 3
    time.now_s += 0.3
    assert speeds.slowness(endpoints['b'], time.now_s) < 1.1
    assert honest.stated_waiting(time.now_s) == 0


@pytest.mark.parametrize(
    'value',
    ['', '3', '3,0', '3,0,8,', '3,0,8,0', '3,0,8,1e3', '-3,0,8', '3;0;8']
    + ['3,0,8,nan', '3,0,8,100,1', '1234567,0,8', '\xb3,0,8', '3,0,8' * 3000],
)
def test_odd_statement_is_none(value: str) -> None:
    """Guards against a figure that is read from something else."""
    header = (b'server-load', value.encode('latin-1'))
    assert isinstance(decode_load([header]), Err)
    twice = [(b'server-load', b'3,0,8'), (b'server-load', b'4,0,8')]
    assert isinstance(decode_load(twice), Err)


def test_meter_leaves_out_waits_that_are_not_the_endpoints() -> None:
    """Guards against a slow caller or a queue that makes an endpoint slow."""
    time = FakeTime()
    speeds = EndpointSpeeds(time.read)
    queued = Reservation(make_endpoint('a'), True, time.now_s, queued=True)
    meter = AnswerMeter(speeds, queued)
    meter.note_events(1, time.now_s + 3.0)
    meter.finish(time.now_s + 3.1)
    assert speeds.recorded == 0
    meter.note_sent(time.now_s + 3.0)
    meter.note_events(9, time.now_s + 3.2)
    assert speeds.recorded == 1
    meter.note_sent(time.now_s + 3.3)
    for event in range(10, 90):
        meter.note_events(event, time.now_s + event)
    assert speeds.recorded == 1


@pytest.mark.anyio
@pytest.mark.parametrize('anyio_backend', ['asyncio'])
async def test_answers_of_requests_tell_the_speed(anyio_backend: str) -> None:
    """Guards against statements that reach callers, or are not read."""
    endpoint = AnsweringEndpoint('a', lines='Server-Load: 1,2,4,300\r\n')
    odd = AnsweringEndpoint('b', lines='Server-Load: x\r\n')
    async with drain_harness(endpoint, odd) as harness:
        speeds = EndpointSpeeds(harness.time.read)
        dispatcher = harness.dispatcher
        dispatcher.policy = replace(dispatcher.policy, speeds=speeds)
        for _ in range(12):
            answer = await harness.request()
            assert b'server-load' not in dict(answer.headers)
        assert speeds.by_id['a'].stated == 3.0
        assert speeds.by_id['a'].waiting == 2
        assert speeds.recorded == 12
        assert speeds.unreadable == {'b'}


def test_waits_count_slots_at_their_real_rate() -> None:
    """Guards against a Retry-After that counts slow slots as ordinary ones."""
    time = FakeTime()
    dispatcher = make_dispatcher(time, *map(make_endpoint, 'abc'))
    even_s = dispatcher.expected_wait_s('lm')
    speeds = EndpointSpeeds(time.read)
    learned(speeds, {'a': 4.0, 'b': 1.0, 'c': 1.0})
    dispatcher.policy = replace(dispatcher.policy, speeds=speeds)
    ratio = dispatcher.expected_wait_s('lm') / even_s
    assert ratio == pytest.approx(3 / 2.25, rel=0.05)


def test_batch_items_leave_the_fast_slots() -> None:
    """Guards against items on slots that online requests want most."""
    speeds = EndpointSpeeds(FakeTime().read)
    paces = {'fast': 0.7, 'usual': 1.0, 'slow': 1.7, 'lost': 9.0}
    endpoints = list(learned(speeds, paces).values())
    loads = LoadTable()
    policy = BatchPolicy(
        loads, SlotGrants('own', loads), random.Random(1), speeds=speeds
    )
    slots = [one.endpoint_id for one in policy.allocate_slots(endpoints, 6, 0)]
    assert slots[:6].count('slow') == 4
    assert slots[:2] == ['usual', 'usual']
    assert slots[-4:] == ['lost'] * 4


def test_placement_by_speed_is_off_by_default() -> None:
    """Guards against new behaviour where operators have not asked for it."""
    assert not read_entry_options({}).unwrap().by_speed
    assert read_entry_options({SPEED_VARIABLE: '1'}).unwrap().by_speed
