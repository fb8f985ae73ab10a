"""Moves jobs to their final states, by idempotent steps.

A job becomes `cancelled` only after its progress records are closed and
every live process that could start or run an item has confirmed that it
stopped. Any entry can continue a cancel.
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

# More concurrent closes would take a noticeable part of the several hundred
# writes per second that the key-value service sustains.
MAX_CONCURRENT_CLOSES: Final = 8

# Asks every live process to stop a job; True when all have confirmed.
StopEverywhere = Callable[[JobRecord], Awaitable[bool]]


async def advance_cancel(
    store: KeyValueStore,
    job: JobRecord,
    stop_everywhere: StopEverywhere,
    now_ms: Callable[[], int],
) -> Result[JobRecord, KvError]:
    """Continue the cancel of a `cancelling` job.

    Returns the job unchanged while a process has not confirmed yet, or when
    another entry has changed its state. Can be called again at any time.
    """
    closed = await close_segments(store, job)
    if isinstance(closed, Err):
        return closed
    if not await stop_everywhere(job):
        return Ok(job)
    finished_items = sum(segment.finished_count for segment in closed.ok_value)
    failed_items = sum(segment.failed for segment in closed.ok_value)
    final = with_counts(job, finished_items, failed_items)
    final = replace(final, state='cancelled', finished_ms=now_ms())
    finished = await finish_job(store, job, final)
    if isinstance(finished, Err):
        error = finished.err_value
        return Ok(job) if isinstance(error, Refused) else Err(error)
    # If this fails, the coordinator of the list removes the job later.
    await remove_active(store, job.job_id)
    return Ok(finished.ok_value)


def with_counts(job: JobRecord, finished: int, failed: int) -> JobRecord:
    """Return a job with the final counts of completed and failed items."""
    return replace(job, completed=finished - failed, failed=failed)


async def close_segments(
    store: KeyValueStore,
    job: JobRecord,
) -> Result[list[Progress], KvError]:
    """Close all open segments; return the progress of every segment."""
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CLOSES)
    outcomes: list[Result[Progress, KvError]] = []

    async def close(segment: int, total: int) -> None:
        async with limiter:
            outcomes.append(await close_segment(store, job, segment, total))

    async with anyio.create_task_group() as group:
        for number, segment in enumerate(job.segments):
            group.start_soon(close, number, segment.items)
    failures = [outcome for outcome in outcomes if isinstance(outcome, Err)]
    if failures:
        return failures[0]
    return Ok(
        [outcome.ok_value for outcome in outcomes if isinstance(outcome, Ok)]
    )


async def close_segment(
    store: KeyValueStore,
    job: JobRecord,
    segment: int,
    total: int,
) -> Result[Progress, KvError]:
    """Close one segment if it is open, and return its progress."""
    closed = await progress.close_cancelled(store, job.job_id, segment, total)
    if isinstance(closed, Ok):
        return closed
    if not isinstance(closed.err_value, Refused):
        return Err(closed.err_value)
    found = await progress.read_progress(store, job.job_id, segment)
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return Err(KvError('conflict', 'the progress record is missing'))
    return Ok(found.ok_value)


async def complete_job(
    store: KeyValueStore,
    job: JobRecord,
    finished: int,
    failed: int,
    now_ms: int,
) -> Result[JobRecord, KvError | Refused[str]]:
    """Set a job to `completed` and remove it from its active list.

    All its segments must be done. Refused when its state has changed.
    """
    final = replace(
        with_counts(job, finished, failed),
        state='completed',
        finished_ms=now_ms,
    )
    written = await finish_job(store, job, final)
    if isinstance(written, Ok):
        await remove_active(store, job.job_id)
    return written
