"""Tests of the quota that each organisation has on a batch route."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from batch_bed import run_virtual
from gateway_kit import FakeStore, Node, make_route
from quetzaldyke.gateway.job_records import QUOTA_PREFIX, quota_name
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.new_job import NewJob, make_job
from quetzaldyke.gateway.watch import OWN_CALL
from quetzaldyke.platform.jobs import SubmittedItem

pytestmark = pytest.mark.anyio
ROUTE: Final = make_route('batch', cap=100)


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


def make_job_of(
    organisation: str, job_id: str, tokens: int, route: Route = ROUTE
) -> NewJob:
    """Return a job of one item."""
    item = SubmittedItem(f'{job_id}-0', '/p/x', (), tokens, b'body')
    return make_job(job_id, route, [item], organisation=organisation)


async def test_each_organisation_fills_its_own_quota() -> None:
    """Guards against one organisation that uses up the quota of all."""
    node = Node.of(FakeStore(), 'a')
    answers = []
    for number, organisation in enumerate(('depot', 'depot', 'hotel', '')):
        job = make_job_of(organisation, f'j{number}', 60)
        answers.append(await node.store.accept(job, ROUTE))
        await node.sync()
    assert answers == [Ok(None), Err('over_quota'), Ok(None), Ok(None)]
    assert node.table.waiting_tokens('r', 'depot') == 60


def test_quota_of_an_organisation_holds_over_entries() -> None:
    """Guards against stale entries that fill a quota several times.

    Jobs that are large for the quota are ordered from the first one on.
    """

    async def scenario() -> None:
        store = FakeStore()
        accepted = []
        for name in 'abcd':
            node = Node.of(store, name)
            job = make_job_of('depot', f'j-{name}', 40)
            accepted.append(await node.store.accept(job, ROUTE))
        assert accepted == [Ok(None), *[Err('unavailable')] * 3]

    run_virtual(scenario)


def test_entry_without_a_watch_fills_a_quota_once() -> None:
    """Guards against an entry that fills a quota while it sees no changes.

    It can order its own jobs, and accepts what fits.
    """

    async def scenario() -> None:
        node = Node.of(FakeStore(), 'a')
        accepted = []
        for number in range(52):
            job = make_job_of('depot', f'j{number}', 2)
            accepted.append(await node.store.accept(job, ROUTE))
        assert accepted[:50] == [Ok(None)] * 50
        assert accepted[50:] == [Err('over_quota')] * 2

    run_virtual(scenario)


@pytest.mark.parametrize('own_before', [0, 1, 10, 30])
def test_entry_without_a_watch_accepts_nothing_after_another(
    own_before: int,
) -> None:
    """Guards against an entry that counts without the jobs of others.

    Once another one has accepted a job, however small, it can't order its own.
    """

    async def scenario() -> None:
        store = FakeStore()
        node, other = Node.of(store, 'a'), Node.of(store, 'b')
        for number in range(own_before):
            job = make_job_of('depot', f'j{number}', 2)
            assert await node.store.accept(job, ROUTE) == Ok(None)
        await other.sync()
        job = make_job_of('depot', 'other', 2)
        assert await other.store.accept(job, ROUTE) == Ok(None)
        for number in range(2):
            job = make_job_of('depot', f'k{number}', 2)
            answer = await node.store.accept(job, ROUTE)
            assert answer == Err('unavailable')

    run_virtual(scenario)


def test_table_that_follows_needs_no_order_for_small_jobs() -> None:
    """Guards against conflicts between entries whose tables are up to date."""

    async def scenario() -> None:
        store = FakeStore()
        nodes = [Node.of(store, name) for name in 'ab']
        for node in nodes:
            await node.sync()
            node.table.confirmation.note(node.store.now(), OWN_CALL)
        for number in range(10):
            for node in nodes:
                job = make_job_of('depot', f'{number}{node.store.owner_id}', 2)
                assert await node.store.accept(job, ROUTE) == Ok(None)

    run_virtual(scenario)


async def test_job_accepted_elsewhere_is_not_over_its_own_quota() -> None:
    """Guards against 429 for a job that was accepted and is sent again.

    The entry has not heard of it, nor that the one before is done.
    """
    store = FakeStore()
    owner, other = Node.of(store, 'a'), Node.of(store, 'b')
    done, again = (make_job_of('depot', f'j{one}', 90) for one in range(2))
    assert await owner.store.accept(done, ROUTE) == Ok(None)
    await other.sync()
    listed = await owner.store.append_results('j0', [(0, True, b'o')], {})
    assert listed == Ok(1)
    await owner.sync()
    assert await owner.store.accept(again, ROUTE) == Ok(None)
    assert await other.store.accept(again, ROUTE) == Ok(None)
    third = make_job_of('depot', 'j2', 90)
    assert await other.store.accept(third, ROUTE) == Err('over_quota')


async def test_lost_answer_keeps_the_quota() -> None:
    """Guards against a retry of an acceptance that ignores the quota.

    The answer to its first write was lost, and the quota has been filled.
    """
    store = FakeStore()
    node, other = Node.of(store, 'a'), Node.of(store, 'b')
    await node.sync()
    first = make_job_of('depot', 'other', 90)
    assert await other.store.accept(first, ROUTE) == Ok(None)
    store.write_faults = ['dropped']

    async def follow() -> None:
        await anyio.sleep(0.05)
        await node.sync()

    async with anyio.create_task_group() as group:
        group.start_soon(follow)
        job = make_job_of('depot', 'own', 60)
        assert await node.store.accept(job, ROUTE) == Err('unknown')
    await other.sync()
    assert other.table.waiting_tokens('r', 'depot') == 90


def test_small_jobs_at_an_old_table_keep_the_quota() -> None:
    """Guards against an entry that hears nothing and fills a quota again.

    The quota is 1,000 tokens, of which a tenth may be exceeded.
    """

    async def scenario() -> None:
        route = make_route('batch', cap=1000)
        store = FakeStore()
        owner, other = Node.of(store, 'a'), Node.of(store, 'b')
        await other.sync()
        for number in range(95):
            job = make_job_of('depot', f'a{number}', 10, route)
            assert await owner.store.accept(job, route) == Ok(None)
            await owner.sync()
        for number in range(49):
            job = make_job_of('depot', f'b{number}', 10, route)
            await other.store.accept(job, route)
        await owner.sync()
        assert owner.table.waiting_tokens('r', 'depot') <= 1100

    run_virtual(scenario)


async def test_full_quota_delays_no_other_organisation() -> None:
    """Guards against acceptances that conflict across organisations."""
    store = FakeStore()
    stale = Node.of(store, 'a')
    await stale.sync()
    other = Node.of(store, 'b')
    first = make_job_of('hotel', 'j1', 90)
    assert await other.store.accept(first, ROUTE) == Ok(None)
    writes = store.writes
    second = make_job_of('depot', 'j2', 90)
    assert await stale.store.accept(second, ROUTE) == Ok(None)
    assert store.writes == writes + 1


@pytest.mark.parametrize('name', ['a/b', 'a/', '/', 'r' * 300, '…' * 63])
async def test_quota_of_a_route_with_an_odd_name_is_followed(name: str) -> None:
    """Guards against a quota whose changes no entry sees.

    Acceptances near it would conflict for ever.
    """
    route = replace(ROUTE, name=name)
    store = FakeStore()
    nodes = [Node.of(store, 'a'), Node.of(store, 'b')]
    for number, node in enumerate(nodes):
        job = make_job_of('', f'j{number}', 40, route)
        await node.sync()
        assert await node.store.accept(job, route) == Ok(None)


async def test_job_with_a_slash_in_its_id_is_seen_by_other_entries() -> None:
    """Guards against an accepted job that only its own entry knows."""
    store = FakeStore()
    node = Node.of(store, 'a')
    job = make_job_of('depot', 'x/job/y', 10)
    assert await node.store.accept(job, ROUTE) == Ok(None)
    other = Node.of(store, 'b')
    await other.sync()
    assert other.table.is_known('x/job/y')


NAMES: Final = st.text(st.sampled_from('ab/é'), max_size=4)


@given(NAMES, NAMES, NAMES, NAMES)
def test_no_two_quotas_share_a_key(
    route: str, organisation: str, other_route: str, other: str
) -> None:
    """Guards against quotas of two organisations that are taken for one."""
    same = (route, organisation) == (other_route, other)
    first = quota_name(route, organisation)
    assert (first == quota_name(other_route, other)) == same
    assert len(f'{QUOTA_PREFIX}{first}'.encode()) <= 200
