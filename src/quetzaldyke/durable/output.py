"""Lines of uploaded files and of results, one segment in memory at a time."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator

from result import Err

from quetzaldyke.durable import files, inputs, progress
from quetzaldyke.durable.inputs import Item
from quetzaldyke.durable.records import FileRecord, ItemResult, JobRecord
from quetzaldyke.parts.kv import KeyValueStore, KvError


class StoreFault(Exception):
    """The store failed while lines were sent.

    The connection breaks, so that a short answer is never taken for whole.
    """


def fault(error: KvError) -> StoreFault:
    """Return the exception for a failed read."""
    return StoreFault(f'{error.kind} {error.detail}')


async def item_lines(
    store: KeyValueStore,
    record: FileRecord,
) -> AsyncIterator[bytes]:
    """Yield the lines of an uploaded file."""
    async for found in files.items_of_file(store, record):
        if isinstance(found, Err):
            raise fault(found.err_value)
        yield b''.join(item_line(item) for item in found.ok_value)


def open_object(document: str, name: str) -> bytes:
    """Return a JSON object that goes on with one more field.

    >>> open_object('{"a": 1}', 'b')
    b'{"a": 1, "b": '
    """
    return f'{document[:-1]}, "{name}": '.encode()


def item_line(item: Item) -> bytes:
    """Return one line of an uploaded file."""
    head = json.dumps(
        {'custom_id': item.custom_id, 'method': 'POST', 'url': item.url},
    )
    return b''.join((open_object(head, 'body'), item.body, b'}\n'))


async def result_lines(
    store: KeyValueStore,
    job: JobRecord,
    failed: bool,
) -> AsyncIterator[bytes]:
    """Yield the recorded results, or the failed items, in input order."""
    for number, segment in enumerate(job.segments):
        found = await segment_results(store, job.job_id, number)
        chosen = [one for one in found if one.failed == failed]
        if not chosen:
            continue
        items = await inputs.read_segment(store, segment.name)
        if isinstance(items, Err):
            raise fault(items.err_value)
        prefix = f'{job.job_id}-{number}'
        yield b''.join(
            result_line(prefix, items.ok_value[one.index], one)
            for one in sorted(chosen, key=lambda result: result.index)
        )


async def segment_results(
    store: KeyValueStore,
    job_id: str,
    segment: int,
) -> list[ItemResult]:
    """Return all recorded results of a segment."""
    found = await progress.read_progress(store, job_id, segment)
    if isinstance(found, Err):
        raise fault(found.err_value)
    if found.ok_value is None:
        return []
    collected: list[ItemResult] = []
    async for part in progress.results_of(
        store,
        job_id,
        segment,
        found.ok_value,
    ):
        if isinstance(part, Err):
            raise fault(part.err_value)
        collected.extend(part.ok_value)
    return collected


def result_line(prefix: str, item: Item, result: ItemResult) -> bytes:
    """Return one line of an output or error file.

    The stored body is JSON and goes into the line as it is.
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
        facts = json.dumps(
            {'status_code': result.status, 'request_id': request_id},
        )
        response = b''.join((open_object(facts, 'body'), result.body, b'}'))
    history = json.dumps(
        {
            'tries': result.tries,
            'endpoint': result.endpoint,
            'finished_at_ms': result.finished_ms,
        },
    )
    return b''.join(
        (
            open_object(head, 'response'),
            response,
            f', "error": {error}, "history": {history}}}\n'.encode(),
        ),
    )
