"""Ownership and results of segments.

Every write is a compare-and-swap on one record that holds epoch, owner and
results. A write by a former owner, or one planned on an older record, is
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
from quetzaldyke.durable.inputs import put_once
from quetzaldyke.durable.records import (
    ItemResult,
    Progress,
    from_row,
    pack_list,
    to_row,
    unpack_list,
    with_bits,
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

LOST: Final = Refused('ownership was lost')
STALE: Final = Refused('the record was changed since it was read')
CLOSED: Final = Refused('the segment is closed')
UNCHANGED: Final = Refused('unchanged')


async def read_progress(
    store: KeyValueStore,
    job_id: str,
    segment: int,
) -> Result[Progress | None, KvError]:
    """Return the progress of a segment; None before its first claim."""
    stored = await read(store, keys.progress_key(job_id, segment))
    return stored.map(lambda one: decode(one.payload))


def decode(payload: bytes) -> Progress | None:
    """Return the record of a payload; None when there is none."""
    if not payload:
        return None
    row, tail = msgpack.unpackb(payload, strict_map_key=False)
    rows = unpack_list(ItemResult, zlib.decompress(tail))
    return replace(from_row(Progress, row), tail=rows)


def encode(record: Progress) -> bytes:
    """Return the payload of a record.

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
    """Replace a segment's progress record."""

    def change(payload: bytes) -> bytes | Refused[str]:
        edited = edit(decode(payload))
        if isinstance(edited, Refused):
            return edited
        return encode(replace(edited, sequence=edited.sequence + 1))

    key = keys.progress_key(job_id, segment)
    written = await swap(store, key, change)
    return written.and_then(lambda stored: known_record(stored.payload))


async def claim(
    store: KeyValueStore,
    job_id: str,
    segment: int,
    total: int,
    owner: str,
    may_take_from: Callable[[str], bool],
) -> ProgressResult:
    """Become the owner of an open segment with the next epoch."""

    def edit(known: Progress | None) -> Progress | Refused[str]:
        if known is None:
            return Progress('open', 1, owner, total)
        if known.state != 'open':
            return CLOSED
        if known.owner and not may_take_from(known.owner):
            return Refused(f'owned by {known.owner}')
        return replace(known, epoch=known.epoch + 1, owner=owner)

    return await change_progress(store, job_id, segment, edit)


async def release(
    store: KeyValueStore,
    job_id: str,
    segment: int,
    owned: Progress,
) -> ProgressResult:
    """Give up a segment, so that another entry claims it at once."""

    def edit(known: Progress | None) -> Progress | Refused[str]:
        if known is None or not is_still_owned(known, owned):
            return LOST
        return replace(known, owner='')

    return await change_progress(store, job_id, segment, edit)


async def close_cancelled(
    store: KeyValueStore,
    job_id: str,
    segment: int,
    total: int,
) -> ProgressResult:
    """Close an unfinished segment of a cancelled job.

    A segment that was never claimed gets a closed record, so that a claim
    under way fails.
    """

    def edit(known: Progress | None) -> Progress | Refused[str]:
        if known is None:
            return Progress('cancelled', 1, '', total)
        if known.state != 'open':
            return CLOSED
        return replace(
            known,
            state='cancelled',
            epoch=known.epoch + 1,
            owner='',
        )

    return await change_progress(store, job_id, segment, edit)


def known_record(payload: bytes) -> ProgressResult:
    """Return the record of a payload that was just written."""
    record = decode(payload)
    if record is None:
        return Err(KvError('conflict', 'the progress record is empty'))
    return Ok(record)


def is_still_owned(known: Progress, owned: Progress) -> bool:
    """Tell whether a record still belongs to the owner's epoch."""
    same = (known.epoch, known.owner) == (owned.epoch, owned.owner)
    return same and known.state == 'open'


async def commit(
    store: KeyValueStore,
    job_id: str,
    segment: int,
    base: Progress,
    results: Sequence[ItemResult],
    tries: dict[int, int],
    pack_name: str,
) -> ProgressResult:
    """Record results on top of the record that the owner last saw.

    A tail over the limit is written as packs before the record that names
    them. `pack_name` must be new for each call.
    """
    fresh = [one for one in results if not base.is_finished(one.index)]
    tail = [*base.tail, *fresh]
    packs: list[str] = []
    if sum(one.size_bytes for one in tail) > MAX_TAIL_BYTES:
        written = await write_packs(store, job_id, segment, pack_name, tail)
        if isinstance(written, Err):
            return Err(written.err_value)
        tail, packs = [], written.ok_value
    planned = plan_commit(base, fresh, tail, packs, tries)

    def edit(known: Progress | None) -> Progress | Refused[str]:
        if known is None or not is_still_owned(known, base):
            return LOST
        return planned if known.sequence == base.sequence else STALE

    return await change_progress(store, job_id, segment, edit)


def plan_commit(
    base: Progress,
    fresh: Sequence[ItemResult],
    tail: list[ItemResult],
    packs: list[str],
    tries: dict[int, int],
) -> Progress:
    """Return the record after a commit; done when every item is finished."""
    finished = with_bits(base.finished, [one.index for one in fresh])
    planned = replace(
        base,
        finished=finished,
        failed=base.failed + sum(one.failed for one in fresh),
        tail=tail,
        packs=[*base.packs, *packs],
    )
    left = {
        index: count
        for index, count in tries.items()
        if not planned.is_finished(index)
    }
    done = planned.finished_count == planned.total
    return replace(planned, tries=left, state='done' if done else 'open')


async def write_packs(
    store: KeyValueStore,
    job_id: str,
    segment: int,
    pack_name: str,
    results: Sequence[ItemResult],
) -> Result[list[str], KvError]:
    """Write results as packs under the value limit; return their names."""
    names: list[str] = []
    for number, group in enumerate(group_by_size(results)):
        name = f'{pack_name}.{number}'
        packed = zlib.compress(pack_list(group), COMPRESSION_LEVEL)
        key = keys.pack_key(job_id, segment, name)
        put = await put_once(store, key, packed)
        if isinstance(put, Err):
            return put
        names.append(name)
    return Ok(names)


def group_by_size(
    results: Sequence[ItemResult],
) -> list[list[ItemResult]]:
    """Split results into groups that fit into one value each."""
    groups: list[list[ItemResult]] = [[]]
    size = 0
    for one in results:
        size += one.size_bytes
        if size > MAX_PACK_BYTES and groups[-1]:
            groups.append([])
            size = one.size_bytes
        groups[-1].append(one)
    return groups


async def results_of(
    store: KeyValueStore,
    job_id: str,
    segment: int,
    progress: Progress,
) -> AsyncIterator[Result[list[ItemResult], KvError]]:
    """Yield the recorded results of a segment, pack by pack."""
    for name in progress.packs:
        found = await store.get(keys.pack_key(job_id, segment, name))
        yield found.and_then(unpack_pack)
    yield Ok(progress.tail)


def unpack_pack(record: object) -> Result[list[ItemResult], KvError]:
    """Return the results of a stored pack."""
    raw = getattr(record, 'value', None)
    if raw is None:
        return Err(KvError('conflict', 'a result pack is missing'))
    return Ok(unpack_list(ItemResult, zlib.decompress(raw)))
