"""Streams the JSON lines of uploaded, output and error files.

Only one segment is held in memory at a time.
"""

from __future__ import annotations

import json
from collections.abc import AsyncIterator

from result import Err

from quetzaldyke.durable import files, inputs, progress
from quetzaldyke.durable.inputs import Item
from quetzaldyke.durable.records import FileRecord, ItemResult, JobRecord
from quetzaldyke.parts.kv import KeyValueStore, KvError


class StoreReadError(Exception):
    """The store failed while the lines of a file were being sent.

    It aborts the connection, so that the client can't take the incomplete
    response for a complete one.
    """


def read_error(error: KvError) -> StoreReadError:
    """Return the exception for a failed read."""
    return StoreReadError(f'{error.kind} {error.detail}')


async def item_lines(
    store: KeyValueStore,
    record: FileRecord,
) -> AsyncIterator[bytes]:
    """Yield the lines of an uploaded file, joined per segment."""
    async for found in files.read_items(store, record):
        if isinstance(found, Err):
            raise read_error(found.err_value)
        yield b''.join(item_line(item) for item in found.ok_value)


def open_field(document: str, name: str) -> bytes:
    """Return a JSON object left open for the value of one more field.

    >>> open_field('{"a": 1}', 'b')
    b'{"a": 1, "b": '
    """
    return f'{document[:-1]}, "{name}": '.encode()


def item_line(item: Item) -> bytes:
    """Return one line of an uploaded file."""
    head = json.dumps(
        {'custom_id': item.custom_id, 'method': 'POST', 'url': item.url},
    )
    return b''.join((open_field(head, 'body'), item.body, b'}\n'))


async def result_lines(
    store: KeyValueStore,
    job: JobRecord,
    failed: bool,
) -> AsyncIterator[bytes]:
    """Yield the lines of a result file in input order, joined per segment.

    `failed` selects the error file instead of the output file. Raises
    `StoreReadError`.
    """
    for number, segment in enumerate(job.segments):
        found = await read_segment_results(store, job.job_id, number)
        chosen = [result for result in found if result.failed == failed]
        if not chosen:
            continue
        items = await inputs.read_segment(store, segment.name)
        if isinstance(items, Err):
            raise read_error(items.err_value)
        prefix = f'{job.job_id}-{number}'
        yield b''.join(
            result_line(prefix, items.ok_value[result.index], result)
            for result in sorted(chosen, key=lambda result: result.index)
        )


async def read_segment_results(
    store: KeyValueStore,
    job_id: str,
    segment: int,
) -> list[ItemResult]:
    """Return all recorded results of a segment; raises StoreReadError."""
    found = await progress.read_progress(store, job_id, segment)
    if isinstance(found, Err):
        raise read_error(found.err_value)
    if found.ok_value is None:
        return []
    collected: list[ItemResult] = []
    async for part in progress.read_results(
        store,
        job_id,
        segment,
        found.ok_value,
    ):
        if isinstance(part, Err):
            raise read_error(part.err_value)
        collected.extend(part.ok_value)
    return collected


def result_line(prefix: str, item: Item, result: ItemResult) -> bytes:
    """Return one line of an output or error file.

    The stored body is JSON and is inserted into the line unparsed.
    """
    request_id = f'{prefix}-{result.index}'
    head = json.dumps({'id': request_id, 'custom_id': item.custom_id})
    error = json.dumps(
        {'code': result.code, 'message': result.reason}
        if result.failed
        else None,
    )
    response = b'null'
    if result.body:
        head_fields = json.dumps(
            {'status_code': result.status, 'request_id': request_id},
        )
        response = b''.join(
            (open_field(head_fields, 'body'), result.body, b'}')
        )
    history = json.dumps(
        {
            'tries': result.tries,
            'endpoint': result.endpoint,
            'finished_at_ms': result.finished_ms,
        },
    )
    return b''.join(
        (
            open_field(head, 'response'),
            response,
            f', "error": {error}, "history": {history}}}\n'.encode(),
        ),
    )
