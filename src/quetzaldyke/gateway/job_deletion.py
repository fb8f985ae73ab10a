"""Lists the keys that hold a job, in the order of their deletion."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from quetzaldyke.gateway.job_records import (
    END_PREFIX,
    JOB_PREFIX,
    PARTIAL_PREFIX,
    STATE_PREFIX,
    body_key,
    result_key,
)
from quetzaldyke.gateway.job_table import JobView

# Keys deleted in one transaction.
MAX_DELETES_PER_TRANSACTION: Final = 32


def deletions(job_id: str, view: JobView) -> Iterator[tuple[str, ...]]:
    """Yield the keys that each transaction deletes.

    The job record is deleted last: as long as it exists, the deletion is
    retried.
    """
    parts = view.state.part_count if view.state else 0
    bodies = view.record.body_parts if view.record else 1
    keys = [
        *(result_key(job_id, part) for part in range(parts)),
        *(body_key(job_id, part) for part in range(bodies)),
        f'{PARTIAL_PREFIX}{job_id}',
        f'{END_PREFIX}{job_id}',
        f'{STATE_PREFIX}{job_id}',
        f'{JOB_PREFIX}{job_id}',
    ]
    for start in range(0, len(keys), MAX_DELETES_PER_TRANSACTION):
        yield tuple(keys[start : start + MAX_DELETES_PER_TRANSACTION])
