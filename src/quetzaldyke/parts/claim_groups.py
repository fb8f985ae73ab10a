"""Group commit of claim operations: many share one write to a bucket.

While one write is under way the next operations gather. Whoever finds no
write under way writes for all that wait, so there is no task to run.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

import anyio
from result import Err, Result

from quetzaldyke.parts.claim_bucket import (
    Answer,
    ClaimError,
    Operation,
    apply_group,
)
from quetzaldyke.parts.kv import (
    KeyValueStore,
    KvError,
    Refused,
    Stored,
    swap,
)

BUCKETS: Final = 64
MAX_GROUP: Final = 500
# A service that hangs is given up after this; the retries of `swap` alone
# would keep a caller waiting for half a minute.
COMMIT_LIMIT_S: Final = 5.0
# Memory for outcomes and releases that could not be written; beyond it they
# are dropped, their claims stay claimed, and later attempts get `unknown`.
MAX_KEPT_BYTES: Final = 16_777_216
KEPT_OVERHEAD_BYTES: Final = 512

GroupResult = Result[Stored, KvError | Refused[str]]


def bucket_key(number: int) -> str:
    """Return the store's key of a bucket."""
    return f'claims/{number}'


def bucket_of(key_hash: str) -> int:
    """Return the bucket of a key.

    >>> bucket_of('ab12') == bucket_of('ab12')
    True
    """
    digest = hashlib.sha256(key_hash.encode()).digest()
    return digest[0] % BUCKETS


@dataclass(slots=True)
class Bucket:
    """Operations of one bucket that wait to be written."""

    number: int
    pending: list[Operation] = field(default_factory=list)
    writing: bool = False
    # Set and replaced whenever a write ends.
    written: anyio.Event | None = None

    def wait_event(self) -> anyio.Event:
        """Return the event that the end of the write sets."""
        if self.written is None:
            self.written = anyio.Event()
        return self.written

    def end_write(self) -> None:
        """Let the next writer go."""
        self.writing = False
        if self.written is not None:
            self.written.set()
            self.written = None


def make_buckets() -> list[Bucket]:
    """Return all buckets, with nothing pending."""
    return [Bucket(number) for number in range(BUCKETS)]


@dataclass(slots=True)
class GroupWriter:
    """Writes the operations of one process in groups."""

    store: KeyValueStore
    retention_ms: int
    now_ms: Callable[[], int]
    # Operations that arrive within this time share the first write too.
    gather_s: float
    buckets: list[Bucket] = field(default_factory=make_buckets)
    # Group writes that were tried, for metrics.
    groups: int = 0

    async def retry_failed_writes(self) -> None:
        """Write outcomes and releases that could not be written before.

        Stops at the first bucket whose write fails again.
        """
        for bucket in self.buckets:
            if not bucket.pending or bucket.writing:
                continue
            await self.write_group(bucket)
            if any(operation.kept for operation in bucket.pending):
                return

    def kept_bytes(self) -> int:
        """Return the size of the operations kept to be retried."""
        return sum(
            len(operation.outcome) + KEPT_OVERHEAD_BYTES
            for bucket in self.buckets
            for operation in bucket.pending
            if operation.kept
        )

    async def submit(self, operation: Operation) -> Answer:
        """Have an operation written with the next group of its bucket.

        Whoever finds no write under way writes for all that wait.
        """
        bucket = self.buckets[bucket_of(operation.key_hash)]
        bucket.pending.append(operation)
        try:
            while operation.answer is None:
                if bucket.writing:
                    await bucket.wait_event().wait()
                else:
                    await self.write_group(bucket)
        except BaseException:
            give_up(bucket, operation)
            raise
        if may_hold(operation):
            bucket.pending.append(release_of(operation))
        return operation.answer

    async def write_group(self, bucket: Bucket) -> None:
        """Write what is pending in a bucket by one compare-and-swap."""
        bucket.writing = True
        group: list[Operation] = []
        try:
            await anyio.sleep(self.gather_s)
            group = bucket.pending[:MAX_GROUP]
            bucket.pending = bucket.pending[MAX_GROUP:]
            if group:
                self.groups += 1
                outcome = await self.swap_group(bucket.number, group)
                answer_group(group, outcome)
                self.keep_failed(bucket, group)
        finally:
            put_back(bucket, group)
            bucket.end_write()

    def keep_failed(self, bucket: Bucket, group: Sequence[Operation]) -> None:
        """Queue outcomes and releases again whose write failed."""
        room = MAX_KEPT_BYTES - self.kept_bytes()
        for operation in group:
            room -= len(operation.outcome) + KEPT_OVERHEAD_BYTES
            if (
                operation.kind != 'claim'
                and store_failed(operation)
                and room > 0
            ):
                bucket.pending.append(operation.copy_to_keep())

    async def swap_group(
        self,
        number: int,
        group: Sequence[Operation],
    ) -> GroupResult:
        """Apply a group to the stored bucket."""

        def change(payload: bytes) -> bytes | Refused[str]:
            return apply_group(
                group,
                payload,
                self.now_ms(),
                self.retention_ms,
            )

        with anyio.move_on_after(COMMIT_LIMIT_S):
            return await swap(self.store, bucket_key(number), change)
        # Nothing was sent to be written before `change` was called.
        if any(operation.seen is not None for operation in group):
            return Err(KvError('unknown', 'no answer within the limit'))
        return Err(KvError('unavailable', 'no answer within the limit'))


def answer_group(
    group: Sequence[Operation],
    outcome: GroupResult,
) -> None:
    """Set the answers of a group after its write."""
    failed = isinstance(outcome, Err) and isinstance(
        outcome.err_value,
        KvError,
    )
    for operation in group:
        if operation.seen is None or (failed and operation.needs_write):
            error = outcome.err_value if isinstance(outcome, Err) else None
            # An unread bucket may hold the claim of an earlier attempt,
            # which may have run the request.
            doubtful = operation.maybe_written or operation.seen is None
            operation.answer = Err(store_error(error, doubtful))
        else:
            operation.answer = operation.seen


def store_error(error: object, doubtful: bool) -> ClaimError:
    """Return what a failed write means for the request."""
    certain = isinstance(error, KvError) and error.kind != 'unknown'
    if certain and not doubtful:
        return ClaimError('not_run', 'store_failed', str(error))
    return ClaimError('unknown', 'store_failed', str(error))


def put_back(bucket: Bucket, group: Sequence[Operation]) -> None:
    """Queue operations again whose writer was cancelled."""
    unanswered = [one for one in group if one.answer is None]
    for operation in unanswered:
        operation.maybe_written = True
    bucket.pending[:0] = unanswered


def store_failed(operation: Operation) -> bool:
    """Tell whether an operation failed because of the store."""
    answer = operation.answer
    return isinstance(answer, Err) and answer.err_value.code == 'store_failed'


def release_of(operation: Operation) -> Operation:
    """Return the release of a claim that nobody will use."""
    return Operation(
        'release',
        operation.key_hash,
        operation.claim_id,
        kept=True,
    )


def give_up(bucket: Bucket, operation: Operation) -> None:
    """Withdraw a claim whose caller has gone.

    One that may be written is released with the next group of the bucket,
    because its attempt certainly does not run the request. Outcomes and
    releases stay queued.
    """
    if operation.kind != 'claim':
        return
    queued = operation in bucket.pending
    if queued:
        bucket.pending.remove(operation)
    if operation.maybe_written or not queued:
        bucket.pending.append(release_of(operation))


def may_hold(operation: Operation) -> bool:
    """Tell whether a claim that failed may be in the store all the same."""
    answer = operation.answer
    if operation.kind != 'claim' or not isinstance(answer, Err):
        return False
    return answer.err_value.kind == 'unknown'
