"""Tests of jobs whose route is removed while their items wait."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import anyio
import msgpack
import pytest
from anyio.abc import TaskGroup
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from gateway_kit import FakeStore, Node, make_route, make_table
from quetzaldyke.gateway.job_owner import JobOwner
from quetzaldyke.gateway.job_records import JobRecord, JobTerms, Member
from quetzaldyke.gateway.job_table import JobView
from quetzaldyke.gateway.job_terms import (
    can_never_run,
    current_terms,
    terms_of_route,
)
from quetzaldyke.gateway.membership import OWNER_GRACE_S, Ownership
from quetzaldyke.gateway.model import BatchRouteOptions, Route, WeightedService
from quetzaldyke.gateway.route_table import RouteTable
from quetzaldyke.gateway.store_health import StoreHealth
from runner_kit import make_runner, new_job

pytestmark = pytest.mark.anyio
ITEMS = 3
ROUTE = make_route('batch')
WITH_ROUTE = make_table(ROUTE)
# The same service without the route, and neither of them.
WITHOUT_ROUTE = make_table(version=2)
WITHOUT_SERVICE = RouteTable(2, {}, {})


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@dataclass(slots=True)
class OwnerHarness:
    """An entry that owns and takes over jobs."""

    node: Node
    owner: JobOwner
    routes: list[RouteTable | None] = field(default_factory=list)

    @classmethod
    def of(
        cls,
        store: FakeStore,
        owner_id: str,
        group: TaskGroup,
        table: RouteTable | None = WITH_ROUTE,
    ) -> OwnerHarness:
        """Return an entry with the routes of a table."""
        node = Node.of(store, owner_id)
        routes = [table]
        runner = make_runner(node, group, lambda: routes[0])
        member = Member(owner_id, f'i-{owner_id}', '127.0.0.1', 1)
        owner = JobOwner(
            runner,
            node.table,
            node.store,
            Ownership.of(node.table, member),
            StoreHealth(up_since_s=-1e6),
            runner.dispatcher.clock.now,
            alive=lambda: (),
            retention_s=0.0,
        )
        return cls(node, owner, routes)

    async def accept(self) -> None:
        """Accept job `j` as the api does."""
        job = new_job(ITEMS)
        assert await self.node.store.accept(job, ROUTE) == Ok(None)
        await self.node.sync()
        self.owner.run_accepted(job)

    async def run(self) -> None:
        """Do what an entry does at each tick."""
        await self.node.sync()
        await self.owner.reconcile()
        await self.owner.runner.tick()
        await anyio.wait_all_tasks_blocked()

    def view(self) -> JobView:
        """Return what the entry knows of the job."""
        return self.node.table.jobs['j']

    def pending(self) -> int:
        """Return how many items of the job it could start."""
        return self.owner.runner.pending()

    async def results(self) -> list[bool]:
        """Return whether each listed item completed."""
        await self.node.sync()
        state = self.view().state
        assert state is not None
        return [result.completed for result in state.results]


# Guards against a job that is dropped without results or dead letters, because
# its next owner's configuration no longer has its route.
@pytest.mark.parametrize('change', ['hand_over', 'takeover', 'restart'])
async def test_next_owner_runs_a_job_without_its_route(change: str) -> None:
    """The items wait to be run, by the terms of the acceptance."""
    store = FakeStore()
    async with anyio.create_task_group() as group:
        first = OwnerHarness.of(store, 'a', group)
        await first.accept()
        name = 'a' if change == 'restart' else 'b'
        following = OwnerHarness.of(store, name, group, WITHOUT_ROUTE)
        if change == 'hand_over':
            member = following.owner.ownership.member
            await first.owner.runner.hand_over('j', [member])
        await following.run()
        if change == 'takeover':
            time = following.owner.runner.dispatcher.clock
            later_s = time.now() + OWNER_GRACE_S + 1
            following.owner.now = lambda: later_s
            await following.run()
        assert following.pending() == ITEMS
        job = following.owner.runner.jobs['j']
        assert job.terms == terms_of_route(ROUTE, 1)
        group.cancel_scope.cancel()


async def test_route_may_go_while_an_acceptance_waits() -> None:
    """Guards against a job that is accepted and then has no owner's runs."""
    async with anyio.create_task_group() as group:
        entry = OwnerHarness.of(FakeStore(), 'a', group, WITHOUT_ROUTE)
        await entry.accept()
        assert entry.pending() == ITEMS
        group.cancel_scope.cancel()


async def test_items_expire_without_their_route() -> None:
    """Guards against items that are owed for ever after their longest wait."""
    store = FakeStore()
    async with anyio.create_task_group() as group:
        entry = OwnerHarness.of(store, 'a', group, WITHOUT_ROUTE)
        job = new_job(ITEMS)
        job = replace(job, record=replace(job.record, accepted_ms=1_000))
        assert await entry.node.store.accept(job, ROUTE) == Ok(None)
        await entry.run()
        assert await entry.results() == [False] * ITEMS
        member = entry.owner.ownership.member
        entry.node.table.members[member.owner_id] = member
        await entry.owner.delete_expired()
        assert not store.state.items
        group.cancel_scope.cancel()


async def test_items_of_an_ended_route_without_services_are_failed() -> None:
    """Guards against a wait for what no entry can ever run."""
    async with anyio.create_task_group() as group:
        entry = OwnerHarness.of(FakeStore(), 'a', group)
        await entry.accept()
        entry.routes[0] = WITHOUT_SERVICE
        await entry.run()
        assert await entry.results() == [False] * ITEMS
        assert not entry.view().open
        group.cancel_scope.cancel()


async def test_older_configuration_ends_no_job() -> None:
    """Guards against dead letters by an owner that lacks a new route."""
    async with anyio.create_task_group() as group:
        store = FakeStore()
        first = OwnerHarness.of(store, 'a', group)
        await first.accept()
        older = replace(WITHOUT_SERVICE, version=0)
        lagging = OwnerHarness.of(store, 'a', group, older)
        await lagging.run()
        assert not await lagging.results()
        assert lagging.pending() == ITEMS
        group.cancel_scope.cancel()


async def test_owner_without_configuration_waits() -> None:
    """Guards against a job that an owner gives up before it knows a route."""
    async with anyio.create_task_group() as group:
        store = FakeStore()
        await OwnerHarness.of(store, 'a', group).accept()
        entry = OwnerHarness.of(store, 'a', group, None)
        await entry.run()
        assert not entry.owner.runner.jobs
        entry.routes[0] = WITHOUT_ROUTE
        await entry.run()
        assert entry.pending() == ITEMS
        group.cancel_scope.cancel()


async def test_job_of_an_earlier_release_ends_with_its_route() -> None:
    """Guards against a job without terms that no owner ever ends."""
    async with anyio.create_task_group() as group:
        entry = OwnerHarness.of(FakeStore(), 'a', group, WITHOUT_ROUTE)
        job = new_job(ITEMS)
        job = replace(job, record=replace(job.record, terms=None))
        assert await entry.node.store.accept(job, ROUTE) == Ok(None)
        await entry.run()
        assert await entry.results() == [False] * ITEMS
        group.cancel_scope.cancel()


def other_kind(route: Route) -> Route:
    """Return a route of the same name that takes online requests."""
    return replace(route, kind='stream', batch=None)


def test_route_of_another_kind_is_not_the_jobs() -> None:
    """Guards against a fault where a name is used again for online work."""
    record = new_job(1).record
    table = make_table(other_kind(ROUTE), version=3)
    assert current_terms(record, table) == record.terms
    assert not can_never_run(record, table)
    assert can_never_run(record, replace(table, services=frozenset()))


# What each change of the route's figures does to an accepted job: attempts,
# due time and longest wait, as they are accepted, changed and in force.
@pytest.mark.parametrize(
    ('changed', 'in_force'),
    [
        ((7, 5.0, 9.0), (7, 18.0, 60.0)),
        ((1, 30.0, 90.0), (2, 18.0, 90.0)),
    ],
)
def test_existing_route_goes_before_the_accepted_terms(
    changed: tuple[int, float, float], in_force: tuple[int, float, float]
) -> None:
    """Guards against terms that outlive a change or break a promise."""
    record = new_job(1).record
    attempts, target_s, wait_s = changed
    services = (WeightedService('other', 3),)
    route = replace(
        ROUTE,
        services=services,
        max_attempts=attempts,
        batch=BatchRouteOptions(target_s, wait_s, 0),
    )
    table = make_table(route, version=2)
    assert current_terms(record, table) == JobTerms(2, services, *in_force)
    unknown = replace(record, terms=None)
    assert current_terms(unknown, table) == terms_of_route(route, 2)


@given(st.integers(0, 9), st.integers(0, 9), st.booleans(), st.booleans())
def test_only_a_newer_configuration_without_services_ends_a_job(
    accepted: int, known: int, with_route: bool, with_service: bool
) -> None:
    """Guards against dead letters by what an entry does not know yet."""
    record = replace(new_job(1).record, terms=terms_of_route(ROUTE, accepted))
    routes = (ROUTE,) if with_route else ()
    table = make_table(*routes, version=known)
    if not with_service:
        table = replace(table, services=frozenset())
    ended = known >= accepted and not with_route and not with_service
    assert can_never_run(record, table) == ended


def test_terms_survive_their_record() -> None:
    """Guards against terms that the next owner reads otherwise."""
    record = new_job(2).record
    assert record.terms is not None
    assert JobRecord.unpack(record.pack()) == record


@pytest.mark.parametrize('row', [[1], ['v', [], 1, 1.0, 1.0], 7])
def test_odd_terms_make_the_record_unreadable(row: object) -> None:
    """Guards against an odd record that ends the entry's watch."""
    fields = msgpack.unpackb(new_job(1).record.pack())
    fields[6] = row
    with pytest.raises((ValueError, TypeError)):
        JobRecord.unpack(bytes(msgpack.packb(fields)))
