"""Decodes submitted batch jobs and encodes pages of their results."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import Annotated, Final

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from quetzaldyke.platform.validation import describe_invalid

# Far above any prompt and output; sums of many still fit 64 bits.
MAX_TOKENS: Final = 1_000_000_000
# Texts of items go into the heads of requests to endpoints, where a line break
# would begin another header or another request.
HeaderName = Annotated[str, Field(pattern=r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+\z")]
HeaderText = Annotated[str, Field(pattern=r'^[\t -~\x80-\xff]*\z')]


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

    id: Annotated[str, Field(pattern=r'^[!-~]{1,200}\z')]
    path: Annotated[str, Field(pattern=r'^/[!-~]{0,8000}\z')]
    headers: dict[HeaderName, HeaderText] = {}
    body: str = ''
    tokens: Annotated[int, Field(ge=0, le=MAX_TOKENS)] = 0


class Submission(BaseModel):
    """The request body of a job submission."""

    model_config = ConfigDict(extra='ignore')

    items: list[ItemRecord]


def decode_submission(raw: bytes) -> Result[list[SubmittedItem], str]:
    """Decode the items of a job submission; fail with the reason."""
    try:
        rows = Submission.model_validate(orjson.loads(raw)).items
        return Ok([to_submitted_item(row) for row in rows])
    except (ValidationError, ValueError, RecursionError) as exc:
        return Err(describe_invalid(exc))


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
