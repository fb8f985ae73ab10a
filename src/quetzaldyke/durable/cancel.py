"""Cancellation of a job, in steps that any entry can repeat.

The job becomes `cancelled` only after its progress records are closed and
every live process that could start or run an item has said that it stopped.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Final

import anyio
from result import Err, Ok, Result

from quetzaldyke.durable import progress
from quetzaldyke.durable.active import remove_active
from quetzaldyke.durable.jobs import finish_job
from quetzaldyke.durable.records import JobRecord, Progress
from quetzaldyke.parts.kv import KeyValueStore, KvError, Refused

# Progress records closed at once; more would take a noticeable part of the
# service's several hundred writes a second.
CLOSED_AT_ONCE: Final = 8

# Tells whether every live process has stopped the job.
StopEverywhere = Callable[[JobRecord], Awaitable[bool]]


async def advance_cancel(
    store: KeyValueStore,
    job: JobRecord,
    stop_everywhere: StopEverywhere,
    now_ms: Callable[[], int],
) -> Result[JobRecord, KvError]:
    """Take a `cancelling` job as far as it goes now."""
    closed = await close_segments(store, job)
    if isinstance(closed, Err):
        return closed
    if not await stop_everywhere(job):
        return Ok(job)
    finished_items = sum(one.finished_count for one in closed.ok_value)
    failed_items = sum(one.failed for one in closed.ok_value)
    final = with_counts(job, finished_items, failed_items)
    final = replace(final, state='cancelled', finished_ms=now_ms())
    finished = await finish_job(store, job, final)
    if isinstance(finished, Err):
        error = finished.err_value
        return Ok(job) if isinstance(error, Refused) else Err(error)
    # When this write fails, the coordinator of the list removes the job.
    await remove_active(store, job.job_id)
    return Ok(finished.ok_value)


def with_counts(job: JobRecord, finished: int, failed: int) -> JobRecord:
    """Return a job with its final counts."""
    return replace(job, completed=finished - failed, failed=failed)


async def close_segments(
    store: KeyValueStore,
    job: JobRecord,
) -> Result[list[Progress], KvError]:
    """Close every unfinished segment; return all progress records."""
    limiter = anyio.CapacityLimiter(CLOSED_AT_ONCE)
    outcomes: list[Result[Progress, KvError]] = []

    async def close(segment: int, total: int) -> None:
        async with limiter:
            outcomes.append(await close_segment(store, job, segment, total))

    async with anyio.create_task_group() as group:
        for number, segment in enumerate(job.segments):
            group.start_soon(close, number, segment.items)
    failures = [one for one in outcomes if isinstance(one, Err)]
    if failures:
        return failures[0]
    return Ok([one.ok_value for one in outcomes if isinstance(one, Ok)])


async def close_segment(
    store: KeyValueStore,
    job: JobRecord,
    segment: int,
    total: int,
) -> Result[Progress, KvError]:
    """Close one segment; a segment that is not open stays as it is."""
    closed = await progress.close_cancelled(store, job.job_id, segment, total)
    if isinstance(closed, Ok):
        return closed
    if not isinstance(closed.err_value, Refused):
        return Err(closed.err_value)
    found = await progress.read_progress(store, job.job_id, segment)
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return Err(KvError('conflict', 'the progress record is gone'))
    return Ok(found.ok_value)


async def complete_job(
    store: KeyValueStore,
    job: JobRecord,
    finished: int,
    failed: int,
    now_ms: int,
) -> Result[JobRecord, KvError | Refused[str]]:
    """Set a job to `completed` after all its segments are done."""
    final = replace(
        with_counts(job, finished, failed),
        state='completed',
        finished_ms=now_ms,
    )
    written = await finish_job(store, job, final)
    if isinstance(written, Ok):
        await remove_active(store, job.job_id)
    return written
