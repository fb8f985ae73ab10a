"""Converts a submitted job into the records that the store keeps."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Final

from quetzaldyke.gateway.job_parts import BodyParts, PartSizes
from quetzaldyke.gateway.job_records import ItemRecord, JobRecord
from quetzaldyke.gateway.job_terms import terms_of_route
from quetzaldyke.gateway.model import Route
from quetzaldyke.platform.jobs import SubmittedItem

MS_IN_S: Final = 1000
DEFAULT_PART_BYTES: Final = PartSizes().part_bytes


@dataclass(frozen=True, slots=True)
class NewJob:
    """The records of a job that is not yet accepted."""

    record: JobRecord
    bodies: dict[int, bytes]
    tokens: int


def make_job(
    job_id: str,
    route: Route,
    submitted: list[SubmittedItem],
    part_bytes: int = DEFAULT_PART_BYTES,
    version: int = 0,
    organisation: str = '',
) -> NewJob:
    """Return the records of a submitted job, accepted as of now.

    `version` is that of the configuration that the route is from, and
    `organisation` the name of the one that submits the job.
    """
    bodies = BodyParts(part_bytes)
    items: list[ItemRecord] = []
    for item in submitted:
        part, start = bodies.add(item.body)
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
        len(bodies.parts),
        terms_of_route(route, version),
        organisation,
    )
    return NewJob(
        record,
        {part: bytes(body) for part, body in enumerate(bodies.parts)},
        sum(item.tokens for item in submitted),
    )
