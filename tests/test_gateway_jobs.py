"""Tests of batch jobs in the store: acceptance, results and quotas."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from gateway_kit import FakeStore, Node, make_route
from quetzaldyke.gateway.job_records import (
    Member,
    PartialOutput,
    quota_name,
)
from quetzaldyke.gateway.new_job import NewJob, make_job
from quetzaldyke.platform.jobs import SubmittedItem

pytestmark = pytest.mark.anyio
ITEMS = 4


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


def new_job(job_id: str = 'j', tokens: int = 10) -> NewJob:
    """Return a job of four items."""
    items = [
        SubmittedItem(f'{job_id}-{number}', '/p/x', (), tokens, b'body')
        for number in range(ITEMS)
    ]
    return make_job(job_id, make_route('batch'), items)


async def accepted_node(store: FakeStore) -> Node:
    """Return an entry that has accepted job `j`."""
    node = Node.of(store, 'a')
    assert await node.store.accept(new_job(), make_route('batch')) == Ok(None)
    await node.sync()
    return node


@pytest.mark.parametrize('fault', ['unknown', 'dropped'])
async def test_acceptance_with_a_lost_answer_succeeds(fault: str) -> None:
    """Guards against a job that is refused although it was accepted."""
    store = FakeStore(write_faults=[fault])
    node = Node.of(store, 'a')
    assert await node.store.accept(new_job(), make_route('batch')) == Ok(None)


@pytest.mark.parametrize('job_id', ['a/b', '/', 'job/a', 'a/', 'a b%'])
async def test_job_with_an_odd_id_is_read_back(job_id: str) -> None:
    """Guards against an accepted job that no entry ever runs."""
    store = FakeStore()
    node = Node.of(store, 'a')
    route = replace(make_route('batch', cap=200), name='r/s')
    assert await node.store.accept(new_job(job_id), route) == Ok(None)
    other = Node.of(store, 'b')
    await other.sync()
    assert other.table.is_known(job_id)
    assert list(other.table.quota_revisions) == [quota_name('r/s', '')]
    assert await other.store.accept(new_job('next'), route) == Ok(None)
    await other.sync()
    assert other.table.jobs.keys() == {job_id, 'next'}


async def test_refused_acceptance_left_nothing() -> None:
    """Guards against a job that is stored although it was refused."""
    store = FakeStore(write_faults=['unavailable'])
    node = Node.of(store, 'a')
    answer = await node.store.accept(new_job(), make_route('batch'))
    assert answer == Err('unavailable')
    assert not store.state.items


async def test_uncertain_acceptance_is_not_reported_as_refused() -> None:
    """Guards against a refusal after a write that may have been applied."""
    store = FakeStore(write_faults=['dropped', *['unavailable'] * 9])
    node = Node.of(store, 'a')
    answer = await node.store.accept(new_job(), make_route('batch'))
    assert answer == Err('unknown')


async def test_job_resent_to_another_entry_is_the_same_job() -> None:
    """Guards against a job that two entries accept."""
    store = FakeStore()
    await accepted_node(store)
    other = Node.of(store, 'b')
    assert await other.store.accept(new_job(), make_route('batch')) == Ok(None)
    await other.sync()
    state = other.table.view('j').state
    assert state is not None
    assert state.owner_id == 'a'


async def test_quota_holds_over_all_entries() -> None:
    """Guards against entries that each accept up to the whole quota."""
    store = FakeStore()
    route = make_route('batch', cap=100)
    nodes = [Node.of(store, name) for name in 'ab']
    for node in nodes:
        await node.sync()
    answers = []
    for number, node in enumerate(nodes):
        await node.sync()
        job = new_job(f'j{number}', tokens=20)
        answers.append(await node.store.accept(job, route))
    assert answers == [Ok(None), Err('over_quota')]


async def test_acceptances_are_serialized_near_the_quota() -> None:
    """Guards against two entries that both fill the rest of the quota."""
    store = FakeStore()
    route = make_route('batch', cap=100)
    stale = Node.of(store, 'a')
    await stale.sync()
    other = Node.of(store, 'b')
    assert await other.store.accept(new_job('j1', 20), route) == Ok(None)
    # The first entry does not know that job yet.
    answer = await stale.store.accept(new_job('j2', 20), route)
    assert isinstance(answer, Err)


async def test_result_keeps_its_position() -> None:
    """Guards against results that move or change after they were read."""
    node = await accepted_node(FakeStore())
    await node.store.append_results('j', [(2, True, b'two')], {})
    await node.store.append_results(
        'j', [(0, False, b''), (1, True, b'one')], {}
    )
    state = node.table.view('j').state
    assert state is not None
    assert [result.item for result in state.results] == [2, 0, 1]
    outputs = await node.store.read_outputs('j', state.results[0].part)
    assert outputs == Ok({2: b'two'})


@given(
    st.lists(
        st.tuples(
            st.sampled_from('ab'),
            st.integers(0, ITEMS - 1),
            st.sampled_from(['', '', 'unknown', 'dropped', 'unavailable']),
            st.booleans(),
        ),
        max_size=16,
    ),
)
@settings(max_examples=60, deadline=None)
def test_no_item_has_two_results(
    steps: list[tuple[str, int, str, bool]],
) -> None:
    """Guards against duplicate results with two owners and lost answers."""
    import anyio

    anyio.run(check_history, steps)


async def check_history(steps: list[tuple[str, int, str, bool]]) -> None:
    """Let two entries append and take over in any order."""
    store = FakeStore()
    nodes = {'a': await accepted_node(store), 'b': Node.of(store, 'b')}
    await nodes['b'].sync()
    seen: list[int] = []
    for name, item, fault, take_over in steps:
        node = nodes[name]
        store.write_faults = [fault]
        if take_over:
            await node.store.take_over('j')
        else:
            await node.store.append_results('j', [(item, True, b'x')], {})
        fresh = Node.of(store, 'reader')
        await fresh.sync()
        state = fresh.table.view('j').state
        assert state is not None
        items = [result.item for result in state.results]
        assert len(items) == len(set(items))
        assert items[: len(seen)] == seen
        for result in state.results:
            outputs = await fresh.store.read_outputs('j', result.part)
            assert isinstance(outputs, Ok)
            assert result.item in outputs.ok_value
        seen = items


async def test_old_owner_cannot_append_after_a_takeover() -> None:
    """Guards against a paused owner that resumes and still writes."""
    store = FakeStore()
    old = await accepted_node(store)
    successor = Node.of(store, 'b')
    await successor.sync()
    assert await successor.store.take_over('j') == Ok(None)
    answer = await old.store.append_results('j', [(0, True, b'x')], {})
    assert isinstance(answer, Err)
    state = successor.table.view('j').state
    assert state is not None
    assert not state.results


async def test_partial_outputs_pass_to_the_successor() -> None:
    """Guards against repeated work after a graceful shutdown."""
    store = FakeStore()
    node = await accepted_node(store)
    successor = Member('b', 'i-b', '127.0.0.1', 1)
    partials = [PartialOutput(1, 7, b'so far')]
    assert await node.store.hand_over('j', successor, partials) == Ok(None)
    other = Node.of(store, 'b')
    await other.sync()
    state = other.table.view('j').state
    assert state is not None
    assert state.owner_id == 'b'
    assert await other.store.read_partials('j') == partials


async def test_end_is_seen_by_every_entry() -> None:
    """Guards against an ended job that continues on another entry."""
    store = FakeStore()
    node = await accepted_node(store)
    other = Node.of(store, 'b')
    assert await other.store.end('j') == Ok(True)
    assert await other.store.end('j') == Ok(True)
    await node.sync()
    assert not node.table.view('j').open
    assert await other.store.end('unknown') == Ok(False)


async def test_bodies_are_split_and_read_back() -> None:
    """Guards against bodies that get mixed up when a job is large."""
    items = [
        SubmittedItem(str(number), '/p/x', (), 1, bytes([number]) * 200_000)
        for number in range(5)
    ]
    job = make_job('j', make_route('batch'), items)
    assert len(job.bodies) > 1
    for number, item in enumerate(job.record.items):
        part = job.bodies[item.body_part]
        end = item.body_start + item.body_size
        assert part[item.body_start : end] == bytes([number]) * 200_000


async def test_deleted_job_leaves_no_records() -> None:
    """Guards against a store that fills up with expired jobs."""
    store = FakeStore()
    node = await accepted_node(store)
    await node.store.append_results('j', [(0, True, b'x')], {})
    await node.store.save_partials('j', [PartialOutput(1, 1, b'y')])
    await node.store.delete('j')
    assert not store.state.items
