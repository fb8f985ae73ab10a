"""Tests of the claim ledger: at most one run, correct error kinds."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar
from unittest import mock

import anyio
import pytest
from result import Err, Ok

from faulty_store import FaultyStore, current_scope
from quetzaldyke.parts import claim_bucket, claim_groups, claims, kv
from quetzaldyke.parts.claim_bucket import (
    Claimed,
    InProgress,
    Recorded,
)

T = TypeVar('T')
NOW_MS = 1_000_000_000
RETENTION_MS = 10_000
BIG = b'x' * (claims.MAX_INLINE_BYTES + 1)


def make_ledger(store: FaultyStore, now_ms: int = NOW_MS) -> claims.ClaimLedger:
    """Return a ledger whose clock stands at the given time."""
    return claims.ClaimLedger(
        store, RETENTION_MS, lambda: now_ms, commit_delay_s=0
    )


def run(steps: Callable[[FaultyStore], Awaitable[T]]) -> T:
    """Run a test on a new store, without delays between retries."""

    async def main() -> T:
        return await steps(FaultyStore())

    with (
        mock.patch.object(kv, 'RETRY_PAUSE_S', 0),
        mock.patch.object(claim_groups, 'COMMIT_TIMEOUT_S', 0.5),
    ):
        return anyio.run(main)


async def claimed(ledger: claims.ClaimLedger, key: str = 'k') -> str:
    """Claim a free key and return the id of the claim."""
    answer = await ledger.claim(key, NOW_MS)
    assert isinstance(answer, Ok)
    assert isinstance(answer.ok_value, Claimed)
    return answer.ok_value.claim_id


@pytest.mark.parametrize('outcome', [b'', b'small', BIG, BIG * 50])
def test_resend_through_another_entry(outcome: bytes) -> None:
    """Guards against outcomes that only the recording entry can return."""

    async def steps(store: FaultyStore) -> object:
        claim_id = await claimed(make_ledger(store))
        await make_ledger(store).record('k', claim_id, outcome)
        return await make_ledger(store).claim('k', NOW_MS)

    assert run(steps) == Ok(Recorded(outcome))


def test_release_frees_the_key() -> None:
    """Guards against refusing a resend after a release."""

    async def steps(store: FaultyStore) -> tuple[str, str]:
        first = await claimed(make_ledger(store))
        await make_ledger(store).release('k', first)
        return first, await claimed(make_ledger(store))

    first, second = run(steps)
    assert first != second


@pytest.mark.parametrize('act', ['release', 'record'])
def test_only_the_claimant_changes_a_claim(act: str) -> None:
    """Guards against a stale attempt that changes a newer claim."""

    async def steps(store: FaultyStore) -> object:
        ledger = make_ledger(store)
        stale = await claimed(ledger)
        await ledger.release('k', stale)
        holder = await claimed(ledger)
        if act == 'release':
            await ledger.release('k', stale)
        else:
            refused = await ledger.record('k', stale, b'stale')
            assert refused.unwrap_err().code == 'claim_lost'
        return await ledger.claim('k', NOW_MS) == Ok(InProgress(holder))

    assert run(steps)


@pytest.mark.parametrize(
    ('reads', 'writes', 'kind'),
    [
        (['unavailable'] * 16, [], 'unknown'),
        (['unknown'] * 16, [], 'unknown'),
        ([], ['unavailable'] * 16, 'not_run'),
        (['ok', *['unavailable'] * 16], ['lost'], 'unknown'),
        (['ok', *['unavailable'] * 16], ['dropped'], 'unknown'),
        ([], ['dropped'] * 16, 'unknown'),
        (['ok', *['unavailable'] * 16], ['latest'], 'unknown'),
        (['hang'], [], 'unknown'),
        ([], ['hang'], 'unknown'),
    ],
)
def test_outage_gives_the_right_error_kind(
    reads: list[str],
    writes: list[str],
    kind: str,
) -> None:
    """Guards against `not_run` for a claim that may have been written."""

    async def steps(store: FaultyStore) -> tuple[str, object]:
        ledger = make_ledger(store)
        store.plan(reads, writes)
        answer = await ledger.claim('k', NOW_MS)
        store.plan([], [])
        await ledger.retry_failed_writes()
        await store.apply_delayed()
        # The refused attempt does not run, so its key is free again.
        await claimed(make_ledger(store))
        return answer.unwrap_err().kind, answer.unwrap_err().code

    assert run(steps) == (kind, 'store_failed')


def test_release_keeps_an_outcome() -> None:
    """Guards against a second run after a release that follows a record."""

    async def steps(store: FaultyStore) -> object:
        ledger = make_ledger(store)
        claim_id = await claimed(ledger)
        await ledger.record('k', claim_id, b'booked')
        await ledger.release('k', claim_id)
        return await ledger.claim('k', NOW_MS)

    assert run(steps) == Ok(Recorded(b'booked'))


def test_second_claim_does_not_see_an_unwritten_one() -> None:
    """Guards against `InProgress` for a claim that was never written."""

    async def steps(store: FaultyStore) -> list[str]:
        ledger = make_ledger(store)
        store.plan([], ['unavailable'] * 16)
        kinds: list[str] = []

        async def one_claim() -> None:
            kinds.append((await ledger.claim('k', NOW_MS)).unwrap_err().kind)

        async with anyio.create_task_group() as group:
            group.start_soon(one_claim)
            group.start_soon(one_claim)
        return kinds

    assert run(steps) == ['not_run', 'not_run']


@pytest.mark.parametrize('fault', ['cancel', 'cancel_after'])
@pytest.mark.parametrize(
    ('cancelled', 'outage', 'expected'),
    [
        ('first', False, ['first cancelled', 'second Claimed']),
        # The second claim may have been written and can't be read back.
        ('first', True, ['first cancelled', 'second unknown']),
        ('second', False, ['first Claimed', 'second cancelled']),
    ],
)
def test_cancel_during_a_write(
    fault: str,
    cancelled: str,
    outage: bool,
    expected: list[str],
) -> None:
    """Guards against a cancelled caller that fails others in its group.

    The first caller writes for both. The claim of a cancelled caller is
    released.
    """

    async def steps(store: FaultyStore) -> list[str]:
        ledger = make_ledger(store)
        store.plan(['ok', *['unavailable'] * 16 * outage], [fault])
        scopes = {'first': anyio.CancelScope(), 'second': anyio.CancelScope()}
        results: list[str] = []

        async def one_claim(key: str) -> None:
            current_scope.set(scopes[cancelled])
            with scopes[key]:
                answer = await ledger.claim(key, NOW_MS)
                if isinstance(answer, Err):
                    results.append(f'{key} {answer.err_value.kind}')
                else:
                    results.append(f'{key} {type(answer.ok_value).__name__}')
            if scopes[key].cancelled_caught:
                results.append(f'{key} cancelled')

        async with anyio.create_task_group() as group:
            group.start_soon(one_claim, 'first')
            group.start_soon(one_claim, 'second')
        await ledger.retry_failed_writes()
        for key in scopes:
            if f'{key} Claimed' not in results:
                await claimed(make_ledger(store), key)
        return sorted(results)

    with mock.patch.object(claim_groups, 'BUCKETS', 1):
        assert run(steps) == expected


def test_large_outcome_is_stored_before_the_reference() -> None:
    """Guards against a recorded claim whose outcome is not stored."""

    async def steps(store: FaultyStore) -> object:
        ledger = make_ledger(store)
        claim_id = await claimed(ledger)
        store.plan([], ['unavailable'] * 16)
        assert (await ledger.record('k', claim_id, BIG)).is_err()
        reply = await make_ledger(store).claim('k', NOW_MS)
        return reply == Ok(InProgress(claim_id))

    assert run(steps)


@pytest.mark.parametrize('outcome', [b'booked', BIG])
def test_lost_answers_to_records(outcome: bytes) -> None:
    """Guards against losing an outcome when the write's answer is lost."""

    async def steps(store: FaultyStore) -> object:
        ledger = make_ledger(store)
        claim_id = await claimed(ledger)
        store.plan([], ['lost', 'late', 'later', 'rivals'])
        assert (await ledger.record('k', claim_id, outcome)).is_ok()
        return await make_ledger(store).claim('k', NOW_MS)

    assert run(steps) == Ok(Recorded(outcome))


def test_failed_record_is_written_later() -> None:
    """Guards against losing outcomes in an outage of the store."""

    async def steps(store: FaultyStore) -> object:
        ledger = make_ledger(store)
        claim_id = await claimed(ledger)
        store.plan(['unavailable'] * 32, [])
        assert (await ledger.record('k', claim_id, b'booked')).is_err()
        await ledger.retry_failed_writes()
        assert ledger.writer.retry_queue_bytes() > 0
        store.plan([], [])
        await ledger.retry_failed_writes()
        assert ledger.writer.retry_queue_bytes() == 0
        return await make_ledger(store).claim('k', NOW_MS)

    assert run(steps) == Ok(Recorded(b'booked'))


def test_retry_queue_is_bounded() -> None:
    """Guards against unbounded memory use in an outage of the store."""

    async def steps(store: FaultyStore) -> int:
        ledger = make_ledger(store)
        ids = {f'k{n}': await claimed(ledger, f'k{n}') for n in range(8)}
        store.plan(['unavailable'] * 1000, [])
        for key, claim_id in ids.items():
            await ledger.record(key, claim_id, b'x' * 1000)
        return ledger.writer.retry_queue_bytes()

    with mock.patch.object(claim_groups, 'MAX_RETRY_QUEUE_BYTES', 5000):
        assert 0 < run(steps) < 5000


def test_full_bucket_refuses_and_still_records() -> None:
    """Guards against a bucket that grows beyond the value limit."""
    limit = 3000

    async def steps(store: FaultyStore) -> list[str]:
        ledger = make_ledger(store)
        ids: dict[str, str] = {}
        results: list[str] = []
        for number in range(100):
            answer = await ledger.claim(f'{number:064}', NOW_MS)
            if isinstance(answer, Err):
                assert answer.err_value.kind == 'not_run'
                results.append(answer.err_value.code)
            elif isinstance(answer.ok_value, Claimed):
                ids[f'{number:064}'] = answer.ok_value.claim_id
        for key, claim_id in ids.items():
            assert (await ledger.record(key, claim_id, b'y' * 500)).is_ok()
        for key in ids:
            reply = await make_ledger(store).claim(key, NOW_MS)
            assert reply == Ok(Recorded(b'y' * 500))
        assert len(store.records['claims/0'].value) < limit + 1000
        return results

    with (
        mock.patch.object(claim_groups, 'BUCKETS', 1),
        mock.patch.object(claim_bucket, 'MAX_BUCKET_BYTES', limit),
    ):
        assert set(run(steps)) == {'bucket_full'}


@pytest.mark.parametrize(
    ('age_ms', 'code'),
    [
        (RETENTION_MS, ''),
        (RETENTION_MS + 1, 'expired_key'),
        (-claims.MAX_AHEAD_MS, ''),
        (-claims.MAX_AHEAD_MS - 1, 'future_key'),
    ],
)
def test_age_of_keys(age_ms: int, code: str) -> None:
    """Guards against a second run after the claim has been removed."""

    async def steps(store: FaultyStore) -> str:
        answer = await make_ledger(store).claim('k', NOW_MS - age_ms)
        if isinstance(answer, Ok):
            return ''
        assert answer.err_value.kind == 'unknown'
        return answer.err_value.code

    assert run(steps) == code


@pytest.mark.parametrize('outcome', [b'small', BIG])
@pytest.mark.parametrize('early', [True, False])
def test_pruning(outcome: bytes, early: bool) -> None:
    """Guards against claims removed too early, and orphaned outcomes."""
    end_ms = NOW_MS + RETENTION_MS + claim_bucket.PRUNE_MARGIN_MS

    async def steps(store: FaultyStore) -> tuple[int, int]:
        claim_id = await claimed(make_ledger(store))
        await make_ledger(store).record('k', claim_id, outcome)
        late = make_ledger(store, end_ms + (0 if early else 1))
        removed = (await late.prune()).unwrap()
        bucket = claim_groups.bucket_key(claim_groups.bucket_of('k'))
        stored = (await kv.read(store, bucket)).unwrap()
        left = len(claim_bucket.unpack_claims(stored.payload))
        return removed, left + ('outcomes/k' in store.records)

    stored_count = 1 if outcome != BIG else 2
    assert run(steps) == ((0, stored_count) if early else (1, 0))


def test_waits_for_the_outcome() -> None:
    """Guards against `InProgress` before the wait for an outcome ends."""

    async def steps(store: FaultyStore) -> object:
        ledger = make_ledger(store)
        claim_id = await claimed(ledger)
        answers: list[object] = []

        async def resend() -> None:
            answers.append(
                await make_ledger(store).claim_or_wait('k', NOW_MS, 60),
            )

        async with anyio.create_task_group() as group:
            group.start_soon(resend)
            await anyio.wait_all_tasks_blocked()
            await ledger.record('k', claim_id, b'booked')
        return answers

    assert run(steps) == [Ok(Recorded(b'booked'))]


def test_concurrent_claims_share_writes() -> None:
    """Guards against a separate write for each claim."""

    async def steps(store: FaultyStore) -> tuple[int, int]:
        ledger = make_ledger(store)
        answers: list[object] = []

        async def one_claim(key: str) -> None:
            answers.append(await claimed(ledger, key))

        async with anyio.create_task_group() as group:
            for number in range(1000):
                group.start_soon(one_claim, f'key-{number}')
        return len(set(answers)), store.revision

    answered, writes = run(steps)
    assert answered == 1000
    assert writes <= 2 * claim_groups.BUCKETS
