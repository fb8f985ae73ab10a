"""Claim ledger: a non-idempotent request runs at most once.

Whoever wants to run a request first claims its key in the key-value
service; the first claim wins, and its outcome is recorded for later
attempts. Claims share 64 values, and concurrent operations share writes
(`parts/claim_groups.py`).

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
    RecordedElsewhere,
    expired,
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
GATHER_S: Final = 0.002
DAY_MS: Final = 86_400_000
# A key from further ahead would outlive the retention in its bucket.
MAX_AHEAD_MS: Final = 300_000
WAIT_S: Final = 2.0
FIRST_POLL_S: Final = 0.05
MAX_POLL_S: Final = 0.4
MS_PER_S: Final = 1000

ClaimReply = Claimed | Recorded | InProgress


def now_ms() -> int:
    """Return the wall-clock time in milliseconds."""
    return int(time.time() * MS_PER_S)


def outcome_key(key_hash: str) -> str:
    """Return the store's key of an outcome that is kept by itself."""
    return f'outcomes/{key_hash}'


@dataclass(slots=True)
class ClaimLedger:
    """Claims of one entry, kept in the key-value service."""

    store: KeyValueStore
    retention_ms: int = DAY_MS
    now_ms: Callable[[], int] = now_ms
    gather_s: float = GATHER_S
    writer: GroupWriter = field(init=False)

    def __post_init__(self) -> None:
        """Make the writer of the groups."""
        self.writer = GroupWriter(
            self.store,
            self.retention_ms,
            self.now_ms,
            self.gather_s,
        )

    async def claim(
        self,
        key_hash: str,
        created_ms: int,
    ) -> Result[ClaimReply, ClaimError]:
        """Claim a key, or return what another attempt left there.

        `key_hash` includes the organisation; `created_ms` is the time in
        the caller's key.
        """
        refused = self.check_age(created_ms)
        if refused is not None:
            return refused
        operation = Operation('claim', key_hash, uuid.uuid4().hex, created_ms)
        answer = await self.writer.submit(operation)
        if isinstance(answer, Err):
            return answer
        match answer.ok_value:
            case RecordedElsewhere(claim_id):
                return await self.read_outcome(key_hash, claim_id)
            case Claimed() | Recorded() | InProgress() as reply:
                return Ok(reply)
        raise TypeError(f'a claim came to {answer.ok_value}')

    async def claim_or_wait(
        self,
        key_hash: str,
        created_ms: int,
        wait_s: float = WAIT_S,
    ) -> Result[ClaimReply, ClaimError]:
        """Claim a key; waits a while for the outcome of another attempt."""
        pause_s = FIRST_POLL_S
        deadline_s = anyio.current_time() + wait_s
        while True:
            answer = await self.claim(key_hash, created_ms)
            if isinstance(answer, Err):
                return answer
            if not isinstance(answer.ok_value, InProgress):
                return answer
            left_s = deadline_s - anyio.current_time()
            if left_s <= 0:
                return answer
            await anyio.sleep(min(pause_s, left_s))
            pause_s = min(pause_s * 2, MAX_POLL_S)

    async def record(
        self,
        key_hash: str,
        claim_id: str,
        outcome: bytes,
    ) -> Result[None, ClaimError]:
        """Record the outcome of the caller's own claim; safe to repeat.

        After a failure the ledger goes on trying by `retry_failed_writes`.
        """
        if len(outcome) > MAX_INLINE_BYTES:
            return await self.record_elsewhere(key_hash, claim_id, outcome)
        operation = Operation('record', key_hash, claim_id, outcome=outcome)
        answer = await self.writer.submit(operation)
        if isinstance(answer, Ok) and isinstance(
            answer.ok_value,
            NeedsOwnKey,
        ):
            return await self.record_elsewhere(key_hash, claim_id, outcome)
        return answer.map(lambda _reply: None)

    async def release(
        self,
        key_hash: str,
        claim_id: str,
    ) -> Result[None, ClaimError]:
        """Give up a claim after a certain `not_run`; safe to repeat.

        The next attempt can claim the key anew.
        """
        operation = Operation('release', key_hash, claim_id)
        return (await self.writer.submit(operation)).map(lambda _reply: None)

    async def retry_failed_writes(self) -> None:
        """Try again to write outcomes and releases that failed before.

        To be called every few seconds.
        """
        await self.writer.retry_failed_writes()

    async def prune(self) -> Result[int, KvError]:
        """Remove claims and outcomes past the retention; returns how many.

        An outcome goes before the claim that names it, so that none is
        left behind when the process dies in between.
        """
        removed = 0
        for number in range(BUCKETS):
            answer = await self.prune_bucket(number)
            if isinstance(answer, Err):
                return answer
            removed += answer.ok_value
        return Ok(removed)

    async def prune_bucket(self, number: int) -> Result[int, KvError]:
        """Remove the expired claims of one bucket."""
        stored = await read(self.store, bucket_key(number))
        if isinstance(stored, Err):
            return stored
        claims = unpack_claims(stored.ok_value.payload)
        names = expired(claims, self.now_ms(), self.retention_ms)
        for name in names:
            if claims[name].elsewhere:
                deleted = await self.delete_outcome(name)
                if isinstance(deleted, Err):
                    return deleted
        if not names:
            return Ok(0)
        changed: GroupResult = await swap(
            self.store,
            bucket_key(number),
            lambda payload: without(payload, names),
        )
        if isinstance(changed, Err) and isinstance(changed.err_value, KvError):
            return Err(changed.err_value)
        return Ok(len(names))

    async def delete_outcome(self, key_hash: str) -> Result[None, KvError]:
        """Delete an outcome that is kept by itself."""
        found = await self.store.get(outcome_key(key_hash))
        if isinstance(found, Err):
            return found
        if found.ok_value is None:
            return Ok(None)
        return await self.store.delete_if(
            outcome_key(key_hash),
            found.ok_value.revision,
        )

    def check_age(self, created_ms: int) -> Err[ClaimError] | None:
        """Refuse keys whose claim may have been removed, or never would."""
        age_ms = self.now_ms() - created_ms
        if age_ms > self.retention_ms:
            return Err(ClaimError('unknown', 'expired_key', f'{age_ms} ms old'))
        if age_ms < -MAX_AHEAD_MS:
            return Err(ClaimError('unknown', 'future_key', f'{-age_ms} ms'))
        return None

    async def record_elsewhere(
        self,
        key_hash: str,
        claim_id: str,
        outcome: bytes,
    ) -> Result[None, ClaimError]:
        """Write the outcome to its own key, then refer to it."""
        packed = bytes(msgpack.packb([claim_id, outcome]))
        written: GroupResult = await swap(
            self.store,
            outcome_key(key_hash),
            lambda _payload: packed,
        )
        if isinstance(written, Err):
            return Err(store_error(written.err_value, doubtful=False))
        operation = Operation('record', key_hash, claim_id, elsewhere=True)
        return (await self.writer.submit(operation)).map(lambda _reply: None)

    async def read_outcome(
        self,
        key_hash: str,
        claim_id: str,
    ) -> Result[ClaimReply, ClaimError]:
        """Read an outcome that is kept by itself."""
        stored = await read(self.store, outcome_key(key_hash))
        if isinstance(stored, Err):
            return Err(ClaimError('unknown', 'store_failed', 'outcome unread'))
        if stored.ok_value.payload:
            owner, outcome = msgpack.unpackb(stored.ok_value.payload)
            if owner == claim_id:
                return Ok(Recorded(outcome))
        return Err(ClaimError('unknown', 'claim_lost', 'outcome is missing'))


def without(payload: bytes, names: Sequence[str]) -> bytes:
    """Return a bucket without some of its claims."""
    claims = unpack_claims(payload)
    for name in names:
        claims.pop(name, None)
    return pack_claims(claims)
