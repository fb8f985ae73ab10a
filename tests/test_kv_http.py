"""Tests of the key-value store client against the stand-in server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar
from unittest import mock

import anyio
import pytest
from result import Err, Ok

from quetzaldyke.connection.kv_http import HttpKeyValueStore
from quetzaldyke.parts.kv import Change, KvError, Record
from quetzaldyke.standins.kv import KvOptions, KvStandin, run_kv

T = TypeVar('T')
Steps = Callable[[KvStandin, HttpKeyValueStore], Awaitable[T]]


def run(steps: Steps[T], timeout_s: float = 5) -> T:
    """Run steps with a stand-in and a store connected to it."""

    async def main() -> T:
        async with anyio.create_task_group() as group:
            standin = await group.start(run_kv, KvOptions())
            store = HttpKeyValueStore.from_address(standin.address, timeout_s)
            async with store:
                answer = await steps(standin, store)
            group.cancel_scope.cancel()
        return answer

    return anyio.run(main)


async def wait_until(holds: Callable[[], bool]) -> None:
    """Wait up to 10 s until a condition holds."""
    with anyio.fail_after(10):
        while not holds():
            await anyio.sleep(0.002)


def kind_of(answer: object) -> str:
    """Return the kind of an error."""
    assert isinstance(answer, Err)
    assert isinstance(answer.err_value, KvError)
    return answer.err_value.kind


def test_compare_and_swap() -> None:
    """Guards against writes that ignore the revision."""

    async def steps(_kv: KvStandin, store: HttpKeyValueStore) -> None:
        created = (await store.put_if('a/1', b'\x00\xff', 0)).unwrap()
        assert await store.get('a/1') == Ok(Record('a/1', b'\x00\xff', created))
        assert kind_of(await store.put_if('a/1', b'x', 0)) == 'conflict'
        assert kind_of(await store.delete_if('a/1', 99)) == 'conflict'
        changed = (await store.put_if('a/1', b'', created)).unwrap()
        assert changed > created
        await store.put_if('b', b'other', 0)
        found = (await store.list_prefix('a/')).unwrap()
        assert found == [Record('a/1', b'', changed)]
        assert len((await store.list_prefix('')).unwrap()) == 2
        assert await store.delete_if('a/1', changed) == Ok(None)
        assert await store.get('a/1') == Ok(None)

    run(steps)


def test_refused_connection_is_unavailable() -> None:
    """Guards against `unknown` for calls that could not connect."""

    async def steps(kv: KvStandin, store: HttpKeyValueStore) -> None:
        # Opens a connection, which the outage breaks.
        assert await store.get('a') == Ok(None)
        kv.faults.down = True
        await wait_until(lambda: not kv.server.listening)
        assert kind_of(await store.put_if('a', b'', 0)) == 'unavailable'
        kv.faults.down = False
        await wait_until(lambda: kv.server.listening)
        assert await store.get('a') == Ok(None)

    run(steps)


def test_no_place_in_line_is_unavailable() -> None:
    """Guards against `unknown` for calls that only waited to be sent.

    The first call holds the only connection until the second one, which
    waits for it, has failed.
    """

    async def steps(kv: KvStandin, store: HttpKeyValueStore) -> None:
        store.calls.max_connections = 1
        kv.faults.delay_s = 30
        patient = HttpKeyValueStore(
            store.address, store.calls, store.watches, timeout_s=60
        )
        kinds: dict[str, str] = {}
        received = anyio.Event()

        def delay_call(_rng: object, ratio: float) -> bool:
            received.set()
            return ratio == kv.faults.delay_ratio

        async def write(key: str, client: HttpKeyValueStore) -> None:
            kinds[key] = kind_of(await client.put_if(key, b'', 0))

        with mock.patch.object(type(kv.rng), 'draw', delay_call):
            async with anyio.create_task_group() as group:
                group.start_soon(write, 'first', patient)
                await received.wait()
                await write('second', store)
                assert kinds == {'second': 'unavailable'}
                kv.faults.down = True
        assert kinds['first'] == 'unknown'

    run(steps, timeout_s=1)


def test_timeout_is_unknown() -> None:
    """Guards against `unavailable` for a write that is applied later."""

    async def steps(kv: KvStandin, store: HttpKeyValueStore) -> None:
        kv.faults.delay_s = 0.3
        assert kind_of(await store.put_if('a', b'late', 0)) == 'unknown'
        await wait_until(lambda: b'a' in kv.state.keys)
        kv.faults.delay_s = 0
        assert (await store.get('a')).unwrap() is not None

    run(steps, timeout_s=0.1)


@pytest.mark.parametrize(
    ('fault', 'applied'),
    [({'lose_answers': 1}, True), ({'drop_ratio': 1}, False)],
)
def test_broken_connection_is_unknown(
    fault: dict[str, int],
    applied: bool,
) -> None:
    """Guards against `unavailable` once a request was sent."""

    async def steps(kv: KvStandin, store: HttpKeyValueStore) -> None:
        for name, setting in fault.items():
            setattr(kv.faults, name, setting)
        assert kind_of(await store.put_if('a', b'x', 0)) == 'unknown'
        assert (b'a' in kv.state.keys) is applied

    run(steps)


def test_value_limit() -> None:
    """Guards against client and server with different size limits."""

    async def steps(kv: KvStandin, store: HttpKeyValueStore) -> None:
        assert (await store.put_if('a', b'x' * 1_000_000, 0)).is_ok()
        large = b'x' * 1_000_001
        assert kind_of(await store.put_if('b', large, 0)) == 'too_large'
        writes = kv.counts.writes
        put = {'key': 'Yg==', 'value': 'eHh4' * 333_334}
        refused = await store.transact('b', 0, {'request_put': put})
        assert kind_of(refused) == 'too_large'
        assert kv.counts.writes == writes + 1

    run(steps)


def test_lease_expires() -> None:
    """Guards against keys that outlive their lease."""

    async def steps(kv: KvStandin, store: HttpKeyValueStore) -> None:
        lease = (await store.grant_lease(60)).unwrap()
        await store.put_if('a', b'', 0, lease)
        assert await store.keep_alive(lease) == Ok(True)
        kv.faults.expire_early_s = 61
        await wait_until(lambda: not kv.state.leases)
        assert await store.get('a') == Ok(None)
        assert await store.keep_alive(lease) == Ok(False)
        assert kind_of(await store.put_if('a', b'', 0, lease)) == 'conflict'
        assert await store.revoke(lease) == Ok(None)

    run(steps)


def test_revoke_deletes_keys() -> None:
    """Guards against keys that remain after their lease was revoked."""

    async def steps(_kv: KvStandin, store: HttpKeyValueStore) -> None:
        lease = (await store.grant_lease(60)).unwrap()
        await store.put_if('a', b'', 0, lease)
        assert await store.revoke(lease) == Ok(None)
        assert await store.get('a') == Ok(None)

    run(steps)


def test_watch_sees_every_change_once() -> None:
    """Guards against changes that a watch misses, repeats or reorders."""

    async def steps(kv: KvStandin, store: HttpKeyValueStore) -> list[Change]:
        first = (await store.put_if('w/1', b'1', 0)).unwrap()
        second = (await store.put_if('w/1', b'2', first)).unwrap()
        await store.put_if('other', b'', 0)
        seen: list[Change] = []

        async def follow() -> None:
            async for change in store.watch('w/', first):
                seen.append(change)

        async with anyio.create_task_group() as group:
            group.start_soon(follow)
            await wait_until(lambda: len(seen) == 1)
            await store.put_if('w/2', b'3', 0)
            await store.delete_if('w/1', second)
            await wait_until(lambda: len(seen) == 3)
            assert kv.counts.calls['watch'] == 1
            assert kv.counts.open_watches == 1
            # The outage ends the watch without an error.
            kv.faults.down = True
        return seen

    seen = run(steps)
    assert [
        (one.record.key, one.record.value, one.deleted) for one in seen
    ] == [
        ('w/1', b'2', False),
        ('w/2', b'3', False),
        ('w/1', b'', True),
    ]


def test_watch_of_compacted_changes_ends() -> None:
    """Guards against a watch that silently omits compacted changes."""

    async def steps(kv: KvStandin, store: HttpKeyValueStore) -> list[Change]:
        await store.put_if('a', b'', 0)
        kv.state.compacted = kv.state.revision
        return [change async for change in store.watch('', 0)]

    assert run(steps) == []
