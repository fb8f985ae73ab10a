"""Tests of who is served when organisations ask for more than there is."""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import anyio
import pytest
from anyio.abc import TaskGroup
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from gateway_kit import FakeTime, make_dispatcher, make_endpoint, make_route
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.loads import RequestCounts
from quetzaldyke.gateway.model import Organisation
from quetzaldyke.gateway.reservation import Reservation
from quetzaldyke.gateway.wait_estimates import Claim
from quetzaldyke.parts.fair_order import FlowTable

pytestmark = pytest.mark.anyio

STEP_S: Final = 0.01
HOLD_S: Final = 0.1
# Entries tell of their load in each step, and of organisations in each of these.
STEPS_PER_REPORT: Final = 10
SURGE_S: Final = 6.0
# Of each of two endpoints, so that 80 requests/s can be served.
SLOTS: Final = 4
CAPACITY: Final = 80.0
SMALL: Final = tuple(f'small-{number}' for number in range(80))
# Requests per second, 20 of all small ones together.
SMALL_RATE: Final = 0.25
USUAL_RATE: Final = 10.0


@pytest.fixture
def anyio_backend() -> str:
    """Return the backend that the processes use."""
    return 'asyncio'


@dataclass(slots=True)
class Held:
    """A request at an endpoint, which begins it when it has a free slot."""

    name: str
    arrived_s: float
    reservation: Reservation
    dispatcher: Dispatcher
    begun_s: float | None = None


@dataclass(slots=True)
class Load:
    """Sends the requests of organisations to entries and counts the ends."""

    time: FakeTime
    dispatchers: list[Dispatcher]
    group: TaskGroup
    in_turn: bool = False
    at_endpoints: dict[str, list[Held]] = field(default_factory=dict)
    sent: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    # Longest time until an endpoint began a request.
    longest_s: dict[str, float] = field(default_factory=dict)
    refused_after_s: list[float] = field(default_factory=list)
    reasons: Counter[str] = field(default_factory=Counter)

    async def request(self, name: str) -> None:
        """Send one request; an endpoint holds it if it is not refused.

        Hot organisations send to the first entry and others to the last, or
        all to each entry in turn.
        """
        arrived_s = self.time.now_s
        dispatcher = self.dispatchers[-1 if name in SMALL else 0]
        if self.in_turn:
            number = sum(self.sent.values()) % len(self.dispatchers)
            dispatcher = self.dispatchers[number]
        acquired = await dispatcher.acquire(
            'lm',
            make_route(),
            arrived_s + 5,
            (),
            organisation=Organisation(name),
        )
        if isinstance(acquired, Err):
            assert acquired.err_value.retry_after_s > 0
            self.refused_after_s.append(self.time.now_s - arrived_s)
            self.reasons[acquired.err_value.reason] += 1
            return
        reservation = acquired.ok_value
        line = self.at_endpoints.setdefault(
            reservation.endpoint.endpoint_id, []
        )
        line.append(Held(name, arrived_s, reservation, dispatcher))

    async def end_requests(self) -> None:
        """Let each endpoint end what has run and begin what has a slot."""
        now_s = self.time.now_s
        for line in self.at_endpoints.values():
            for held in list(line):
                if held.begun_s is not None and now_s >= held.begun_s + HOLD_S:
                    line.remove(held)
                    held.dispatcher.release(held.reservation)
            await anyio.wait_all_tasks_blocked()
            for held in line[:SLOTS]:
                if held.begun_s is None:
                    held.begun_s = now_s
                    self.served[held.name] += 1
                    known_s = self.longest_s.get(held.name, 0.0)
                    waited_s = now_s - held.arrived_s
                    self.longest_s[held.name] = max(known_s, waited_s)

    async def play(self, rates: dict[str, float], duration_s: float) -> None:
        """Send requests at the rates."""
        due = {name: index % 97 / 97 for index, name in enumerate(rates)}
        for step in range(round(duration_s / STEP_S)):
            self.time.now_s += STEP_S
            self.exchange(with_rows=step % STEPS_PER_REPORT == 0)
            await self.end_requests()
            for name, rate in rates.items():
                due[name] += rate * STEP_S
                if due[name] >= 1:
                    due[name] -= 1
                    self.sent[name] += 1
                    self.group.start_soon(self.request, name)
            await anyio.wait_all_tasks_blocked()
            for dispatcher in self.dispatchers:
                await dispatcher.tick()

    def exchange(self, *, with_rows: bool) -> None:
        """Let the entries apply each other's reports."""
        for number, sender in enumerate(self.dispatchers):
            counts = {
                key: RequestCounts(one.online, one.batch)
                for key, one in sender.loads.report().items()
            }
            for receiver in self.dispatchers:
                if receiver is sender:
                    continue
                receiver.apply_report(str(number), counts, sender.waiting(), 0)
                if with_rows:
                    receiver.estimates.shares.apply(
                        str(number), sender.estimates.rows(), self.time.now_s
                    )


async def play_surge(
    hot: dict[str, float], entries: int, *, in_turn: bool = False
) -> Load:
    """Return the counts of 80 small organisations beside hot ones."""
    time = FakeTime()
    endpoints = [make_endpoint('e1'), make_endpoint('e2')]
    async with anyio.create_task_group() as group:
        dispatchers = [
            make_dispatcher(time, *endpoints) for _ in range(entries)
        ]
        for dispatcher in dispatchers:
            dispatcher.count_entries = lambda: entries
            dispatcher.queue('lm').mean_hold_s = HOLD_S
        load = Load(time, dispatchers, group, in_turn)
        await load.play(dict.fromkeys(SMALL, SMALL_RATE) | hot, SURGE_S)
        await load.play({}, 0.5)
        group.cancel_scope.cancel()
    return load


@pytest.mark.parametrize(
    ('entries', 'in_turn'), [(1, False), (2, False), (4, True)]
)
@pytest.mark.parametrize('hot', [('one',), ('one', 'two')])
async def test_surge_of_some_organisations_leaves_the_others_served(
    hot: tuple[str, ...], entries: int, in_turn: bool
) -> None:
    """Guards against small organisations refused for the line of a hot one.

    Hot ones send seven times their usual, more than there is room for. With
    several entries that each get a part, refusals come after a short wait.
    """
    load = await play_surge(
        dict.fromkeys(hot, 7 * USUAL_RATE), entries, in_turn=in_turn
    )
    for name in SMALL:
        assert load.served[name] == load.sent[name], name
        assert load.longest_s[name] <= make_route().target_s / 2
    small = sum(load.served[name] for name in SMALL)
    counts = [load.served[name] for name in hot]
    assert sum(counts) >= 0.9 * (CAPACITY * SURGE_S - small)
    assert max(counts) <= 1.1 * min(counts)
    if in_turn:
        return
    late = sum(after_s > STEP_S for after_s in load.refused_after_s)
    assert 5 * late <= len(load.refused_after_s)


async def test_overtaken_request_that_can_not_be_in_time_is_refused() -> None:
    """Guards against a queue that grows beyond what is served in time."""
    time = FakeTime()
    dispatcher = make_dispatcher(time, make_endpoint('e1'))
    queue = dispatcher.queue('lm')
    queue.mean_hold_s = HOLD_S
    async with anyio.create_task_group() as group:
        load = Load(time, [dispatcher], group)
        for _ in range(40):
            group.start_soon(load.request, 'hot')
        await anyio.wait_all_tasks_blocked()
        queued = len(queue)
        for _ in range(3):
            group.start_soon(load.request, 'light')
        await anyio.wait_all_tasks_blocked()
        flows = Counter(one.flow for one in queue.requests if not one.cancelled)
        assert flows['light'] == 3
        assert 3 < queued <= len(queue) <= queued + 1
        assert load.reasons['displaced'] == queued + 3 - len(queue)
        group.cancel_scope.cancel()


def test_refused_callers_of_a_heavy_organisation_put_off_no_others() -> None:
    """Guards against retry times that grow with the refusals of others.

    Callers of many light organisations still don't return together.
    """
    time = FakeTime()
    dispatcher = make_dispatcher(time, make_endpoint('e1'))
    estimates = dispatcher.estimates
    for name in ('hot', 'hot', 'hot', 'light'):
        dispatcher.acquire_on(make_endpoint('e1'), online=True, flow=name)

    def retry_after_s(name: str) -> float:
        claim = Claim(0, name)
        return estimates.refusal('r', 'lm', 60.0, claim).retry_after_s

    hot = [retry_after_s('hot') for _ in range(20)]
    light = [retry_after_s(f'light-{number}') for number in range(20)]
    assert light[0] < hot[5] < hot[-1]
    pace_s = dispatcher.queue('lm').mean_hold_s / 2
    assert light[-1] - light[0] == pytest.approx(19 * pace_s)


@given(
    st.dictionaries(st.sampled_from('abcd'), st.integers(0, 6)),
    st.dictionaries(st.sampled_from('abcd'), st.integers(1, 6), min_size=1),
)
def test_next_start_is_of_the_flow_with_the_fewest_slots(
    held: dict[str, int], waiting: dict[str, int]
) -> None:
    """Guards against an order that lets a flow outgrow one that waits."""
    table = FlowTable(elsewhere={key: held[key] for key in held if held[key]})
    lines = {flow: [flow] * count for flow, count in waiting.items()}
    left = dict(waiting)
    for flow in table.in_order(lines, lambda item: 0):
        least = min(table.level(other) for other in left if left[other])
        assert table.level(flow) == least
        table.start(flow)
        left[flow] -= 1
    assert not any(left.values())


def test_flows_with_one_slot_take_turns() -> None:
    """Guards against a long line that keeps the only slot."""
    table = FlowTable()
    lines = {'long': [1, 2, 3, 4], 'short': [5, 6]}
    started = []
    while any(lines.values()):
        chosen = next(table.in_order(lines, lambda item: item))
        flow = 'short' if chosen > 4 else 'long'
        lines[flow].remove(chosen)
        table.start(flow)
        table.end(flow)
        started.append(chosen)
    assert started == [1, 5, 2, 6, 3, 4]


def test_weights_decide_how_many_slots_a_flow_holds() -> None:
    """Guards against weights that only order equals."""
    table = FlowTable(lambda flow: 3.0 if flow == 'large' else 1.0)
    lines = {name: [name] * 20 for name in ('large', 'small')}
    ordered = table.in_order(lines, lambda item: 0)
    first = Counter(itertools.islice(ordered, 8))
    assert first == {'large': 6, 'small': 2}
