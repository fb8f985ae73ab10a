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
    """Return the change under test: it adds one tag."""
    return payload + TAG


async def tags_in(store: FaultyStore) -> int:
    """Return how often the change shows after all delayed writes."""
    await store.apply_delayed()
    store.plan([], [])
    stored = (await kv.read(store, KEY)).unwrap()
    return stored.payload.count(TAG)


async def swap_under(
    reads: list[str],
    writes: list[str],
    filled: int,
) -> tuple[str, int]:
    """Run one swap; returns its result and how often it was applied."""
    store = FaultyStore()
    if filled:
        await store.let_rivals_write(KEY, filled)
    store.plan(reads, writes)
    with mock.patch.object(kv, 'RETRY_PAUSE_S', 0):
        answer = await kv.swap(store, KEY, append_tag)
    kind = 'ok'
    if isinstance(answer, Err):
        assert isinstance(answer.err_value, kv.KvError)
        kind = answer.err_value.kind
    return kind, await tags_in(store)


@settings(max_examples=600)
@given(reads=read_plans, writes=write_plans, filled=st.sampled_from([0, 1, 40]))
@example(reads=[], writes=['later', 'rival', 'ok'], filled=40)
@example(reads=[], writes=['lost', 'rivals'], filled=40)
def test_swap_tells_the_truth(
    reads: list[str],
    writes: list[str],
    filled: int,
) -> None:
    """Guards against doubled and lost changes and untrue results."""
    kind, applied = anyio.run(swap_under, reads, writes, filled)
    if kind == 'ok':
        assert applied == 1
    elif kind == 'unknown':
        assert applied <= 1
    else:
        assert applied == 0


@pytest.mark.parametrize('filled', [0, 1, 31, 32, 40])
@pytest.mark.parametrize('fault', ['lost', 'dropped', 'late', 'later'])
def test_single_lost_answer_is_settled(fault: str, filled: int) -> None:
    """Guards against `unknown` where reading back can settle it.

    A full window of write ids once made every dropped write unknown.
    """
    assert anyio.run(swap_under, [], [fault], filled) == ('ok', 1)


def test_excluded_write_is_certain_again() -> None:
    """Guards against `unknown` after a lost write is known to be refused."""
    writes = ['dropped', 'rival', *['unavailable'] * 16]
    assert anyio.run(swap_under, [], writes, 1) == ('unavailable', 0)


def test_pushed_out_write_id_is_unknown() -> None:
    """Guards against a second change when 32 writes hide the first."""

    async def hide_own_id() -> tuple[str, int]:
        store = FaultyStore()
        await store.let_rivals_write(KEY, 40)
        store.plan([], ['lost'])
        state: kv.SwapState[str] = kv.SwapState('own')
        record = (await store.get(KEY)).unwrap()
        await kv.swap_once(store, KEY, append_tag, state, record)
        await store.let_rivals_write(KEY, kv.KEPT_WRITE_IDS)
        record = (await store.get(KEY)).unwrap()
        answer = await kv.swap_once(store, KEY, append_tag, state, record)
        assert isinstance(answer, Err)
        assert isinstance(answer.err_value, kv.KvError)
        return answer.err_value.kind, await tags_in(store)

    assert anyio.run(hide_own_id) == ('unknown', 1)


def test_known_write_id_is_applied_once() -> None:
    """Guards against a second change when a whole call is repeated."""

    async def repeat() -> int:
        store = FaultyStore()
        for _ in range(3):
            answer = await kv.swap(store, KEY, append_tag, write_id='w')
            assert isinstance(answer, Ok)
        return await tags_in(store)

    assert anyio.run(repeat) == 1


@pytest.mark.parametrize(
    ('size', 'kind'),
    [(900_000, 'ok'), (kv.MAX_VALUE_BYTES, 'too_large')],
)
def test_value_limit(size: int, kind: str) -> None:
    """Guards against values that the service would refuse."""

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
    """Guards against lost updates among writers that conflict."""

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
        return await tags_in(store)

    assert anyio.run(count_up) == 12
