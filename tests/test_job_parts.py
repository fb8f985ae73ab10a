"""Tests of jobs that are larger than one value of the store."""

from __future__ import annotations

from dataclasses import replace

import anyio
import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from gateway_kit import FakeStore, Node, make_route
from quetzaldyke.gateway.job_parts import (
    BodyParts,
    PartSizes,
    leading_outcomes,
    read_item_body,
    trim_partials,
)
from quetzaldyke.gateway.job_records import (
    ItemRecord,
    JobRecord,
    PartialOutput,
)
from quetzaldyke.gateway.new_job import make_job
from quetzaldyke.parts.kv import KvError
from quetzaldyke.parts.transactions import Put, Transaction, TransactionLimits
from quetzaldyke.platform.jobs import SubmittedItem
from quetzaldyke.standins.platform_store_state import StoreState
from runner_kit import RunnerHarness, new_job

pytestmark = pytest.mark.anyio
VALUE_BYTES = 10_000


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


# Guards against results that are refused for ever, because all that finished in
# an outage or within moments is written as one value above the store's limit.
async def test_results_larger_than_a_value_are_listed() -> None:
    """All results of a job are listed, whole, with one call."""
    outputs = {item: bytes([item]) * 16_000 for item in range(200)}
    async with anyio.create_task_group() as group:
        harness = await RunnerHarness.with_job(FakeStore(), group, 200)
        for item, output in outputs.items():
            harness.finish(item, output)
        await harness.runner.results.append(harness.job)
        assert await harness.listed() == outputs
        assert not harness.runner.jobs
        group.cancel_scope.cancel()


async def test_parts_are_halved_at_a_store_that_takes_less() -> None:
    """Guards against a wrong limit in the settings that blocks all results."""
    store = FakeStore(StoreState(value_bytes=VALUE_BYTES))
    outputs = {item: bytes([item]) * 3_000 for item in range(9)}
    async with anyio.create_task_group() as group:
        harness = await RunnerHarness.with_job(store, group, 9)
        for item, output in outputs.items():
            harness.finish(item, output)
        await harness.runner.results.append(harness.job)
        assert await harness.listed() == outputs
        group.cancel_scope.cancel()


async def test_result_that_never_fits_blocks_no_other() -> None:
    """Guards against one result that keeps a whole job from being listed.

    It is failed when its wait is over, and does not run again before.
    """
    store = FakeStore(StoreState(value_bytes=VALUE_BYTES))
    async with anyio.create_task_group() as group:
        harness = await RunnerHarness.with_job(store, group, 3)
        for item, size in enumerate((20_000, 10, 10)):
            harness.finish(item, b'x' * size)
        await harness.runner.results.append(harness.job)
        assert sorted(await harness.listed()) == [1, 2]
        job = harness.runner.jobs['j']
        assert not job.waiting(1e9, harness.runner.estimator)
        job.terms = replace(job.terms, max_wait_s=-1e9)
        harness.runner.fail_expired(job)
        await harness.runner.results.append(job)
        assert await harness.listed() == {0: b'', 1: b'x' * 10, 2: b'x' * 10}
        group.cancel_scope.cancel()


async def test_results_continue_after_a_part_that_failed() -> None:
    """Guards against lost results when the store goes away between parts."""
    outputs = {item: bytes([item]) * 300_000 for item in range(5)}
    async with anyio.create_task_group() as group:
        store = FakeStore()
        harness = await RunnerHarness.with_job(store, group, 5)
        for item, output in outputs.items():
            harness.finish(item, output)
        store.write_faults = ['', 'unavailable']
        await harness.runner.results.append(harness.job)
        assert len(await harness.listed()) == 1
        await harness.runner.results.append(harness.job)
        assert await harness.listed() == outputs
        group.cancel_scope.cancel()


@given(st.lists(st.binary(max_size=60), min_size=1, max_size=20))
def test_parts_hold_each_outcome_once(outputs: list[bytes]) -> None:
    """Guards against outcomes that are skipped or repeated between parts."""
    rest = [(item, True, output) for item, output in enumerate(outputs)]
    expected = list(rest)
    seen = []
    while rest:
        part = leading_outcomes(rest, 100)
        assert len(part) == 1 or sum(len(row[2]) for row in part) <= 100
        seen.extend(part)
        rest = rest[len(part) :]
    assert seen == expected


@given(
    st.lists(st.binary(max_size=40), max_size=12),
    st.integers(min_value=1, max_value=16),
)
def test_bodies_are_read_back_from_parts(
    bodies: list[bytes], part_bytes: int
) -> None:
    """Guards against bodies that are cut where they are larger than a part."""
    parts = BodyParts(part_bytes)
    places = [parts.add(body) for body in bodies]
    assert all(len(part) <= part_bytes for part in parts.parts)

    async def read_part(number: int) -> Ok[bytes] | Err[KvError]:
        return Ok(bytes(parts.parts[number]))

    for (part, start), body in zip(places, bodies, strict=True):
        item = ItemRecord('i', '/p', (), 1, part, start, len(body))
        assert anyio.run(read_item_body, item, read_part) == Ok(body)


# Guards against a job that is refused as if the store were away, each time
# that it is sent again, because one of its bodies is larger than a value.
async def test_body_larger_than_a_value_is_kept() -> None:
    """The job is accepted, its bodies are read back, and all is deleted."""
    store = FakeStore()
    node = Node.of(store, 'a')
    bodies = [b'a' * 10, b'b' * 1_300_000, b'c' * 20]
    items = [
        SubmittedItem(f'i{number}', '/p/x', (), 1, body)
        for number, body in enumerate(bodies)
    ]
    job = make_job('j', make_route('batch'), items)
    assert await node.store.accept(job, make_route('batch')) == Ok(None)
    await node.sync()
    reader = Node.of(store, 'b')
    for item, body in zip(job.record.items, bodies, strict=True):
        assert await reader.store.read_body('j', item) == Ok(body)
    await node.store.delete('j')
    assert not store.state.items


async def test_job_that_can_never_be_kept_is_refused_for_good() -> None:
    """Guards against a refusal that says `try again` and can't change."""
    headers = (('x-trace', 'x' * 8_000),)
    items = [
        SubmittedItem(f'i{number}', '/p/x', headers, 1, b'')
        for number in range(200)
    ]
    store = FakeStore()
    node = Node.of(store, 'a')
    job = make_job('j', make_route('batch'), items)
    answer = await node.store.accept(job, make_route('batch'))
    assert answer == Err('too_large')
    assert not store.writes


async def test_job_whose_results_can_never_be_kept_is_refused() -> None:
    """Guards against an accepted job whose state outgrows its value."""
    limits = TransactionLimits(value_bytes=2_000)
    node = Node.of(FakeStore(), 'a')
    node.store.limits = limits
    job = new_job(200)
    large = Node.of(FakeStore(), 'a')
    assert await large.store.accept(job, make_route('batch')) == Ok(None)
    answer = await node.store.accept(job, make_route('batch'))
    assert answer == Err('too_large')


def test_partial_output_larger_than_a_part_hides_no_other() -> None:
    """Guards against saving nothing because one partial output is too long."""
    partials = [
        PartialOutput(0, 9, b'x' * 600),
        PartialOutput(1, 5, b'y' * 300),
        PartialOutput(2, 5, b'z' * 150),
    ]
    assert trim_partials(partials, 500) == partials[1:]


def test_record_of_an_earlier_release_is_read() -> None:
    """Guards against jobs that a new release can't read or delete whole."""
    items = (ItemRecord('i', '/p', (), 1, 2, 0, 3),)
    record = JobRecord('j', 'r', 'h', 5, items, 3)
    earlier = msgpack.packb(msgpack.unpackb(record.pack())[:5])
    assert JobRecord.unpack(earlier) == record


def test_sizes_follow_the_largest_value() -> None:
    """Guards against parts that a store with smaller values refuses."""
    assert PartSizes(1_000).part_bytes == 500
    assert PartSizes(1_000).output_bytes < 1_000


@pytest.mark.parametrize(
    'transaction',
    [
        Transaction(puts=(Put('k', b'x' * 1_001),)),
        Transaction(puts=(Put('k' * 201, b''),)),
        Transaction(deletes=tuple(str(number) for number in range(33))),
    ],
)
def test_transaction_over_a_limit_is_found(transaction: Transaction) -> None:
    """Guards against calls that the store refuses each time."""
    assert TransactionLimits(value_bytes=1_000).excess(transaction)


async def test_failed_write_is_not_repeated_with_each_tick() -> None:
    """Guards against large writes to a failing store several times a second."""
    store = FakeStore()
    async with anyio.create_task_group() as group:
        harness = await RunnerHarness.with_job(store, group, 1)
        harness.finish(0, b'x')
        store.write_faults = ['unavailable'] * 5
        writes = store.writes
        for _ in range(5):
            await harness.runner.tick()
            await anyio.wait_all_tasks_blocked()
        assert store.writes == writes + 1
        group.cancel_scope.cancel()
