"""Tests of jobs whose route changes, moves and comes back while they run."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from pathlib import Path

import anyio
import pytest
from anyio.abc import TaskGroup
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from gateway_kit import (
    FakeStore,
    FakeTime,
    Node,
    make_endpoint,
    make_route,
    make_table,
)
from quetzaldyke.gateway.active_job import ActiveJob, ItemProgress
from quetzaldyke.gateway.batch_runner import BatchRunner
from quetzaldyke.gateway.entry import Entry
from quetzaldyke.gateway.exchange import Exchange
from quetzaldyke.gateway.item_run import ItemRun
from quetzaldyke.gateway.job_records import JobTerms, PartialOutput
from quetzaldyke.gateway.job_terms import (
    UNSERVED_GRACE_S,
    current_terms,
    is_unserved,
    terms_of_route,
)
from quetzaldyke.gateway.logs import LineRateLimiter, LineWriter
from quetzaldyke.gateway.model import (
    BatchRouteOptions,
    Bounds,
    CallerLimits,
    Configuration,
    Endpoint,
    Installation,
    Route,
    WeightedService,
)
from quetzaldyke.gateway.reservation import Reservation
from quetzaldyke.gateway.route_table import RouteTable
from quetzaldyke.parts.timers import Clock
from runner_kit import make_runner, new_job

pytestmark = pytest.mark.anyio
ITEMS = 4
ALL_SERVICES = frozenset(('old', 'new', 'other'))


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


def route_to(*services: str, max_attempts: int = 2) -> Route:
    """Return the batch route to services of equal weight."""
    shares = tuple(WeightedService(name, 1) for name in services)
    route = make_route('batch', max_attempts=max_attempts)
    return replace(route, services=shares)


def table_of(version: int, *routes: Route) -> RouteTable:
    """Return the routes of a configuration with all three services."""
    return replace(make_table(*routes, version=version), services=ALL_SERVICES)


def endpoint_of(service: str, slots: int = 8) -> Endpoint:
    """Return the endpoint of a service."""
    return replace(make_endpoint(f'e-{service}', slots=slots), service=service)


OLD = route_to('old')
EVERYWHERE = (endpoint_of('old'), endpoint_of('new'), endpoint_of('other'))


@dataclass(slots=True)
class MovesHarness:
    """A runner of one job, whose runs are only noted."""

    runner: BatchRunner
    time: FakeTime
    tables: list[RouteTable]
    # Item and service of each run, in order.
    runs: list[tuple[int, str]] = field(default_factory=list)

    @classmethod
    async def of(
        cls,
        group: TaskGroup,
        *endpoints: Endpoint,
        table: RouteTable | None = None,
        partials: tuple[PartialOutput, ...] = (),
    ) -> MovesHarness:
        """Return a runner of a job that was accepted for the old service."""
        node = Node.of(FakeStore(), 'a')
        job = new_job(ITEMS, route=OLD)
        assert await node.store.accept(job, OLD) == Ok(None)
        tables = [table or table_of(1, OLD)]
        runner = make_runner(node, group, lambda: tables[0], *endpoints)
        time = FakeTime()
        runner.dispatcher.clock = Clock(time.read)
        harness = cls(runner, time, tables)
        runner.starter.start_run = harness.note_run
        bodies = dict(job.bodies)
        runner.activate(job.record, set(), {}, bodies, list(partials))
        runner.peers_known = True
        return harness

    def note_run(
        self, job: ActiveJob, progress: ItemProgress, reservation: Reservation
    ) -> None:
        """Note a run that goes on until it is cut."""
        self.runs.append((progress.item, reservation.endpoint.service))

    @property
    def job(self) -> ActiveJob:
        """Return the active job."""
        return self.runner.jobs['j']

    def move(self, version: int, *routes: Route) -> int:
        """Apply a version; return how many jobs got other terms."""
        self.tables[0] = table_of(version, *routes)
        changed = self.runner.follow_routes()
        self.runner.schedule()
        return changed

    def cut(self, item: int) -> None:
        """Cut the run of an item, whose slot becomes free."""
        progress = self.job.items[item]
        progress.running = False

    def bring(self, item: int, events: int, service: str) -> None:
        """Give an item events that came from a service."""
        progress = self.job.items[item]
        progress.splitter.last_id = events
        progress.outputs = [b'x'] * events
        progress.service = service


async def test_waiting_items_follow_their_route() -> None:
    """Guards against items that wait for a service that no route names."""
    async with anyio.create_task_group() as group:
        harness = await MovesHarness.of(group, endpoint_of('new'))
        harness.runner.schedule()
        assert not harness.runs
        assert harness.move(2, route_to('new')) == 1
        assert harness.runs == [(item, 'new') for item in range(ITEMS)]
        group.cancel_scope.cancel()


async def test_runs_go_on_while_their_route_moves() -> None:
    """Guards against items that run at both services at once."""
    async with anyio.create_task_group() as group:
        harness = await MovesHarness.of(group, *EVERYWHERE)
        harness.runner.schedule()
        harness.move(2, route_to('new'))
        assert harness.runs == [(item, 'old') for item in range(ITEMS)]
        harness.cut(1)
        harness.runner.schedule()
        assert harness.runs[ITEMS:] == [(1, 'new')]
        group.cancel_scope.cancel()


async def test_moved_item_begins_anew() -> None:
    """Guards against an output that is joined from two services."""
    async with anyio.create_task_group() as group:
        harness = await MovesHarness.of(group, *EVERYWHERE)
        harness.bring(0, 7, 'old')
        harness.move(2, route_to('new'))
        assert (0, 'new') in harness.runs
        assert harness.job.items[0].events_done == 0
        group.cancel_scope.cancel()


async def test_route_that_moves_back_costs_no_events() -> None:
    """Guards against work that is dropped for a move that was taken back."""
    async with anyio.create_task_group() as group:
        harness = await MovesHarness.of(group, endpoint_of('old'))
        harness.bring(0, 7, 'old')
        harness.move(2, route_to('new'))
        assert not harness.runs
        harness.move(3, OLD)
        assert (0, 'old') in harness.runs
        assert harness.job.items[0].events_done == 7
        group.cancel_scope.cancel()


async def test_items_follow_two_moves_and_a_split() -> None:
    """Guards against terms that follow only the first change."""
    async with anyio.create_task_group() as group:
        harness = await MovesHarness.of(group)
        endpoints = harness.runner.dispatcher.endpoints
        harness.move(2, route_to('new'))
        harness.move(3, route_to('other'))
        harness.move(4, route_to('old', 'other'))
        endpoints.put(endpoint_of('new'))
        harness.runner.schedule()
        assert not harness.runs
        endpoints.put(endpoint_of('other'))
        harness.runner.schedule()
        assert harness.runs == [(item, 'other') for item in range(ITEMS)]
        group.cancel_scope.cancel()


async def test_next_owner_takes_a_moved_job_to_its_new_service() -> None:
    """Guards against saved events of the old service in a new output."""
    async with anyio.create_task_group() as group:
        harness = await MovesHarness.of(
            group,
            *EVERYWHERE,
            table=table_of(2, route_to('new')),
            partials=(PartialOutput(0, 7, b'1\n2\n3\n4\n5\n6\n7', 'old'),),
        )
        harness.runner.schedule()
        assert {service for _, service in harness.runs} == {'new'}
        assert harness.job.items[0].events_done == 0
        group.cancel_scope.cancel()


async def test_owner_with_an_older_version_uses_that_of_the_acceptance() -> (
    None
):
    """Guards against runs at a service that the accepting entry had left."""
    async with anyio.create_task_group() as group:
        older = table_of(0, route_to('new'))
        harness = await MovesHarness.of(group, *EVERYWHERE, table=older)
        harness.runner.schedule()
        assert {service for _, service in harness.runs} == {'old'}
        assert harness.move(1, OLD) == 0
        group.cancel_scope.cancel()


async def test_route_that_is_added_again_keeps_what_was_promised() -> None:
    """Guards against accepted items that a shorter time fails at once."""
    async with anyio.create_task_group() as group:
        harness = await MovesHarness.of(group, *EVERYWHERE)
        assert harness.move(2) == 0
        options = BatchRouteOptions(0.1, 0.0, 0)
        again = replace(route_to('new', max_attempts=1), batch=options)
        assert harness.move(3, again) == 1
        terms = harness.job.terms
        assert [one.service for one in terms.services] == ['new']
        assert terms.max_attempts == OLD.max_attempts
        accepted = harness.job.record.terms
        assert accepted is not None
        assert terms.completion_target_s == accepted.completion_target_s
        assert terms.max_wait_s == accepted.max_wait_s
        await harness.runner.tick()
        assert not harness.job.finished
        group.cancel_scope.cancel()


# Guards against items that wait until their longest wait is over, because
# their route was removed and its endpoints were taken away.
async def test_items_of_an_ended_route_without_endpoints_are_failed() -> None:
    """They are kept while endpoints or the route may come back."""
    async with anyio.create_task_group() as group:
        harness = await MovesHarness.of(group, endpoint_of('other'))
        time = harness.time
        harness.move(2)
        for step_s in (0.0, UNSERVED_GRACE_S - 0.1):
            time.now_s += step_s
            assert not harness.runner.expiry_reason(harness.job)
        time.now_s += 0.2
        reason = harness.runner.expiry_reason(harness.job)
        assert reason == 'route_ended_unserved'
        harness.runner.dispatcher.endpoints.put(endpoint_of('old'))
        assert not harness.runner.expiry_reason(harness.job)
        group.cancel_scope.cancel()


async def test_unknown_endpoints_fail_no_item() -> None:
    """Guards against dead letters by an entry that has just started."""
    async with anyio.create_task_group() as group:
        harness = await MovesHarness.of(group)
        time = harness.time
        harness.move(2)
        assert not harness.runner.expiry_reason(harness.job)
        time.now_s += UNSERVED_GRACE_S + 1
        assert not harness.runner.expiry_reason(harness.job)
        group.cancel_scope.cancel()


def test_service_of_another_route_is_waited_for() -> None:
    """Guards against dead letters while the operator still uses a service."""
    record = new_job(1, route=OLD).record
    terms = terms_of_route(OLD, 1)
    online = replace(OLD, name='online', kind='stream', batch=None)
    assert not is_unserved(record, table_of(2, online), terms, lambda _: False)
    assert is_unserved(record, table_of(2), terms, lambda _: False)
    assert not is_unserved(record, table_of(2, OLD), terms, lambda _: False)


async def test_item_is_not_sent_after_its_route_has_moved() -> None:
    """Guards against a late start while the store brings its body slowly."""
    async with anyio.create_task_group() as group:
        harness = await MovesHarness.of(group, *EVERYWHERE)
        job = harness.job
        runner = harness.runner
        sent = []
        reservation = runner.dispatcher.acquire_on(
            endpoint_of('old'), online=False
        )
        run = ItemRun(
            runner.run_context, job, job.items[0], reservation, Exchange()
        )

        async def read_slowly() -> bytes:
            harness.tables[0] = table_of(2, route_to('new'))
            runner.follow_routes()
            return b'body'

        async def note_send(body: bytes) -> None:
            sent.append(body)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(ItemRun, 'read_body', lambda _: read_slowly())
            patch.setattr(ItemRun, 'send_item', lambda _, body: note_send(body))
            await run.run()
        assert not sent
        group.cancel_scope.cancel()


Versions = list[tuple[int, list[str] | None, int]]


@given(
    st.lists(
        st.tuples(
            st.integers(0, 9),
            st.none() | st.lists(st.sampled_from(['old', 'new']), min_size=1),
            st.integers(1, 5),
        ),
        min_size=1,
        max_size=6,
    )
)
def test_terms_follow_the_newest_version_only(versions: Versions) -> None:
    """Guards against terms by an older version, and broken promises."""
    accepted = terms_of_route(OLD, 4)
    record = replace(new_job(1, route=OLD).record, terms=accepted)
    held: JobTerms | None = None
    for version, services, attempts in sorted(versions, key=lambda one: one[0]):
        routes = []
        if services is not None:
            routes.append(route_to(*services, max_attempts=attempts))
        held = current_terms(record, table_of(version, *routes), held)
        assert held.max_attempts >= accepted.max_attempts
        assert held.max_wait_s >= accepted.max_wait_s
        assert held.completion_target_s == accepted.completion_target_s
        if version < accepted.version:
            assert held == accepted
        elif services is not None:
            names = [share.service for share in held.services]
            assert (held.version, names) == (version, services)


async def test_configuration_reaches_active_jobs_at_once(
    tmp_path: Path,
) -> None:
    """Guards against terms that wait for the next change of an owner."""
    with (tmp_path / 'log').open('wb') as log:
        entry = Entry.from_installation(
            Installation(
                'i',
                'entry',
                '127.0.0.1',
                'd',
                1,
                2,
                '127.0.0.1:9',
                1.0,
                Bounds(2.0, 8.0, 3.0, 120.0),
            ),
            LineWriter(log.fileno(), 'p', LineRateLimiter()),
        )
        async with anyio.create_task_group() as group:
            harness = await MovesHarness.of(group, endpoint_of('new'))
            harness.runner.routes = lambda: entry.ingress.table
            entry.runner = harness.runner
            entry.on_configuration(
                Configuration(2, (route_to('new'),), {}, CallerLimits())
            )
            names = [one.service for one in harness.job.terms.services]
            assert names == ['new']
            rendered = entry.metrics.render()
            assert 'job_terms_changed_total 1' in rendered
            group.cancel_scope.cancel()
