"""A submitted job in the form in which the store keeps it."""

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
# Bodies and results are split into parts below the store's value limit.
MAX_PART_BYTES: Final = 500_000


@dataclass(frozen=True, slots=True)
class NewJob:
    """A job on its way into the store."""

    record: JobRecord
    bodies: dict[int, bytes]
    tokens: int


def fitting(partials: list[PartialOutput]) -> list[PartialOutput]:
    """Return the partial outputs that fit into one value, longest first."""
    kept = []
    size = 0
    longest_first = sorted(partials, key=lambda row: -len(row.output))
    for one in longest_first:
        size += len(one.output)
        if size > MAX_PART_BYTES:
            break
        kept.append(one)
    return kept


def make_job(
    job_id: str,
    route: Route,
    submitted: list[SubmittedItem],
) -> NewJob:
    """Return the records of a submitted job."""
    bodies: dict[int, bytearray] = {0: bytearray()}
    items: list[ItemRecord] = []
    for one in submitted:
        part = len(bodies) - 1
        if bodies[part] and len(bodies[part]) + len(one.body) > MAX_PART_BYTES:
            part += 1
            bodies[part] = bytearray()
        start = len(bodies[part])
        bodies[part] += one.body
        items.append(
            ItemRecord(
                one.item_id,
                one.path,
                one.headers,
                one.tokens,
                part,
                start,
                len(one.body),
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
        sum(one.tokens for one in submitted),
    )
