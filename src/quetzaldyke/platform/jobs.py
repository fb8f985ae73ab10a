"""Decodes submitted batch jobs and encodes what callers read of them."""

from __future__ import annotations

import base64
from dataclasses import dataclass

import orjson
from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result


@dataclass(frozen=True, slots=True)
class SubmittedItem:
    """One item as its caller sent it."""

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    # Tokens of the prompt and the longest output together.
    tokens: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ItemResult:
    """One result as a caller reads it."""

    item_id: str
    completed: bool
    output: bytes


class ItemRow(BaseModel):
    """One item on the wire."""

    model_config = ConfigDict(extra='ignore')

    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ''
    tokens: int = 0


class Submission(BaseModel):
    """A whole job on the wire."""

    model_config = ConfigDict(extra='ignore')

    items: list[ItemRow]


def decode_submission(raw: bytes) -> Result[list[SubmittedItem], str]:
    """Decode the body of a submission."""
    try:
        rows = Submission.model_validate(orjson.loads(raw)).items
        return Ok([decode_item(row) for row in rows])
    except (ValidationError, ValueError) as exc:
        return Err(str(exc))


def decode_item(row: ItemRow) -> SubmittedItem:
    """Translate one item."""
    return SubmittedItem(
        item_id=row.id,
        path=row.path,
        headers=tuple(row.headers.items()),
        tokens=row.tokens,
        body=base64.b64decode(row.body),
    )


def encode_results(total: int, start: int, results: list[ItemResult]) -> bytes:
    """Encode the results from a position on."""
    rows = [
        {
            'id': one.item_id,
            'state': 'completed' if one.completed else 'dead_letter',
            'output': one.output.decode('utf-8', 'replace'),
        }
        for one in results
    ]
    return orjson.dumps(
        {'total': total, 'next': start + len(results), 'results': rows},
    )
