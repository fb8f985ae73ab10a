"""Decodes submitted batch jobs and encodes pages of their results."""

from __future__ import annotations

import base64
from dataclasses import dataclass

import orjson
from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result


@dataclass(frozen=True, slots=True)
class SubmittedItem:
    """An item of a submitted job."""

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    # Prompt tokens plus the maximum number of output tokens.
    tokens: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ItemResult:
    """The final result of an item; `output` is empty if it failed."""

    item_id: str
    completed: bool
    output: bytes


class ItemRecord(BaseModel):
    """An item in the request body; `body` is in base64."""

    model_config = ConfigDict(extra='ignore')

    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ''
    tokens: int = 0


class Submission(BaseModel):
    """The request body of a job submission."""

    model_config = ConfigDict(extra='ignore')

    items: list[ItemRecord]


def decode_submission(raw: bytes) -> Result[list[SubmittedItem], str]:
    """Decode the items of a job submission; fail with the reason."""
    try:
        rows = Submission.model_validate(orjson.loads(raw)).items
        return Ok([to_submitted_item(row) for row in rows])
    except (ValidationError, ValueError) as exc:
        return Err(str(exc))


def to_submitted_item(row: ItemRecord) -> SubmittedItem:
    """Convert an item; raises `ValueError` for an invalid base64 body."""
    return SubmittedItem(
        item_id=row.id,
        path=row.path,
        headers=tuple(row.headers.items()),
        tokens=row.tokens,
        body=base64.b64decode(row.body),
    )


def encode_results(total: int, start: int, results: list[ItemResult]) -> bytes:
    """Encode a page of results.

    `total` counts all items of the job; `start` is the index of the first
    result of this page.
    """
    rows = [
        {
            'id': result.item_id,
            'state': 'completed' if result.completed else 'dead_letter',
            'output': result.output.decode('utf-8', 'replace'),
        }
        for result in results
    ]
    return orjson.dumps(
        {'total': total, 'next': start + len(results), 'results': rows},
    )
