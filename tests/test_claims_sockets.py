"""Tests of concurrent claims over sockets while the key-value service fails.

The history of all attempts is checked: each request runs at most once, every
later attempt gets the acknowledged outcome, and the revision of a bucket never
decreases.
"""

from __future__ import annotations

import random
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import anyio
import pytest
from result import Err

from history import History, check
from quetzaldyke.connection.kv_http import HttpKeyValueStore
from quetzaldyke.parts.claim_bucket import Claimed, InProgress, Recorded
from quetzaldyke.parts.claim_groups import bucket_key, bucket_of
from quetzaldyke.parts.claims import ClaimLedger, now_ms
from quetzaldyke.standins.kv import KvOptions, KvStandin, run_kv

ENTRIES = 3
WORKERS = 8
ATTEMPTS = 12
KEYS = [f'key-{number}' for number in range(30)]
CALL_TIMEOUT_S = 0.1

FAULTS: dict[str, dict[str, float]] = {
    'none': {},
    'lost': {'lose_answers_ratio': 0.3},
    'dropped': {'drop_ratio': 0.3},
    # Above the client timeout: writes are applied after the client gave up.
    'late': {'delay_s': 0.13, 'delay_ratio': 0.3},
    'all': {
        'lose_answers_ratio': 0.15,
        'drop_ratio': 0.15,
        'delay_s': 0.13,
        'delay_ratio': 0.1,
    },
}


@dataclass(slots=True)
class Run:
    """One concurrent run with its history and counts of replies."""

    seed: int
    ledgers: list[ClaimLedger]
    history: History = field(default_factory=History)
    reply_counts: Counter[str] = field(default_factory=Counter)
    active_workers: int = WORKERS
    # Whether the first planned outage is over.
    outage_over: bool = True

    async def work(self, number: int) -> None:
        """Make attempts on random keys through random entries."""
        source = random.Random(self.seed * 1000 + number)
        for _ in range(ATTEMPTS):
            await self.attempt_random(source)
        # On a fast machine the attempts end before the first outage begins.
        while not self.outage_over:
            await self.attempt_random(source)
        self.active_workers -= 1

    async def attempt_random(self, source: random.Random) -> None:
        """Claim a random key through a random entry."""
        await self.attempt(
            source.choice(self.ledgers),
            source.choice(KEYS),
            source.random(),
        )

    async def attempt(
        self,
        ledger: ClaimLedger,
        key: str,
        chance: float,
    ) -> None:
        """Claim a key and, if claimed, run the request and record it."""
        read = self.history.begin('read', key)
        answer = await ledger.claim(key, now_ms())
        if isinstance(answer, Err):
            self.reply_counts[answer.err_value.kind] += 1
            self.history.operations.remove(read)
            return
        reply = answer.ok_value
        self.reply_counts[type(reply).__name__] += 1
        read.value = reply.outcome if isinstance(reply, Recorded) else None
        self.history.finish(read)
        if not isinstance(reply, Claimed):
            return
        if chance < 0.3:
            await ledger.release(key, reply.claim_id)
            return
        with self.history.during('run', key):
            await anyio.sleep(0.001)
        if chance < 0.4:
            return
        outcome = f'{key} {reply.claim_id}'.encode()
        write = self.history.begin('write', key, outcome)
        recorded = await ledger.record(key, reply.claim_id, outcome)
        if recorded.is_ok():
            self.history.finish(write)

    async def read_revisions(self, store: HttpKeyValueStore) -> None:
        """Read the revisions of some buckets until all workers are done."""
        while self.active_workers:
            for key in KEYS[:4]:
                name = bucket_key(bucket_of(key))
                read = self.history.begin('read', name)
                answer = await store.get(name)
                if isinstance(answer, Err):
                    self.history.operations.remove(read)
                    continue
                record = answer.ok_value
                read.revision = record.revision if record else 0
                self.history.finish(read)

    async def cause_outages(self, kv: KvStandin, outages: bool) -> None:
        """Repeat short outages of the service until all workers are done."""
        while self.active_workers and outages:
            await anyio.sleep(0.15)
            kv.faults.down = True
            # Longer than all retries of one write.
            await anyio.sleep(0.6)
            kv.faults.down = False
            self.outage_over = True

    async def check_end(self, kv: KvStandin) -> None:
        """End all faults and check the reply of every entry for each key."""
        for name in ('lose_answers_ratio', 'drop_ratio', 'delay_s'):
            setattr(kv.faults, name, 0)
        # Lets delayed writes arrive.
        await anyio.sleep(0.2)
        for ledger in self.ledgers:
            await ledger.retry_failed_writes()
            assert ledger.writer.retry_queue_bytes() == 0
        run_keys = {one.key for one in self.history.named('run')}
        for key in KEYS:
            for ledger in self.ledgers:
                read = self.history.begin('read', key)
                reply = (await ledger.claim(key, now_ms())).unwrap()
                # Claims of attempts that did not run have been released.
                kind = Recorded | InProgress if key in run_keys else Claimed
                assert isinstance(reply, kind)
                if isinstance(reply, Claimed):
                    await ledger.release(key, reply.claim_id)
                if isinstance(reply, Recorded):
                    read.value = reply.outcome
                self.history.finish(read)


async def run_with(faults: dict[str, float], outages: bool, seed: int) -> Run:
    """Run all workers under faults."""
    async with AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        kv = await group.start(run_kv, KvOptions(seed=seed))
        stores = [
            await stack.enter_async_context(
                HttpKeyValueStore.from_address(kv.address, CALL_TIMEOUT_S),
            )
            for _ in range(ENTRIES)
        ]
        run = Run(seed, [ClaimLedger(store) for store in stores])
        run.outage_over = not outages
        for name, setting in faults.items():
            setattr(kv.faults, name, setting)
        async with anyio.create_task_group() as workers:
            for number in range(WORKERS):
                workers.start_soon(run.work, number)
            workers.start_soon(run.read_revisions, stores[0])
            workers.start_soon(run.cause_outages, kv, outages)
        await run.check_end(kv)
        group.cancel_scope.cancel()
    return run


@pytest.mark.parametrize(
    ('name', 'outages'),
    [
        *((name, False) for name in FAULTS),
        ('none', True),
        ('all', True),
    ],
)
def test_claims_under_faults(name: str, outages: bool) -> None:
    """Guards against duplicate runs and lost outcomes over sockets."""
    run = anyio.run(run_with, FAULTS[name], outages, 7)
    check(run.history)
    # The run must have covered the cases under test.
    assert run.reply_counts['Claimed']
    assert run.reply_counts['Recorded']
    if outages:
        assert run.reply_counts['unknown'] + run.reply_counts['not_run']
