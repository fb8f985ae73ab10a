"""Stores the ownership and the results of segments.

Every write is a compare-and-swap on one record that holds epoch, owner and
results. A write by a former owner, or one based on an older record, is
therefore rejected as a whole, and a recorded result is never replaced.
"""

from __future__ import annotations

import zlib
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import replace
from typing import Final

import msgpack
from result import Err, Ok, Result

from quetzaldyke.durable import keys
from quetzaldyke.durable.inputs import put_if_absent
from quetzaldyke.durable.records import (
    ItemResult,
    Progress,
    from_row,
    mark_finished,
    pack_list,
    to_row,
    unpack_list,
)
from quetzaldyke.parts.kv import (
    KeyValueStore,
    KvError,
    Refused,
    read,
    swap,
)

MAX_TAIL_BYTES: Final = 65_536  # 64 KiB
MAX_PACK_BYTES: Final = 900_000
COMPRESSION_LEVEL: Final = 6

ProgressChange = Callable[[Progress | None], Progress | Refused[str]]
ProgressResult = Result[Progress, KvError | Refused[str]]

OWNERSHIP_LOST: Final = Refused('the ownership of the segment was lost')
RECORD_CHANGED: Final = Refused(
    'the progress record has changed since it was read'
)
SEGMENT_CLOSED: Final = Refused('the segment is closed')
UNCHANGED: Final = Refused('unchanged')


async def read_progress(
    store: KeyValueStore,
    job_id: str,
    segment: int,
) -> Result[Progress | None, KvError]:
    """Return the progress of a segment; None before its first claim."""
    stored = await read(store, keys.progress_key(job_id, segment))
    return stored.map(lambda value: decode(value.payload))


def decode(payload: bytes) -> Progress | None:
    """Decode a progress record; None for an empty payload."""
    if not payload:
        return None
    row, tail = msgpack.unpackb(payload, strict_map_key=False)
    rows = unpack_list(ItemResult, zlib.decompress(tail))
    return replace(from_row(Progress, row), tail=rows)


def encode(record: Progress) -> bytes:
    """Encode a progress record.

    The tail is compressed, because every commit writes it again.
    """
    row = to_row(replace(record, tail=[]))
    tail = zlib.compress(pack_list(record.tail), COMPRESSION_LEVEL)
    return bytes(msgpack.packb([row, tail]))


async def change_progress(
    store: KeyValueStore,
    job_id: str,
    segment: int,
    edit: ProgressChange,
) -> ProgressResult:
    """Replace a segment's progress record by what `edit` returns.

    Increments the sequence number of the record.
    """

    def change(payload: bytes) -> bytes | Refused[str]:
        edited = edit(decode(payload))
        if isinstance(edited, Refused):
            return edited
        return encode(replace(edited, sequence=edited.sequence + 1))

    key = keys.progress_key(job_id, segment)
    written = await swap(store, key, change)
    return written.and_then(lambda stored: decode_written(stored.payload))


async def claim(
    store: KeyValueStore,
    job_id: str,
    segment: int,
    total: int,
    owner: str,
    may_take_from: Callable[[str], bool],
) -> ProgressResult:
    """Make `owner` the owner of an open segment, with the next epoch.

    Refused for a closed segment, and for another owner's segment unless
    `may_take_from` allows it.
    """

    def edit(current: Progress | None) -> Progress | Refused[str]:
        if current is None:
            return Progress('open', 1, owner, total)
        if current.state != 'open':
            return SEGMENT_CLOSED
        if current.owner and not may_take_from(current.owner):
            return Refused(f'owned by {current.owner}')
        return replace(current, epoch=current.epoch + 1, owner=owner)

    return await change_progress(store, job_id, segment, edit)


async def release(
    store: KeyValueStore,
    job_id: str,
    segment: int,
    owned: Progress,
) -> ProgressResult:
    """Clear the owner of a segment, so that any entry can claim it.

    Refused when the ownership was lost.
    """

    def edit(current: Progress | None) -> Progress | Refused[str]:
        if current is None or not is_still_owned(current, owned):
            return OWNERSHIP_LOST
        return replace(current, owner='')

    return await change_progress(store, job_id, segment, edit)


async def close_cancelled(
    store: KeyValueStore,
    job_id: str,
    segment: int,
    total: int,
) -> ProgressResult:
    """Close an unfinished segment of a cancelled job.

    A segment that was never claimed gets a record too, so that a concurrent
    claim fails. Refused for a segment that is not open.
    """

    def edit(current: Progress | None) -> Progress | Refused[str]:
        if current is None:
            return Progress('cancelled', 1, '', total)
        if current.state != 'open':
            return SEGMENT_CLOSED
        return replace(
            current,
            state='cancelled',
            epoch=current.epoch + 1,
            owner='',
        )

    return await change_progress(store, job_id, segment, edit)


def decode_written(payload: bytes) -> ProgressResult:
    """Decode a payload that was just written; it can't be empty."""
    record = decode(payload)
    if record is None:
        return Err(KvError('conflict', 'the progress record is empty'))
    return Ok(record)


def is_still_owned(current: Progress, owned: Progress) -> bool:
    """Tell whether a record is open with the same owner and epoch."""
    same = (current.epoch, current.owner) == (owned.epoch, owned.owner)
    return same and current.state == 'open'


async def commit(
    store: KeyValueStore,
    job_id: str,
    segment: int,
    base: Progress,
    results: Sequence[ItemResult],
    tries: dict[int, int],
    pack_name: str,
) -> ProgressResult:
    """Append results to `base`, the record that the owner last saw.

    Results of items that are finished already are ignored. When the tail
    exceeds its limit, it is first written as packs, which the new record
    then names. `pack_name` must be unique for each call. Refused when the
    ownership was lost or the record was changed.
    """
    new_results = [
        result for result in results if not base.is_finished(result.index)
    ]
    tail = [*base.tail, *new_results]
    packs: list[str] = []
    if sum(result.size_bytes for result in tail) > MAX_TAIL_BYTES:
        written = await write_packs(store, job_id, segment, pack_name, tail)
        if isinstance(written, Err):
            return Err(written.err_value)
        tail, packs = [], written.ok_value
    planned = plan_commit(base, new_results, tail, packs, tries)

    def edit(current: Progress | None) -> Progress | Refused[str]:
        if current is None or not is_still_owned(current, base):
            return OWNERSHIP_LOST
        return planned if current.sequence == base.sequence else RECORD_CHANGED

    return await change_progress(store, job_id, segment, edit)


def plan_commit(
    base: Progress,
    new_results: Sequence[ItemResult],
    tail: list[ItemResult],
    packs: list[str],
    tries: dict[int, int],
) -> Progress:
    """Return the record that a commit writes.

    Its state is `done` when every item is finished.
    """
    finished = mark_finished(
        base.finished, [result.index for result in new_results]
    )
    planned = replace(
        base,
        finished=finished,
        failed=base.failed + sum(result.failed for result in new_results),
        tail=tail,
        packs=[*base.packs, *packs],
    )
    remaining_tries = {
        index: count
        for index, count in tries.items()
        if not planned.is_finished(index)
    }
    done = planned.finished_count == planned.total
    return replace(
        planned, tries=remaining_tries, state='done' if done else 'open'
    )


async def write_packs(
    store: KeyValueStore,
    job_id: str,
    segment: int,
    pack_name: str,
    results: Sequence[ItemResult],
) -> Result[list[str], KvError]:
    """Write results as packs below the size limit; return their names."""
    names: list[str] = []
    for number, group in enumerate(group_by_size(results)):
        name = f'{pack_name}.{number}'
        packed = zlib.compress(pack_list(group), COMPRESSION_LEVEL)
        key = keys.pack_key(job_id, segment, name)
        put = await put_if_absent(store, key, packed)
        if isinstance(put, Err):
            return put
        names.append(name)
    return Ok(names)


def group_by_size(
    results: Sequence[ItemResult],
) -> list[list[ItemResult]]:
    """Split results, in order, into groups that fit into one value each."""
    groups: list[list[ItemResult]] = [[]]
    size = 0
    for result in results:
        size += result.size_bytes
        if size > MAX_PACK_BYTES and groups[-1]:
            groups.append([])
            size = result.size_bytes
        groups[-1].append(result)
    return groups


async def read_results(
    store: KeyValueStore,
    job_id: str,
    segment: int,
    progress: Progress,
) -> AsyncIterator[Result[list[ItemResult], KvError]]:
    """Yield the recorded results of a segment, pack by pack, then the tail."""
    for name in progress.packs:
        found = await store.get(keys.pack_key(job_id, segment, name))
        yield found.and_then(decode_pack)
    yield Ok(progress.tail)


def decode_pack(record: object) -> Result[list[ItemResult], KvError]:
    """Return the results of a stored pack; fails when it is missing."""
    raw = getattr(record, 'value', None)
    if raw is None:
        return Err(KvError('conflict', 'a result pack is missing'))
    return Ok(unpack_list(ItemResult, zlib.decompress(raw)))
