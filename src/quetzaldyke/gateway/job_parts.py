"""Splits bodies and outputs of a job into values that the store takes.

Load pattern: the items of a job finish within moments, or all through an
outage of the store, and their outputs together are larger than a value. The
store refuses such a value each time, so all that grows with the number or the
size of items is written in parts.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result

from quetzaldyke.gateway.job_records import (
    END_PREFIX,
    JOB_PREFIX,
    PARTIAL_PREFIX,
    STATE_PREFIX,
    ItemRecord,
    PartialOutput,
    body_key,
    result_key,
)
from quetzaldyke.parts.kv import KvError
from quetzaldyke.parts.transactions import DEFAULT_VALUE_BYTES

# Share of the largest value that a part takes, so that a reader of one item
# need not load much of the others.
PART_SHARE: Final = 0.5
# Room for the encoding of a part with one row.
ROW_OVERHEAD_BYTES: Final = 64
# A page of results holds at least one and is at most 1 MB.
MAX_LISTED_BYTES: Final = 900_000
# Keys deleted in one transaction.
MAX_DELETES_PER_TRANSACTION: Final = 32

# An item, whether it completed, and its output.
Outcome = tuple[int, bool, bytes]
ReadPart = Callable[[int], Awaitable[Result[bytes, KvError]]]


@dataclass(frozen=True, slots=True)
class PartSizes:
    """Sizes of the parts, from the largest value that the store takes.

    >>> PartSizes(1_000_000)
    PartSizes(value_bytes=1000000)
    >>> PartSizes(1_000_000).part_bytes, PartSizes(1_000_000).output_bytes
    (500000, 900000)
    """

    value_bytes: int = DEFAULT_VALUE_BYTES

    @property
    def part_bytes(self) -> int:
        """Return the size at which the next part begins."""
        return max(1, int(self.value_bytes * PART_SHARE))

    @property
    def output_bytes(self) -> int:
        """Return the largest output of an item that can be listed."""
        largest = self.value_bytes - ROW_OVERHEAD_BYTES
        return max(1, min(largest, MAX_LISTED_BYTES))


def leading_outcomes(
    outcomes: Sequence[Outcome], part_bytes: int
) -> list[Outcome]:
    """Return the first outcomes that fit into one part, at least one.

    >>> rows = [(0, True, b'abc'), (1, False, b''), (2, True, b'de')]
    >>> leading_outcomes(rows, part_bytes=4)
    [(0, True, b'abc'), (1, False, b'')]
    """
    size = 0
    for count, outcome in enumerate(outcomes):
        size += len(outcome[2])
        if count and size > part_bytes:
            return list(outcomes[:count])
    return list(outcomes)


def trim_partials(
    partials: Sequence[PartialOutput], part_bytes: int
) -> list[PartialOutput]:
    """Return the longest partial outputs that fit into one part together.

    One that doesn't fit is left out: its item runs again from its start.
    """
    kept = []
    size = 0
    longest_first = sorted(partials, key=lambda partial: -len(partial.output))
    for partial in longest_first:
        if size + len(partial.output) <= part_bytes:
            size += len(partial.output)
            kept.append(partial)
    return kept


@dataclass(slots=True)
class BodyParts:
    """The bodies of a job, one after the other in parts of limited size."""

    part_bytes: int
    parts: list[bytearray] = field(default_factory=lambda: [bytearray()])

    def add(self, body: bytes) -> tuple[int, int]:
        """Add a body and return the part and the place where it begins.

        A body that is larger than a part goes on in the next ones.
        """
        last = self.parts[-1]
        if last and len(last) + len(body) > self.part_bytes:
            last = bytearray()
            self.parts.append(last)
        position = (len(self.parts) - 1, len(last))
        last += body[: self.part_bytes]
        for start in range(self.part_bytes, len(body), self.part_bytes):
            rest = body[start : start + self.part_bytes]
            self.parts.append(bytearray(rest))
        return position


async def read_item_body(
    item: ItemRecord, read_part: ReadPart
) -> Result[bytes, KvError]:
    """Return the body of an item, read from the parts that hold it."""
    body = bytearray()
    part = item.body_part
    start = item.body_start
    while True:
        answer = await read_part(part)
        if isinstance(answer, Err):
            return answer
        missing = item.body_size - len(body)
        piece = answer.ok_value[start : start + missing]
        body += piece
        if len(body) == item.body_size:
            return Ok(bytes(body))
        if not piece:
            return Err(KvError('unknown', f'part {part} is too short'))
        part += 1
        start = 0


def deletions(
    job_id: str, result_parts: int, body_parts: int
) -> Iterator[tuple[str, ...]]:
    """Yield the keys of a job that each transaction deletes.

    The job record is deleted last: as long as it exists, the deletion is
    retried.
    """
    keys = [
        *(result_key(job_id, part) for part in range(result_parts)),
        *(body_key(job_id, part) for part in range(body_parts)),
        f'{PARTIAL_PREFIX}{job_id}',
        f'{END_PREFIX}{job_id}',
        f'{STATE_PREFIX}{job_id}',
        f'{JOB_PREFIX}{job_id}',
    ]
    for start in range(0, len(keys), MAX_DELETES_PER_TRANSACTION):
        yield tuple(keys[start : start + MAX_DELETES_PER_TRANSACTION])
