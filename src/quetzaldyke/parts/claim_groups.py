"""Group commit of claim operations: many share one write to a bucket.

While a write is in progress, further operations queue up. A caller that finds
no write in progress writes all queued operations itself, so no background
task is needed.
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
MAX_GROUP_SIZE: Final = 500
# Limits the wait for a service that hangs; with the retries of `swap` alone
# a caller would wait for half a minute.
COMMIT_TIMEOUT_S: Final = 5.0
# Memory for outcomes and releases that could not be written. Beyond it they
# are dropped: their claims stay claimed, and later attempts get `unknown`.
MAX_RETRY_QUEUE_BYTES: Final = 16_777_216
RETRY_OVERHEAD_BYTES: Final = 512

GroupResult = Result[Stored, KvError | Refused[str]]


def bucket_key(number: int) -> str:
    """Return the store key of a bucket."""
    return f'claims/{number}'


def bucket_of(key_hash: str) -> int:
    """Return the number of the bucket that holds the claim of a key.

    >>> bucket_of('ab12') == bucket_of('ab12')
    True
    """
    digest = hashlib.sha256(key_hash.encode()).digest()
    return digest[0] % BUCKETS


@dataclass(slots=True)
class Bucket:
    """Queue of the operations on one bucket."""

    number: int
    pending: list[Operation] = field(default_factory=list)
    writing: bool = False
    # Set when the current write ends, then discarded; None without waiters.
    write_ended: anyio.Event | None = None

    def write_ended_event(self) -> anyio.Event:
        """Return the event that is set when the current write ends."""
        if self.write_ended is None:
            self.write_ended = anyio.Event()
        return self.write_ended

    def end_write(self) -> None:
        """Wake the callers that wait for the end of the write."""
        self.writing = False
        if self.write_ended is not None:
            self.write_ended.set()
            self.write_ended = None


def make_buckets() -> list[Bucket]:
    """Return all buckets with empty queues."""
    return [Bucket(number) for number in range(BUCKETS)]


@dataclass(slots=True)
class GroupWriter:
    """Writes the operations of one process in groups."""

    store: KeyValueStore
    retention_ms: int
    now_ms: Callable[[], int]
    # Delay before each write, in which further operations can join it.
    commit_delay_s: float
    buckets: list[Bucket] = field(default_factory=make_buckets)
    # Number of group writes attempted, for metrics.
    group_writes: int = 0

    async def retry_failed_writes(self) -> None:
        """Retry the outcomes and releases whose writes failed.

        Stops at the first bucket whose write fails again.
        """
        for bucket in self.buckets:
            if not bucket.pending or bucket.writing:
                continue
            await self.write_group(bucket)
            if any(
                operation.retry_until_written for operation in bucket.pending
            ):
                return

    def retry_queue_bytes(self) -> int:
        """Return the memory used by operations that await a retry."""
        return sum(
            len(operation.outcome) + RETRY_OVERHEAD_BYTES
            for bucket in self.buckets
            for operation in bucket.pending
            if operation.retry_until_written
        )

    async def submit(self, operation: Operation) -> Answer:
        """Write an operation with the next group of its bucket.

        Returns its final result. The first caller that finds no write in
        progress writes the whole queue.
        """
        bucket = self.buckets[bucket_of(operation.key_hash)]
        bucket.pending.append(operation)
        try:
            while operation.answer is None:
                if bucket.writing:
                    await bucket.write_ended_event().wait()
                else:
                    await self.write_group(bucket)
        except BaseException:
            withdraw(bucket, operation)
            raise
        if may_be_stored(operation):
            bucket.pending.append(make_release(operation))
        return operation.answer

    async def write_group(self, bucket: Bucket) -> None:
        """Write up to `MAX_GROUP_SIZE` queued operations by one swap."""
        bucket.writing = True
        group: list[Operation] = []
        try:
            await anyio.sleep(self.commit_delay_s)
            group = bucket.pending[:MAX_GROUP_SIZE]
            bucket.pending = bucket.pending[MAX_GROUP_SIZE:]
            if group:
                self.group_writes += 1
                outcome = await self.swap_group(bucket.number, group)
                answer_group(group, outcome)
                self.requeue_failed(bucket, group)
        finally:
            requeue_unanswered(bucket, group)
            bucket.end_write()

    def requeue_failed(
        self, bucket: Bucket, group: Sequence[Operation]
    ) -> None:
        """Queue outcomes and releases again if the store failed.

        Those beyond `MAX_RETRY_QUEUE_BYTES` are dropped.
        """
        free_bytes = MAX_RETRY_QUEUE_BYTES - self.retry_queue_bytes()
        for operation in group:
            free_bytes -= len(operation.outcome) + RETRY_OVERHEAD_BYTES
            if (
                operation.kind != 'claim'
                and store_failed(operation)
                and free_bytes > 0
            ):
                bucket.pending.append(operation.copy_for_retry())

    async def swap_group(
        self,
        number: int,
        group: Sequence[Operation],
    ) -> GroupResult:
        """Apply a group to the stored bucket and set provisional results.

        Conflicts are retried. Refuses if no operation needs a write. After
        `COMMIT_TIMEOUT_S` it fails with `unknown` if a write may have been
        sent, else with `unavailable`.
        """

        def change(payload: bytes) -> bytes | Refused[str]:
            return apply_group(
                group,
                payload,
                self.now_ms(),
                self.retention_ms,
            )

        with anyio.move_on_after(COMMIT_TIMEOUT_S):
            return await swap(self.store, bucket_key(number), change)
        # No write was sent before `change` was called.
        if any(operation.provisional is not None for operation in group):
            return Err(KvError('unknown', 'no answer before the timeout'))
        return Err(KvError('unavailable', 'no answer before the timeout'))


def answer_group(
    group: Sequence[Operation],
    outcome: GroupResult,
) -> None:
    """Set the final result of each operation of a group."""
    failed = isinstance(outcome, Err) and isinstance(
        outcome.err_value,
        KvError,
    )
    for operation in group:
        if operation.provisional is None or (failed and operation.needs_write):
            error = outcome.err_value if isinstance(outcome, Err) else None
            # If the bucket could not be read, it may hold the claim of an
            # earlier attempt that ran the request.
            uncertain = operation.maybe_written or operation.provisional is None
            operation.answer = Err(store_error(error, uncertain))
        else:
            operation.answer = operation.provisional


def store_error(error: object, uncertain: bool) -> ClaimError:
    """Return the error for a failed write.

    It is `not_run` if the claim was certainly not written, else `unknown`.
    """
    not_applied = isinstance(error, KvError) and error.kind != 'unknown'
    if not_applied and not uncertain:
        return ClaimError('not_run', 'store_failed', str(error))
    return ClaimError('unknown', 'store_failed', str(error))


def requeue_unanswered(bucket: Bucket, group: Sequence[Operation]) -> None:
    """Queue the unanswered operations first, marked as maybe written.

    An operation has no answer if the task that wrote it was cancelled.
    """
    unanswered = [one for one in group if one.answer is None]
    for operation in unanswered:
        operation.maybe_written = True
    bucket.pending[:0] = unanswered


def store_failed(operation: Operation) -> bool:
    """Tell whether an operation failed because of the store."""
    answer = operation.answer
    return isinstance(answer, Err) and answer.err_value.code == 'store_failed'


def make_release(operation: Operation) -> Operation:
    """Return an operation that releases an abandoned claim."""
    return Operation(
        'release',
        operation.key_hash,
        operation.claim_id,
        retry_until_written=True,
    )


def withdraw(bucket: Bucket, operation: Operation) -> None:
    """Withdraw a claim whose caller was cancelled.

    A claim that may have been written is released with the next group of the
    bucket, because its attempt certainly does not run the request. Outcomes
    and releases stay queued.
    """
    if operation.kind != 'claim':
        return
    queued = operation in bucket.pending
    if queued:
        bucket.pending.remove(operation)
    if operation.maybe_written or not queued:
        bucket.pending.append(make_release(operation))


def may_be_stored(operation: Operation) -> bool:
    """Tell whether a failed claim may have been stored nevertheless."""
    answer = operation.answer
    if operation.kind != 'claim' or not isinstance(answer, Err):
        return False
    return answer.err_value.kind == 'unknown'
