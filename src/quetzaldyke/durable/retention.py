"""Deletes jobs, results and files after their retention time.

A job is first marked as `expired`, so that readers get a clear error, and
its records are deleted afterwards. Every step is idempotent: a later sweep
repeats it after a failure.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

from result import Err, Ok, Result

from quetzaldyke.durable import files, jobs, keys
from quetzaldyke.durable.records import (
    FileRecord,
    JobRecord,
    unpack,
)
from quetzaldyke.parts.kv import (
    Envelope,
    KeyValueStore,
    KvError,
    Record,
    Refused,
)

# Time after a job finished, or a file was last used, for which its record
# stays as a tombstone. Until then requests get `expired` instead of
# `not_found` and no other job gets the same id; sidecars remember the ids of
# cancelled jobs for days.
TOMBSTONE_RETENTION_MS: Final = 2_592_000_000  # 30 days
MS_IN_S: Final = 1000
NOT_DUE: Final = Refused('not due')
SweepResult = Result[int, KvError]


@dataclass(frozen=True, slots=True)
class Retention:
    """The store, the retention time and the time of one sweep."""

    store: KeyValueStore
    retention_ms: int
    now_ms: int

    def has_elapsed(self, since_ms: int) -> bool:
        """Tell whether the retention time has passed since an instant."""
        return since_ms + self.retention_ms <= self.now_ms


async def sweep(retention: Retention) -> SweepResult:
    """Expire all jobs and files that are due; return how many."""
    listed = await retention.store.list_prefix(keys.JOBS_PREFIX)
    if isinstance(listed, Err):
        return listed
    expired = 0
    for record in listed.ok_value:
        job = unpack(JobRecord, Envelope.unpack(record.value).payload)
        swept = await sweep_job(retention, job, record)
        if isinstance(swept, Err):
            return swept
        expired += swept.ok_value
    swept_files = await sweep_files(retention)
    return swept_files.map(lambda count: count + expired)


async def sweep_job(
    retention: Retention,
    job: JobRecord,
    record: Record,
) -> SweepResult:
    """Expire, purge or delete one job if it is due; return 1 if it expired.

    Jobs that still run or are being cancelled are skipped.
    """
    if job.state in {'in_progress', 'cancelling'}:
        return Ok(0)
    if job.purged:
        if job.finished_ms + TOMBSTONE_RETENTION_MS > retention.now_ms:
            return Ok(0)
        deleted = await retention.store.delete_if(record.key, record.revision)
        return deleted.map(lambda _: 0)
    if not retention.has_elapsed(job.finished_ms):
        return Ok(0)
    marked = await jobs.change_job(
        retention.store,
        job.organisation,
        job.job_id,
        lambda current: mark_expired(current, job),
    )
    if isinstance(marked, Err):
        error = marked.err_value
        return Ok(0) if isinstance(error, Refused) else Err(error)
    return await purge_job(retention, job)


def mark_expired(
    current: JobRecord | None,
    job: JobRecord,
) -> JobRecord | Refused[str]:
    """Return the record as expired.

    Refused when it is not the job that the sweep read, or is purged already.
    """
    if (
        current is None
        or current.created_ms != job.created_ms
        or current.purged
    ):
        return NOT_DUE
    return replace(current, state='expired')


async def purge_job(retention: Retention, job: JobRecord) -> SweepResult:
    """Delete the results of an expired job, its contents key and its pin."""
    store = retention.store
    for number, _ in enumerate(job.segments):
        deleted = await delete_segment(store, job.job_id, number)
        if isinstance(deleted, Err):
            return deleted
    released = await delete_contents_key(store, job)
    if isinstance(released, Err):
        return released
    unpinned = await files.change_file(
        store,
        job.organisation,
        job.file_id,
        lambda current: without_job(current, job.job_id),
    )
    if is_store_error(unpinned):
        return Err(
            KvError('unavailable', 'the file record could not be changed')
        )
    purged = await jobs.change_job(
        store,
        job.organisation,
        job.job_id,
        lambda current: mark_purged(current, job),
    )
    if is_store_error(purged):
        return Err(
            KvError('unavailable', 'the job record could not be changed')
        )
    return Ok(1)


async def delete_segment(
    store: KeyValueStore,
    job_id: str,
    number: int,
) -> Result[None, KvError]:
    """Delete the results of one segment.

    The packs of a segment are few enough for a single listing.
    """
    packs = await delete_prefix(store, keys.pack_key(job_id, number, ''))
    if isinstance(packs, Err):
        return packs
    return await delete_key(store, keys.progress_key(job_id, number))


def is_store_error(changed: Result[object, KvError | Refused[str]]) -> bool:
    """Tell whether a change failed with a store error, not a refusal."""
    return isinstance(changed, Err) and isinstance(changed.err_value, KvError)


def mark_purged(
    current: JobRecord | None,
    job: JobRecord,
) -> JobRecord | Refused[str]:
    """Return the tombstone of a job: its record without segments."""
    if current is None or current.created_ms != job.created_ms:
        return NOT_DUE
    return replace(current, segments=[], metadata={}, purged=True)


async def delete_prefix(
    store: KeyValueStore,
    prefix: str,
) -> Result[None, KvError]:
    """Delete all keys with a prefix.

    A key that was changed since it was listed is kept.
    """
    listed = await store.list_prefix(prefix)
    if isinstance(listed, Err):
        return listed
    for record in listed.ok_value:
        deleted = await store.delete_if(record.key, record.revision)
        if isinstance(deleted, Err) and deleted.err_value.kind != 'conflict':
            return deleted
    return Ok(None)


async def delete_key(
    store: KeyValueStore,
    key: str,
) -> Result[None, KvError]:
    """Delete a key at its present revision, if it exists."""
    found = await store.get(key)
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return Ok(None)
    return await store.delete_if(key, found.ok_value.revision)


async def delete_contents_key(
    store: KeyValueStore,
    job: JobRecord,
) -> Result[None, KvError]:
    """Delete the key that maps the contents to this job.

    A later request with the same contents then creates a new job.
    """
    key = keys.contents_key(job.organisation, job.contents)
    found = await store.get(key)
    if isinstance(found, Err):
        return found
    record = found.ok_value
    if record is None:
        return Ok(None)
    if Envelope.unpack(record.value).payload.decode() != job.job_id:
        return Ok(None)
    deleted = await store.delete_if(key, record.revision)
    if isinstance(deleted, Err) and deleted.err_value.kind != 'conflict':
        return deleted
    return Ok(None)


def without_job(
    current: FileRecord | None,
    job_id: str,
) -> FileRecord | Refused[str]:
    """Return a file's record without the pin of a job."""
    if current is None or job_id not in current.jobs:
        return NOT_DUE
    return replace(
        current, jobs=[pinned for pinned in current.jobs if pinned != job_id]
    )


async def sweep_files(retention: Retention) -> SweepResult:
    """Expire all files that are due and not pinned by a job."""
    listed = await retention.store.list_prefix(keys.FILES_PREFIX)
    if isinstance(listed, Err):
        return listed
    expired = 0
    for record in listed.ok_value:
        file = unpack(FileRecord, Envelope.unpack(record.value).payload)
        swept = await sweep_file(retention, file, record)
        if isinstance(swept, Err):
            return swept
        expired += swept.ok_value
    return Ok(expired)


async def sweep_file(
    retention: Retention,
    file: FileRecord,
    record: Record,
) -> SweepResult:
    """Expire one file if it is due, and delete its input segments.

    The record itself is deleted TOMBSTONE_RETENTION_MS after its last use.
    """
    if file.jobs or not retention.has_elapsed(file.last_used_ms):
        return Ok(0)
    store = retention.store
    marked = await files.change_file(
        store,
        file.organisation,
        file.file_id,
        lambda current: mark_file_expired(retention, current),
    )
    if isinstance(marked, Err):
        error = marked.err_value
        return Ok(0) if isinstance(error, Refused) else Err(error)
    deleted = await delete_inputs(store, file.upload_id)
    if isinstance(deleted, Err):
        return deleted
    if file.last_used_ms + TOMBSTONE_RETENTION_MS > retention.now_ms:
        return Ok(int(file.state != 'expired'))
    removed = await store.delete_if(record.key, record.revision)
    return removed.map(lambda _: 0) if isinstance(removed, Ok) else Ok(0)


async def delete_inputs(
    store: KeyValueStore,
    upload_id: str,
) -> Result[None, KvError]:
    """Delete the input segments of an upload, also of an incomplete one.

    Segments are written in order, so the first missing number is the end.
    """
    number = 0
    while True:
        prefix = keys.input_key(f'{upload_id}.{number}.')
        listed = await store.list_prefix(prefix)
        if isinstance(listed, Err):
            return listed
        if not listed.ok_value:
            return Ok(None)
        deleted = await delete_prefix(store, prefix)
        if isinstance(deleted, Err):
            return deleted
        number += 1


def mark_file_expired(
    retention: Retention,
    current: FileRecord | None,
) -> FileRecord | Refused[str]:
    """Return the record as expired.

    Refused when a job has pinned the file or it was used since.
    """
    if (
        current is None
        or current.jobs
        or not retention.has_elapsed(current.last_used_ms)
    ):
        return NOT_DUE
    return replace(current, state='expired')
