"""Tests of items and requests of a route that is split over services."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, replace

import anyio
import pytest
from anyio.abc import TaskGroup
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from gateway_kit import (
    FakeStore,
    Node,
    make_endpoint,
    make_route,
    make_table,
)
from quetzaldyke.gateway.active_job import ItemProgress
from quetzaldyke.gateway.batch_runner import BatchRunner
from quetzaldyke.gateway.batch_schedule import Candidate
from quetzaldyke.gateway.item_services import (
    Overflow,
    QueueEstimate,
    Waiting,
    by_service,
    service_of,
)
from quetzaldyke.gateway.job_records import (
    ItemRecord,
    PartialOutput,
    pack_partials,
    unpack_partials,
)
from quetzaldyke.gateway.model import Endpoint, Route, WeightedService
from quetzaldyke.gateway.reservation import Reservation
from quetzaldyke.gateway.route_table import choose_service
from quetzaldyke.parts.rendezvous import weighted_first_for
from runner_kit import make_runner, new_job

pytestmark = pytest.mark.anyio
SMALL = WeightedService('small', 10)
LARGE = WeightedService('large', 90)
SPLIT: Route = replace(make_route('batch'), services=(SMALL, LARGE))
BOTH = ('small', 'large')
DUE_MS = 10_000.0


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


def endpoint_of(service: str, number: int = 0, slots: int = 8) -> Endpoint:
    """Return an endpoint of a service."""
    name = f'{service}-{number}'
    return replace(make_endpoint(name, slots=slots), service=service)


def wait_for(item: int, begun_at: str = '') -> Waiting:
    """Return an item of the split route that is ready to start."""
    candidate = Candidate('j', item, DUE_MS, 0, late=False)
    return Waiting(candidate, f'i{item}', SPLIT.services, begun_at)


@dataclass(slots=True)
class SplitHarness:
    """A runner of a job on the split route, whose runs are only noted."""

    runner: BatchRunner
    # Service of each run that was started, by item.
    started: dict[int, str]

    @classmethod
    async def of(
        cls, group: TaskGroup, items: int, *endpoints: Endpoint
    ) -> SplitHarness:
        """Return a runner that has accepted a job."""
        node = Node.of(FakeStore(), 'a')
        job = new_job(items, route=SPLIT)
        assert await node.store.accept(job, SPLIT) == Ok(None)
        table = make_table(SPLIT)
        runner = make_runner(node, group, lambda: table, *endpoints)
        started: dict[int, str] = {}

        def note_run(
            job: object, progress: ItemProgress, reservation: Reservation
        ) -> None:
            started[progress.item] = reservation.endpoint.service

        runner.starter.start_run = note_run
        runner.activate(job.record, set(), {}, dict(job.bodies), [])
        runner.peers_known = True
        return cls(runner, started)


# Guards against accepted items that never run, because only the first service
# of their route is asked and has no endpoint left, or never had one.
async def test_items_run_while_one_service_of_their_route_is_empty() -> None:
    """All items start at the other service."""
    async with anyio.create_task_group() as group:
        harness = await SplitHarness.of(group, 8, endpoint_of('large'))
        harness.runner.schedule()
        assert len(harness.started) == 8
        assert set(harness.started.values()) == {'large'}
        group.cancel_scope.cancel()


async def test_items_run_while_the_first_service_drains() -> None:
    """Guards against items that wait for endpoints that leave."""
    async with anyio.create_task_group() as group:
        leaving = replace(endpoint_of('small'), state='draining')
        harness = await SplitHarness.of(group, 8, leaving, endpoint_of('large'))
        harness.runner.schedule()
        assert set(harness.started.values()) == {'large'}
        assert len(harness.started) == 8
        group.cancel_scope.cancel()


async def test_items_follow_the_weights() -> None:
    """Guards against a service of a tenth of the weight that gets all."""
    async with anyio.create_task_group() as group:
        endpoints = [endpoint_of(name, slots=400) for name in BOTH]
        harness = await SplitHarness.of(group, 200, *endpoints)
        harness.runner.schedule()
        shares = Counter(harness.started.values())
        assert shares['small'] + shares['large'] == 200
        assert 8 <= shares['small'] <= 36
        group.cancel_scope.cancel()


async def test_item_of_another_service_begins_anew() -> None:
    """Guards against an output that is joined from two services."""
    async with anyio.create_task_group() as group:
        harness = await SplitHarness.of(group, 1, endpoint_of('large'))
        progress = harness.runner.jobs['j'].items[0]
        progress.splitter.last_id = 7
        progress.outputs = [b'of the small one']
        progress.service = 'small'
        harness.runner.schedule()
        assert harness.started == {0: 'large'}
        assert (progress.events_done, progress.outputs) == (0, [])
        assert progress.service == 'large'
        group.cancel_scope.cancel()


async def test_begun_item_stays_at_its_service() -> None:
    """Guards against lost work when a service is full for a moment."""
    full = endpoint_of('small', slots=0)
    async with anyio.create_task_group() as group:
        harness = await SplitHarness.of(group, 1, full, endpoint_of('large'))
        progress = harness.runner.jobs['j'].items[0]
        progress.splitter.last_id = 7
        progress.service = 'small'
        harness.runner.schedule()
        assert not harness.started
        group.cancel_scope.cancel()


async def test_late_items_use_the_idle_slots_of_the_other_service() -> None:
    """Guards against idle slots while a small service makes a job late."""
    async with anyio.create_task_group() as group:
        endpoints = (endpoint_of('small', slots=1), endpoint_of('large'))
        harness = await SplitHarness.of(group, 6, *endpoints)
        job = harness.runner.jobs['j']
        job.terms = replace(
            job.terms,
            services=(replace(SMALL, weight=99), replace(LARGE, weight=1)),
            completion_target_s=0.0,
        )
        harness.runner.schedule()
        assert len(harness.started) == 6
        group.cancel_scope.cancel()


async def test_overdue_items_of_no_weight_stay_away() -> None:
    """Guards against work for a service that the operator has taken out."""
    async with anyio.create_task_group() as group:
        harness = await SplitHarness.of(group, 4, endpoint_of('small'))
        job = harness.runner.jobs['j']
        job.terms = replace(
            job.terms,
            services=(replace(SMALL, weight=0), LARGE),
            completion_target_s=0.0,
        )
        harness.runner.schedule()
        assert not harness.started
        group.cancel_scope.cancel()


def test_overflow_takes_only_what_would_be_late() -> None:
    """Guards against a split that a short queue already breaks."""
    estimate = QueueEstimate({'small': 1.0, 'large': 24.0}, run_s=2.0)
    items = [wait_for(number) for number in range(8)]
    overflow = Overflow.of({'small': items}, estimate, now_ms=0.0)
    assert overflow.by_service == {'large': items[5:]}
    begun = [wait_for(number, 'small') for number in range(8)]
    assert not Overflow.of({'small': begun}, estimate, 0.0).by_service


def test_overflow_has_nowhere_to_go() -> None:
    """Guards against items that are offered to a service without endpoints."""
    estimate = QueueEstimate({'small': 1.0}, run_s=2.0)
    items = [wait_for(number) for number in range(8)]
    assert not Overflow.of({'small': items}, estimate, 0.0).by_service


def test_items_of_a_closed_service_alone_move() -> None:
    """Guards against a reshuffle of all items when one service goes."""
    items = [wait_for(number) for number in range(300)]
    before = {one.item_id: service_of(one, BOTH) for one in items}
    after = {one.item_id: service_of(one, ('large',)) for one in items}
    assert set(after.values()) == {'large'}
    assert Counter(before.values())['small'] in range(12, 50)
    assert before == {one.item_id: service_of(one, BOTH) for one in items}


def test_items_wait_if_no_service_is_open() -> None:
    """Guards against items that belong to no queue and are forgotten."""
    items = [wait_for(number) for number in range(50)]
    grouped = by_service(items, ())
    assert sum(map(len, grouped.values())) == 50


@given(
    st.dictionaries(
        st.text(min_size=1, max_size=3),
        st.floats(0, 1e9),
        max_size=5,
    ),
    st.text(max_size=5),
)
def test_weighted_choice_takes_any_weights(
    weights: dict[str, float], key: str
) -> None:
    """Guards against weights that raise, or a choice without weight."""
    chosen = weighted_first_for(weights, key)
    assert (chosen is None) == (not weights)
    if chosen is not None and any(weights.values()):
        assert weights[chosen] > 0


def test_partial_outputs_name_their_service() -> None:
    """Guards against a next owner that joins outputs of two services."""
    partials = [PartialOutput(1, 7, b'x', 'small')]
    assert unpack_partials(pack_partials(partials)) == partials


# Guards against online requests that are refused although another service of
# their route has endpoints.
def test_request_avoids_a_service_without_endpoints() -> None:
    """Guards against a tenth of the requests that fail without need."""
    route = replace(make_route(), services=SPLIT.services)
    generator = random.Random(3)
    drawn = {
        choose_service(route, generator, lambda service: service == 'small')
        for _ in range(200)
    }
    assert drawn == {'small'}
    drawn = {
        choose_service(route, generator, lambda service: False)
        for _ in range(200)
    }
    assert drawn == set(BOTH)


def test_item_of_an_unknown_service_keeps_its_events() -> None:
    """Guards against lost work of jobs that an earlier release saved."""
    record = ItemRecord('i', '/p', (), 1, 0, 0, 0)
    progress = ItemProgress(0, record, outputs=[b'x'])
    progress.enter_service('large')
    assert progress.outputs == [b'x']
