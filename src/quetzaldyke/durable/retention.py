"""Deletion of jobs, results and files after their retention time.

A job first becomes `expired`, so that readers get a clear answer, and its
records are deleted afterwards. Every step can be repeated by a later sweep.
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

# Expired jobs answer `expired` for this long, then they are unknown. Within
# it no other job gets the same id; sidecars remember cancelled ids for days.
EXPIRED_KEPT_MS: Final = 2_592_000_000  # 30 days
MS_IN_S: Final = 1000
NOT_DUE: Final = Refused('not due')
Swept = Result[int, KvError]


@dataclass(frozen=True, slots=True)
class Retention:
    """What one sweep needs to know."""

    store: KeyValueStore
    retention_ms: int
    now_ms: int

    def past(self, since_ms: int) -> bool:
        """Tell whether the retention time has passed since an instant."""
        return since_ms + self.retention_ms <= self.now_ms


async def sweep(retention: Retention) -> Swept:
    """Expire what is due; return the number of jobs and files."""
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
) -> Swept:
    """Take one job as far through its expiry as it is due."""
    if job.state in {'in_progress', 'cancelling'}:
        return Ok(0)
    if job.purged:
        if job.finished_ms + EXPIRED_KEPT_MS > retention.now_ms:
            return Ok(0)
        deleted = await retention.store.delete_if(record.key, record.revision)
        return deleted.map(lambda _: 0)
    if not retention.past(job.finished_ms):
        return Ok(0)
    marked = await jobs.change_job(
        retention.store,
        job.organisation,
        job.job_id,
        lambda known: mark_expired(known, job),
    )
    if isinstance(marked, Err):
        error = marked.err_value
        return Ok(0) if isinstance(error, Refused) else Err(error)
    return await purge_job(retention, job)


def mark_expired(
    known: JobRecord | None,
    job: JobRecord,
) -> JobRecord | Refused[str]:
    """Return the expired form of the job that the sweep has seen."""
    if known is None or known.created_ms != job.created_ms or known.purged:
        return NOT_DUE
    return replace(known, state='expired')


async def purge_job(retention: Retention, job: JobRecord) -> Swept:
    """Delete what an expired job has left behind."""
    store = retention.store
    for number, _ in enumerate(job.segments):
        deleted = await delete_segment(store, job.job_id, number)
        if isinstance(deleted, Err):
            return deleted
    released = await release_contents(store, job)
    if isinstance(released, Err):
        return released
    unpinned = await files.change_file(
        store,
        job.organisation,
        job.file_id,
        lambda known: without_job(known, job.job_id),
    )
    if is_fault(unpinned):
        return Err(KvError('unavailable', 'file'))
    purged = await jobs.change_job(
        store,
        job.organisation,
        job.job_id,
        lambda known: mark_purged(known, job),
    )
    if is_fault(purged):
        return Err(KvError('unavailable', 'job'))
    return Ok(1)


async def delete_segment(
    store: KeyValueStore,
    job_id: str,
    number: int,
) -> Result[None, KvError]:
    """Delete the results of one segment; small enough for one listing."""
    packs = await delete_prefix(store, keys.pack_key(job_id, number, ''))
    if isinstance(packs, Err):
        return packs
    return await delete_key(store, keys.progress_key(job_id, number))


def is_fault(changed: Result[object, KvError | Refused[str]]) -> bool:
    """Tell whether a change failed for another reason than a refusal."""
    return isinstance(changed, Err) and isinstance(changed.err_value, KvError)


def mark_purged(
    known: JobRecord | None,
    job: JobRecord,
) -> JobRecord | Refused[str]:
    """Return the short record that only says that a job has expired."""
    if known is None or known.created_ms != job.created_ms:
        return NOT_DUE
    return replace(known, segments=[], metadata={}, purged=True)


async def delete_prefix(
    store: KeyValueStore,
    prefix: str,
) -> Result[None, KvError]:
    """Delete all keys with a prefix."""
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
    """Delete one key, whatever its revision."""
    found = await store.get(key)
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return Ok(None)
    return await store.delete_if(key, found.ok_value.revision)


async def release_contents(
    store: KeyValueStore,
    job: JobRecord,
) -> Result[None, KvError]:
    """Let the same contents make a new job."""
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
    known: FileRecord | None,
    job_id: str,
) -> FileRecord | Refused[str]:
    """Return a file that a job no longer needs."""
    if known is None or job_id not in known.jobs:
        return NOT_DUE
    return replace(known, jobs=[one for one in known.jobs if one != job_id])


async def sweep_files(retention: Retention) -> Swept:
    """Expire files that no job needs."""
    listed = await retention.store.list_prefix(keys.FILES_PREFIX)
    if isinstance(listed, Err):
        return listed
    expired = 0
    for record in listed.ok_value:
        known = unpack(FileRecord, Envelope.unpack(record.value).payload)
        swept = await sweep_file(retention, known, record)
        if isinstance(swept, Err):
            return swept
        expired += swept.ok_value
    return Ok(expired)


async def sweep_file(
    retention: Retention,
    known: FileRecord,
    record: Record,
) -> Swept:
    """Expire one file; its record goes when its inputs are deleted."""
    if known.jobs or not retention.past(known.touched_ms):
        return Ok(0)
    store = retention.store
    marked = await files.change_file(
        store,
        known.organisation,
        known.file_id,
        lambda latest: expire_file(retention, latest),
    )
    if isinstance(marked, Err):
        error = marked.err_value
        return Ok(0) if isinstance(error, Refused) else Err(error)
    deleted = await delete_inputs(store, known.upload)
    if isinstance(deleted, Err):
        return deleted
    if known.touched_ms + EXPIRED_KEPT_MS > retention.now_ms:
        return Ok(int(known.state != 'expired'))
    gone = await store.delete_if(record.key, record.revision)
    return gone.map(lambda _: 0) if isinstance(gone, Ok) else Ok(0)


async def delete_inputs(
    store: KeyValueStore,
    upload: str,
) -> Result[None, KvError]:
    """Delete the input segments of an upload, also of one that broke off.

    Segments are written in order, so the first missing one is the end.
    """
    number = 0
    while True:
        prefix = keys.input_key(f'{upload}.{number}.')
        listed = await store.list_prefix(prefix)
        if isinstance(listed, Err):
            return listed
        if not listed.ok_value:
            return Ok(None)
        deleted = await delete_prefix(store, prefix)
        if isinstance(deleted, Err):
            return deleted
        number += 1


def expire_file(
    retention: Retention,
    latest: FileRecord | None,
) -> FileRecord | Refused[str]:
    """Return the expired form of a file that is still not needed."""
    if latest is None or latest.jobs or not retention.past(latest.touched_ms):
        return NOT_DUE
    return replace(latest, state='expired')
