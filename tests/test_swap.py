"""Tests of `swap` under every fault of the key-value service."""

from __future__ import annotations

from unittest import mock

import anyio
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from faulty_store import FaultyStore, read_plans, write_plans
from quetzaldyke.parts import kv

KEY = 'k'
TAG = b'<own>'


def append_tag(payload: bytes) -> bytes | kv.Refused[str]:
    """Return the payload with one more tag."""
    return payload + TAG


async def count_tags(store: FaultyStore) -> int:
    """Return how often the change was applied, after all delayed writes."""
    await store.apply_delayed()
    store.plan([], [])
    stored = (await kv.read(store, KEY)).unwrap()
    return stored.payload.count(TAG)


async def swap_with_faults(
    reads: list[str],
    writes: list[str],
    earlier_writes: int,
) -> tuple[str, int]:
    """Run one swap; return its result and how often it was applied."""
    store = FaultyStore()
    if earlier_writes:
        await store.write_as_rivals(KEY, earlier_writes)
    store.plan(reads, writes)
    with mock.patch.object(kv, 'RETRY_PAUSE_S', 0):
        answer = await kv.swap(store, KEY, append_tag)
    kind = 'ok'
    if isinstance(answer, Err):
        assert isinstance(answer.err_value, kv.KvError)
        kind = answer.err_value.kind
    return kind, await count_tags(store)


@settings(max_examples=600)
@given(
    reads=read_plans,
    writes=write_plans,
    earlier_writes=st.sampled_from([0, 1, 40]),
)
@example(reads=[], writes=['later', 'rival', 'ok'], earlier_writes=40)
@example(reads=[], writes=['lost', 'rivals'], earlier_writes=40)
def test_swap_result_matches_the_store(
    reads: list[str],
    writes: list[str],
    earlier_writes: int,
) -> None:
    """Guards against duplicate or lost changes and wrong results."""
    kind, applied = anyio.run(swap_with_faults, reads, writes, earlier_writes)
    if kind == 'ok':
        assert applied == 1
    elif kind == 'unknown':
        assert applied <= 1
    else:
        assert applied == 0


@pytest.mark.parametrize('earlier_writes', [0, 1, 31, 32, 40])
@pytest.mark.parametrize('fault', ['lost', 'dropped', 'late', 'later'])
def test_single_lost_answer_is_resolved(
    fault: str, earlier_writes: int
) -> None:
    """Guards against `unknown` where reading back gives the answer.

    With a full window of write ids, every dropped write used to be unknown.
    """
    assert anyio.run(swap_with_faults, [], [fault], earlier_writes) == ('ok', 1)


def test_excluded_write_is_certain_again() -> None:
    """Guards against `unknown` once a lost write is proved not applied."""
    writes = ['dropped', 'rival', *['unavailable'] * 16]
    assert anyio.run(swap_with_faults, [], writes, 1) == ('unavailable', 0)


def test_pushed_out_write_id_is_unknown() -> None:
    """Guards against a second change when 32 writes push out the own id."""

    async def hide_own_id() -> tuple[str, int]:
        store = FaultyStore()
        await store.write_as_rivals(KEY, 40)
        store.plan([], ['lost'])
        state: kv.SwapState[str] = kv.SwapState('own')
        record = (await store.get(KEY)).unwrap()
        await kv.swap_once(store, KEY, append_tag, state, record)
        await store.write_as_rivals(KEY, kv.MAX_WRITE_IDS)
        record = (await store.get(KEY)).unwrap()
        answer = await kv.swap_once(store, KEY, append_tag, state, record)
        assert isinstance(answer, Err)
        assert isinstance(answer.err_value, kv.KvError)
        return answer.err_value.kind, await count_tags(store)

    assert anyio.run(hide_own_id) == ('unknown', 1)


def test_known_write_id_is_applied_once() -> None:
    """Guards against a second change when a whole call is repeated."""

    async def repeat() -> int:
        store = FaultyStore()
        for _ in range(3):
            answer = await kv.swap(store, KEY, append_tag, write_id='w')
            assert isinstance(answer, Ok)
        return await count_tags(store)

    assert anyio.run(repeat) == 1


@pytest.mark.parametrize(
    ('size', 'kind'),
    [(900_000, 'ok'), (kv.MAX_VALUE_BYTES, 'too_large')],
)
def test_value_limit(size: int, kind: str) -> None:
    """Guards against sending values that the service would refuse."""

    async def write() -> str:
        def fill(_payload: bytes) -> bytes | kv.Refused[str]:
            return b'x' * size

        answer = await kv.swap(FaultyStore(), KEY, fill)
        if isinstance(answer, Ok):
            return 'ok'
        assert isinstance(answer.err_value, kv.KvError)
        return answer.err_value.kind

    assert anyio.run(write) == kind


def test_concurrent_swaps_lose_nothing() -> None:
    """Guards against lost updates between conflicting writers."""

    async def count_up() -> int:
        store = FaultyStore()
        done: list[bool] = []

        async def one_writer() -> None:
            answer = await kv.swap(store, KEY, append_tag)
            done.append(isinstance(answer, Ok))

        async with anyio.create_task_group() as group:
            for _ in range(12):
                group.start_soon(one_writer)
        assert all(done)
        return await count_tags(store)

    assert anyio.run(count_up) == 12
