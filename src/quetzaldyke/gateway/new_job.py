"""Converts a submitted job into the records that the store keeps."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Final

from quetzaldyke.gateway.job_records import (
    ItemRecord,
    JobRecord,
    PartialOutput,
)
from quetzaldyke.gateway.model import Route
from quetzaldyke.platform.jobs import SubmittedItem

MS_IN_S: Final = 1000
# Bodies are split and partial outputs trimmed to this size, which is below
# the store's limit for a value.
MAX_PART_BYTES: Final = 500_000


@dataclass(frozen=True, slots=True)
class NewJob:
    """The records of a job that is not yet accepted."""

    record: JobRecord
    bodies: dict[int, bytes]
    tokens: int


def trim_partials(partials: list[PartialOutput]) -> list[PartialOutput]:
    """Return the longest partial outputs that fit into one value."""
    kept = []
    size = 0
    longest_first = sorted(partials, key=lambda partial: -len(partial.output))
    for partial in longest_first:
        size += len(partial.output)
        if size > MAX_PART_BYTES:
            break
        kept.append(partial)
    return kept


def make_job(
    job_id: str,
    route: Route,
    submitted: list[SubmittedItem],
) -> NewJob:
    """Return the records of a submitted job, accepted as of now."""
    bodies: dict[int, bytearray] = {0: bytearray()}
    items: list[ItemRecord] = []
    for item in submitted:
        part = len(bodies) - 1
        if bodies[part] and len(bodies[part]) + len(item.body) > MAX_PART_BYTES:
            part += 1
            bodies[part] = bytearray()
        start = len(bodies[part])
        bodies[part] += item.body
        items.append(
            ItemRecord(
                item.item_id,
                item.path,
                item.headers,
                item.tokens,
                part,
                start,
                len(item.body),
            ),
        )
    record = JobRecord(
        job_id,
        route.name,
        route.host,
        int(time.time() * MS_IN_S),
        tuple(items),
    )
    return NewJob(
        record,
        {part: bytes(body) for part, body in bodies.items()},
        sum(item.tokens for item in submitted),
    )
