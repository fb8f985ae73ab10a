"""Uploaded files: record, input segments and the jobs that need them.

The record is written as `uploading` before the segments and as `ready`
after them, so that an upload that broke off is found and removed, and a
resend of the same contents completes it.
"""

from __future__ import annotations

import uuid
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import BinaryIO

from anyio import to_thread
from result import Err, Ok, Result

from quetzaldyke.durable import errors, inputs, keys
from quetzaldyke.durable.change import Edit, change_record
from quetzaldyke.durable.errors import JobError
from quetzaldyke.durable.inputs import Item, Scan, put_once, read_segment
from quetzaldyke.durable.records import (
    FileRecord,
    SegmentInput,
    unpack,
)
from quetzaldyke.parts.kv import (
    KeyValueStore,
    KvError,
    Refused,
    read,
)


async def read_file(
    store: KeyValueStore,
    organisation: str,
    file_id: str,
) -> Result[FileRecord, JobError]:
    """Return a file that is ready."""
    stored = await read(store, keys.file_key(organisation, file_id))
    if isinstance(stored, Err):
        return Err(errors.store_error(stored.err_value))
    if not stored.ok_value.payload:
        return Err(errors.not_found('file'))
    record = unpack(FileRecord, stored.ok_value.payload)
    if record.state == 'expired':
        return Err(errors.expired('file'))
    if record.state != 'ready':
        return Err(errors.not_found('file'))
    return Ok(record)


async def change_file(
    store: KeyValueStore,
    organisation: str,
    file_id: str,
    edit: Edit[FileRecord],
) -> Result[FileRecord, KvError | Refused[str]]:
    """Replace a file's record."""
    key = keys.file_key(organisation, file_id)
    return await change_record(store, key, FileRecord, edit)


async def scan_file(
    source: BinaryIO,
    max_body_bytes: int,
) -> Result[Scan, JobError]:
    """Check a whole file and compute the digest of its contents."""
    scan = Scan(max_body_bytes)
    source.seek(0)
    lines = inputs.read_lines(source)
    while await to_thread.run_sync(inputs.scan_some, scan, lines):
        continue
    if scan.items == 0 and not scan.errors.found:
        scan.errors.add('file', 'has no items')
    if scan.errors.found:
        message = scan.errors.render()
        return Err(JobError(errors.BAD_REQUEST, 'invalid_file', message))
    return Ok(scan)


def begin_upload(
    organisation: str,
    filename: str,
    size_bytes: int,
    now_ms: int,
    scan: Scan,
) -> FileRecord:
    """Return the record of an upload whose segments are not written yet."""
    digest = scan.digest.hexdigest()
    return FileRecord(
        keys.file_id_of(organisation, digest),
        organisation,
        filename,
        'uploading',
        uuid.uuid4().hex,
        size_bytes,
        now_ms,
        now_ms,
        digest,
        sorted(scan.models),
        sorted(scan.urls),
    )


async def store_upload(
    store: KeyValueStore,
    begun: FileRecord,
    source: BinaryIO,
) -> Result[FileRecord, JobError]:
    """Write a checked file; the same contents again complete the record."""

    def begin(known: FileRecord | None) -> FileRecord | Refused[str]:
        if known is None or known.state == 'expired':
            return begun
        # A later upload starts the retention time anew.
        return replace(known, touched_ms=begun.touched_ms)

    started = await change_file(store, begun.organisation, begun.file_id, begin)
    if isinstance(started, Err):
        return Err(store_failure(started.err_value))
    record = started.ok_value
    if record.state == 'ready':
        return Ok(record)
    segments = await write_segments(store, record.upload, source)
    if isinstance(segments, Err):
        return Err(errors.store_error(segments.err_value, wrote=True))
    return await finish_upload(store, record, segments.ok_value)


async def finish_upload(
    store: KeyValueStore,
    record: FileRecord,
    segments: list[SegmentInput],
) -> Result[FileRecord, JobError]:
    """Mark an upload as ready."""

    def finish(known: FileRecord | None) -> FileRecord | Refused[str]:
        if known is None or known.upload != record.upload:
            return Refused('the upload expired')
        return replace(known, state='ready', segments=segments)

    ready = await change_file(
        store, record.organisation, record.file_id, finish
    )
    return ready.map_err(lambda error: store_failure(error, wrote=True))


def store_failure(
    error: KvError | Refused[str],
    wrote: bool = False,
) -> JobError:
    """Return the refusal for a failed change of a record."""
    if isinstance(error, Refused):
        return JobError(errors.CONFLICT, 'conflict', error.reason)
    return errors.store_error(error, wrote)


async def write_segments(
    store: KeyValueStore,
    upload: str,
    source: BinaryIO,
) -> Result[list[SegmentInput], KvError]:
    """Write the input segments of a file."""
    source.seek(0)
    lines = inputs.read_lines(source)
    written: list[SegmentInput] = []
    while True:
        batch = await to_thread.run_sync(inputs.next_segments, lines)
        if not batch:
            return Ok(written)
        for packed, count in batch:
            name = inputs.segment_name(upload, len(written), packed)
            put = await put_once(store, keys.input_key(name), packed)
            if isinstance(put, Err):
                return put
            written.append(SegmentInput(name, count))


async def pin_file(
    store: KeyValueStore,
    organisation: str,
    file_id: str,
    job_id: str,
    now_ms: int,
) -> Result[FileRecord, JobError]:
    """Keep a file as long as a job needs it."""

    def pin(known: FileRecord | None) -> FileRecord | Refused[str]:
        if known is None or known.state != 'ready':
            return Refused('the file expired')
        if job_id in known.jobs:
            return known
        return replace(known, touched_ms=now_ms, jobs=[*known.jobs, job_id])

    pinned = await change_file(store, organisation, file_id, pin)
    return pinned.map_err(store_failure)


async def items_of_file(
    store: KeyValueStore,
    record: FileRecord,
) -> AsyncIterator[Result[list[Item], KvError]]:
    """Yield the items of a file, one segment at a time."""
    for segment in record.segments:
        yield await read_segment(store, segment.name)
