"""Stores the lists of active jobs, with the progress figures of each job.

The figures of all jobs of a list are written together, so that reading the
status of a job takes two reads and updating the figures takes one write per
list instead of one per job.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok, Result

from quetzaldyke.durable import keys
from quetzaldyke.durable.records import ActiveJob, pack_list, unpack_list
from quetzaldyke.parts.kv import KeyValueStore, KvError, Refused, read, swap

ActiveListEdit = Callable[[list[ActiveJob]], list[ActiveJob] | None]


async def read_active(
    store: KeyValueStore,
    number: int,
) -> Result[list[ActiveJob], KvError]:
    """Return the rows of one active list; empty when it is absent."""
    stored = await read(store, keys.active_key(number))
    return stored.map(lambda value: unpack_list(ActiveJob, value.payload))


async def change_active_list(
    store: KeyValueStore,
    number: int,
    edit: ActiveListEdit,
) -> Result[None, KvError]:
    """Replace the rows of a list; no write when `edit` returns None."""

    def change(payload: bytes) -> bytes | Refused[str]:
        edited = edit(unpack_list(ActiveJob, payload))
        return Refused('unchanged') if edited is None else pack_list(edited)

    written = await swap(store, keys.active_key(number), change)
    if isinstance(written, Err) and isinstance(written.err_value, KvError):
        return Err(written.err_value)
    return Ok(None)


async def add_active(
    store: KeyValueStore,
    job: ActiveJob,
) -> Result[None, KvError]:
    """Add a job to its list unless it is listed already."""

    def edit(rows: list[ActiveJob]) -> list[ActiveJob] | None:
        if any(row.job_id == job.job_id for row in rows):
            return None
        return [*rows, job]

    return await change_active_list(
        store, keys.active_list_of(job.job_id), edit
    )


async def remove_active(
    store: KeyValueStore,
    job_id: str,
) -> Result[None, KvError]:
    """Remove a job from its list, if it is listed."""

    def edit(rows: list[ActiveJob]) -> list[ActiveJob] | None:
        kept = [row for row in rows if row.job_id != job_id]
        return None if len(kept) == len(rows) else kept

    return await change_active_list(store, keys.active_list_of(job_id), edit)


async def write_figures(
    store: KeyValueStore,
    number: int,
    figures: dict[str, ActiveJob],
) -> Result[None, KvError]:
    """Write the progress figures of those jobs that are still listed."""

    def edit(rows: list[ActiveJob]) -> list[ActiveJob] | None:
        edited = [with_figures(row, figures.get(row.job_id)) for row in rows]
        return None if edited == rows else edited

    return await change_active_list(store, number, edit)


def with_figures(job: ActiveJob, latest: ActiveJob | None) -> ActiveJob:
    """Return a row with the latest figures; unchanged when there are none."""
    if latest is None:
        return job
    return replace(
        job,
        finished=latest.finished,
        failed=latest.failed,
        estimate_ms=latest.estimate_ms,
        at_risk=latest.at_risk,
    )
