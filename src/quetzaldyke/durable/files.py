"""Stores uploaded files: a record and input segments, pinned by jobs.

The record is written as `uploading` before the segments and as `ready`
after them. An incomplete upload is therefore found and deleted, or completed
by another upload of the same contents.
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
from quetzaldyke.durable.inputs import (
    FileScan,
    Item,
    put_if_absent,
    read_segment,
)
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
    """Return the record of a file that is ready; fails for any other."""
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
    """Replace a file's record by what `edit` returns."""
    key = keys.file_key(organisation, file_id)
    return await change_record(store, key, FileRecord, edit)


async def scan_file(
    source: BinaryIO,
    max_body_bytes: int,
) -> Result[FileScan, JobError]:
    """Validate a whole file and compute the digest of its contents.

    Fails with all findings when a line is invalid or there are no items.
    """
    scan = FileScan(max_body_bytes)
    source.seek(0)
    lines = inputs.read_lines(source)
    while await to_thread.run_sync(inputs.scan_chunk, scan, lines):
        continue
    if scan.items == 0 and not scan.errors.found:
        scan.errors.add('file', 'has no items')
    if scan.errors.found:
        message = scan.errors.render()
        return Err(JobError(errors.BAD_REQUEST, 'invalid_file', message))
    return Ok(scan)


def new_upload_record(
    organisation: str,
    filename: str,
    size_bytes: int,
    now_ms: int,
    scan: FileScan,
) -> FileRecord:
    """Return the record of an upload before its segments are written."""
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
    new_record: FileRecord,
    source: BinaryIO,
) -> Result[FileRecord, JobError]:
    """Write the record and segments of a validated file.

    An existing record of the same contents is completed or, when it is
    ready, returned without writing the segments again.
    """

    def begin(current: FileRecord | None) -> FileRecord | Refused[str]:
        if current is None or current.state == 'expired':
            return new_record
        # Another upload of the same contents restarts the retention time.
        return replace(current, last_used_ms=new_record.last_used_ms)

    started = await change_file(
        store, new_record.organisation, new_record.file_id, begin
    )
    if isinstance(started, Err):
        return Err(change_error(started.err_value))
    record = started.ok_value
    if record.state == 'ready':
        return Ok(record)
    segments = await write_segments(store, record.upload_id, source)
    if isinstance(segments, Err):
        return Err(errors.store_error(segments.err_value, wrote=True))
    return await finish_upload(store, record, segments.ok_value)


async def finish_upload(
    store: KeyValueStore,
    record: FileRecord,
    segments: list[SegmentInput],
) -> Result[FileRecord, JobError]:
    """Mark an upload as ready; fails when it expired meanwhile."""

    def finish(current: FileRecord | None) -> FileRecord | Refused[str]:
        if current is None or current.upload_id != record.upload_id:
            return Refused('the upload expired')
        return replace(current, state='ready', segments=segments)

    ready = await change_file(
        store, record.organisation, record.file_id, finish
    )
    return ready.map_err(lambda error: change_error(error, wrote=True))


def change_error(
    error: KvError | Refused[str],
    wrote: bool = False,
) -> JobError:
    """Return the error for a failed change of a record."""
    if isinstance(error, Refused):
        return JobError(errors.CONFLICT, 'conflict', error.reason)
    return errors.store_error(error, wrote)


async def write_segments(
    store: KeyValueStore,
    upload_id: str,
    source: BinaryIO,
) -> Result[list[SegmentInput], KvError]:
    """Write the input segments of a file and return them in order."""
    source.seek(0)
    lines = inputs.read_lines(source)
    written: list[SegmentInput] = []
    while True:
        batch = await to_thread.run_sync(inputs.next_segments, lines)
        if not batch:
            return Ok(written)
        for packed, count in batch:
            name = inputs.segment_name(upload_id, len(written), packed)
            put = await put_if_absent(store, keys.input_key(name), packed)
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
    """Add a job to those that keep the file from expiring.

    Fails when the file is not ready.
    """

    def pin(current: FileRecord | None) -> FileRecord | Refused[str]:
        if current is None or current.state != 'ready':
            return Refused('the file expired')
        if job_id in current.jobs:
            return current
        return replace(
            current, last_used_ms=now_ms, jobs=[*current.jobs, job_id]
        )

    pinned = await change_file(store, organisation, file_id, pin)
    return pinned.map_err(change_error)


async def read_items(
    store: KeyValueStore,
    record: FileRecord,
) -> AsyncIterator[Result[list[Item], KvError]]:
    """Yield the items of a file, one segment at a time."""
    for segment in record.segments:
        yield await read_segment(store, segment.name)
