"""Lists of active jobs, and the figures that the status of a job shows.

The figures of all jobs of a list are written together, so that a status
costs two reads and the figures cost one write for each list, not each job.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok, Result

from quetzaldyke.durable import keys
from quetzaldyke.durable.records import ActiveJob, pack_list, unpack_list
from quetzaldyke.parts.kv import KeyValueStore, KvError, Refused, read, swap

Edit = Callable[[list[ActiveJob]], list[ActiveJob] | None]


async def read_active(
    store: KeyValueStore,
    number: int,
) -> Result[list[ActiveJob], KvError]:
    """Return the jobs of one active list."""
    stored = await read(store, keys.active_key(number))
    return stored.map(lambda one: unpack_list(ActiveJob, one.payload))


async def edit_active(
    store: KeyValueStore,
    number: int,
    edit: Edit,
) -> Result[None, KvError]:
    """Change a list; an edit that returns None leaves it as it is."""

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
    """Add a job to its list, once."""

    def edit(jobs: list[ActiveJob]) -> list[ActiveJob] | None:
        if any(one.job_id == job.job_id for one in jobs):
            return None
        return [*jobs, job]

    return await edit_active(store, keys.active_list_of(job.job_id), edit)


async def remove_active(
    store: KeyValueStore,
    job_id: str,
) -> Result[None, KvError]:
    """Remove a job from its list."""

    def edit(jobs: list[ActiveJob]) -> list[ActiveJob] | None:
        kept = [one for one in jobs if one.job_id != job_id]
        return None if len(kept) == len(jobs) else kept

    return await edit_active(store, keys.active_list_of(job_id), edit)


async def write_figures(
    store: KeyValueStore,
    number: int,
    figures: dict[str, ActiveJob],
) -> Result[None, KvError]:
    """Write the latest figures of the jobs that are still listed."""

    def edit(jobs: list[ActiveJob]) -> list[ActiveJob] | None:
        edited = [with_figures(one, figures.get(one.job_id)) for one in jobs]
        return None if edited == jobs else edited

    return await edit_active(store, number, edit)


def with_figures(job: ActiveJob, latest: ActiveJob | None) -> ActiveJob:
    """Return a list row with newer figures."""
    if latest is None:
        return job
    return replace(
        job,
        finished=latest.finished,
        failed=latest.failed,
        estimate_ms=latest.estimate_ms,
        at_risk=latest.at_risk,
    )
