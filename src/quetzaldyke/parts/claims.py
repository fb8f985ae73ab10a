"""Claim ledger that lets a non-idempotent request run at most once.

A process must claim the key of a request in the key-value service before it
runs the request. The first claim wins, and its outcome is recorded for later
attempts. The claims are spread over 64 buckets, each stored as one value, and
concurrent operations are written in groups (`parts/claim_groups.py`).

>>> from quetzaldyke.parts.memory_store import MemoryStore
>>> ledger = ClaimLedger(MemoryStore(), now_ms=lambda: 1000)
>>> async def example() -> None:
...     first = (await ledger.claim('ab12', 1000)).ok_value
...     print(type(first).__name__)
...     again = (await ledger.claim('ab12', 1000)).ok_value
...     print(again == InProgress(first.claim_id))
...     print(await ledger.record('ab12', first.claim_id, b'booked'))
...     print(await ledger.claim('ab12', 1000))
>>> anyio.run(example)
Claimed
True
Ok(None)
Ok(Recorded(outcome=b'booked'))
"""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

import anyio
import msgpack
from result import Err, Ok, Result

from quetzaldyke.parts.claim_bucket import (
    Claimed,
    ClaimError,
    InProgress,
    NeedsOwnKey,
    Operation,
    Recorded,
    RecordedInOwnKey,
    expired_keys,
    pack_claims,
    unpack_claims,
)
from quetzaldyke.parts.claim_groups import (
    BUCKETS,
    GroupResult,
    GroupWriter,
    bucket_key,
    store_error,
)
from quetzaldyke.parts.kv import KeyValueStore, KvError, read, swap

MAX_INLINE_BYTES: Final = 16_384
COMMIT_DELAY_S: Final = 0.002
DAY_MS: Final = 86_400_000
# The claim of a key dated further ahead would stay in its bucket for longer
# than the retention period.
MAX_AHEAD_MS: Final = 300_000
DEFAULT_WAIT_S: Final = 2.0
INITIAL_POLL_INTERVAL_S: Final = 0.05
MAX_POLL_INTERVAL_S: Final = 0.4
MS_PER_S: Final = 1000

ClaimReply = Claimed | Recorded | InProgress


def now_ms() -> int:
    """Return the wall-clock time in milliseconds."""
    return int(time.time() * MS_PER_S)


def outcome_key(key_hash: str) -> str:
    """Return the store key of an outcome that has a key of its own."""
    return f'outcomes/{key_hash}'


@dataclass(slots=True)
class ClaimLedger:
    """Makes and resolves the claims of one process.

    Several ledgers, one per process, share the claims in the store.
    """

    store: KeyValueStore
    retention_ms: int = DAY_MS
    now_ms: Callable[[], int] = now_ms
    commit_delay_s: float = COMMIT_DELAY_S
    writer: GroupWriter = field(init=False)

    def __post_init__(self) -> None:
        """Create the group writer."""
        self.writer = GroupWriter(
            self.store,
            self.retention_ms,
            self.now_ms,
            self.commit_delay_s,
        )

    async def claim(
        self,
        key_hash: str,
        created_ms: int,
    ) -> Result[ClaimReply, ClaimError]:
        """Claim a key, or return the state left by another attempt.

        `key_hash` includes the organisation; `created_ms` is the time in
        the caller's key. Fails for a key outside the accepted age, a full
        bucket or a store failure.
        """
        refused = self.check_age(created_ms)
        if refused is not None:
            return refused
        operation = Operation('claim', key_hash, uuid.uuid4().hex, created_ms)
        answer = await self.writer.submit(operation)
        if isinstance(answer, Err):
            return answer
        match answer.ok_value:
            case RecordedInOwnKey(claim_id):
                return await self.read_outcome(key_hash, claim_id)
            case Claimed() | Recorded() | InProgress() as reply:
                return Ok(reply)
        raise TypeError(f'unexpected reply to a claim: {answer.ok_value}')

    async def claim_or_wait(
        self,
        key_hash: str,
        created_ms: int,
        wait_s: float = DEFAULT_WAIT_S,
    ) -> Result[ClaimReply, ClaimError]:
        """Claim a key, waiting up to `wait_s` for another attempt's outcome.

        Returns `InProgress` if none is recorded in that time.
        """
        interval_s = INITIAL_POLL_INTERVAL_S
        deadline_s = anyio.current_time() + wait_s
        while True:
            answer = await self.claim(key_hash, created_ms)
            if isinstance(answer, Err):
                return answer
            if not isinstance(answer.ok_value, InProgress):
                return answer
            remaining_s = deadline_s - anyio.current_time()
            if remaining_s <= 0:
                return answer
            await anyio.sleep(min(interval_s, remaining_s))
            interval_s = min(interval_s * 2, MAX_POLL_INTERVAL_S)

    async def record(
        self,
        key_hash: str,
        claim_id: str,
        outcome: bytes,
    ) -> Result[None, ClaimError]:
        """Record the outcome of the caller's own claim; idempotent.

        Fails if the caller no longer has the claim or the store fails. A
        failed write to the bucket is queued for `retry_failed_writes()`, but
        not a failed write of a large outcome to a key of its own.
        """
        if len(outcome) > MAX_INLINE_BYTES:
            return await self.record_in_own_key(key_hash, claim_id, outcome)
        operation = Operation('record', key_hash, claim_id, outcome=outcome)
        answer = await self.writer.submit(operation)
        if isinstance(answer, Ok) and isinstance(
            answer.ok_value,
            NeedsOwnKey,
        ):
            return await self.record_in_own_key(key_hash, claim_id, outcome)
        return answer.map(lambda _reply: None)

    async def release(
        self,
        key_hash: str,
        claim_id: str,
    ) -> Result[None, ClaimError]:
        """Release a claim whose request certainly did not run; idempotent.

        The next attempt can then claim the key.
        """
        operation = Operation('release', key_hash, claim_id)
        return (await self.writer.submit(operation)).map(lambda _reply: None)

    async def retry_failed_writes(self) -> None:
        """Retry the outcomes and releases whose writes failed.

        The owner of the ledger calls this every few seconds.
        """
        await self.writer.retry_failed_writes()

    async def prune(self) -> Result[int, KvError]:
        """Remove expired claims and outcomes; return the number of claims.

        An outcome is deleted before the claim that refers to it, so that no
        outcome is orphaned if the process dies in between.
        """
        removed = 0
        for number in range(BUCKETS):
            answer = await self.prune_bucket(number)
            if isinstance(answer, Err):
                return answer
            removed += answer.ok_value
        return Ok(removed)

    async def prune_bucket(self, number: int) -> Result[int, KvError]:
        """Remove the expired claims of one bucket; return their number."""
        stored = await read(self.store, bucket_key(number))
        if isinstance(stored, Err):
            return stored
        claims = unpack_claims(stored.ok_value.payload)
        key_hashes = expired_keys(claims, self.now_ms(), self.retention_ms)
        for key_hash in key_hashes:
            if claims[key_hash].in_own_key:
                deleted = await self.delete_outcome(key_hash)
                if isinstance(deleted, Err):
                    return deleted
        if not key_hashes:
            return Ok(0)
        changed: GroupResult = await swap(
            self.store,
            bucket_key(number),
            lambda payload: remove_claims(payload, key_hashes),
        )
        if isinstance(changed, Err) and isinstance(changed.err_value, KvError):
            return Err(changed.err_value)
        return Ok(len(key_hashes))

    async def delete_outcome(self, key_hash: str) -> Result[None, KvError]:
        """Delete an outcome that has a key of its own, if it exists."""
        stored = await self.store.get(outcome_key(key_hash))
        if isinstance(stored, Err):
            return stored
        if stored.ok_value is None:
            return Ok(None)
        return await self.store.delete_if(
            outcome_key(key_hash),
            stored.ok_value.revision,
        )

    def check_age(self, created_ms: int) -> Err[ClaimError] | None:
        """Refuse a key whose claim may be gone, or is dated too far ahead."""
        age_ms = self.now_ms() - created_ms
        if age_ms > self.retention_ms:
            return Err(ClaimError('unknown', 'expired_key', f'{age_ms} ms old'))
        if age_ms < -MAX_AHEAD_MS:
            return Err(
                ClaimError('unknown', 'future_key', f'{-age_ms} ms ahead')
            )
        return None

    async def record_in_own_key(
        self,
        key_hash: str,
        claim_id: str,
        outcome: bytes,
    ) -> Result[None, ClaimError]:
        """Write the outcome to its own key, then record the claim as done."""
        packed = bytes(msgpack.packb([claim_id, outcome]))
        written: GroupResult = await swap(
            self.store,
            outcome_key(key_hash),
            lambda _payload: packed,
        )
        if isinstance(written, Err):
            return Err(store_error(written.err_value, uncertain=False))
        operation = Operation('record', key_hash, claim_id, in_own_key=True)
        return (await self.writer.submit(operation)).map(lambda _reply: None)

    async def read_outcome(
        self,
        key_hash: str,
        claim_id: str,
    ) -> Result[ClaimReply, ClaimError]:
        """Read an outcome that has a key of its own.

        Fails if the key holds no outcome of this claim.
        """
        stored = await read(self.store, outcome_key(key_hash))
        if isinstance(stored, Err):
            return Err(
                ClaimError(
                    'unknown', 'store_failed', 'outcome could not be read'
                )
            )
        if stored.ok_value.payload:
            owner, outcome = msgpack.unpackb(stored.ok_value.payload)
            if owner == claim_id:
                return Ok(Recorded(outcome))
        return Err(ClaimError('unknown', 'claim_lost', 'outcome is missing'))


def remove_claims(payload: bytes, key_hashes: Sequence[str]) -> bytes:
    """Return the encoded bucket without the claims of the given keys."""
    claims = unpack_claims(payload)
    for key_hash in key_hashes:
        claims.pop(key_hash, None)
    return pack_claims(claims)
