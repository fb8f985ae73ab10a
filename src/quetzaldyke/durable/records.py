"""Records of batch work as they are kept in the key-value service.

Each record is a msgpack array of its fields in order. Fields are only ever
added at the end and with a default, so that an older record stays readable.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import Any, Final, Literal, TypeVar

import msgpack

FileState = Literal['uploading', 'ready', 'expired']
JobState = Literal[
    'in_progress',
    'cancelling',
    'completed',
    'cancelled',
    'expired',
]
SegmentState = Literal['open', 'done', 'cancelled']

FINAL_STATES: Final = frozenset(('completed', 'cancelled', 'expired'))
BITS_IN_BYTE: Final = 8
# Fields of a result besides its texts, packed.
ROW_BYTES: Final = 40


@dataclass(frozen=True, slots=True)
class SegmentInput:
    """Input of one segment: where it is and how many items it has."""

    name: str
    items: int


@dataclass(frozen=True, slots=True)
class FileRecord:
    """An uploaded file; its items are in input segments."""

    file_id: str
    organisation: str
    filename: str
    state: FileState
    # Part of the input keys, so that an expired upload's segments are never
    # taken for those of a later upload of the same contents.
    upload: str
    size_bytes: int
    created_ms: int
    touched_ms: int
    input_digest: str
    models: list[str] = field(default_factory=list)
    endpoints: list[str] = field(default_factory=list)
    segments: list[SegmentInput] = field(default_factory=list)
    jobs: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Deadline:
    """A deadline as given and the instant that it stands for."""

    local: str
    zone: str
    instant_ms: int


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A batch job."""

    job_id: str
    organisation: str
    state: JobState
    endpoint: str
    pool: str
    file_id: str
    contents: str
    deadline: Deadline
    created_ms: int
    metadata: dict[str, str] = field(default_factory=dict)
    segments: list[SegmentInput] = field(default_factory=list)
    keyed: bool = False
    cancelling_ms: int = 0
    finished_ms: int = 0
    completed: int = 0
    failed: int = 0
    # Set when an expired job's progress and results have been deleted.
    purged: bool = False

    @property
    def total(self) -> int:
        """Return the number of items."""
        return sum(segment.items for segment in self.segments)


@dataclass(frozen=True, slots=True)
class ActiveJob:
    """A job in an active list with the latest figures for its status."""

    organisation: str
    job_id: str
    deadline_ms: int
    finished: int = 0
    failed: int = 0
    estimate_ms: int = 0
    at_risk: bool = False
    items: int = 0


@dataclass(frozen=True, slots=True)
class ItemResult:
    """The one recorded outcome of an item."""

    index: int
    status: int
    body: bytes
    code: str = ''
    reason: str = ''
    tries: int = 1
    endpoint: str = ''
    finished_ms: int = 0

    @property
    def failed(self) -> bool:
        """Tell whether the item was recorded as failed."""
        return bool(self.code)

    @property
    def size_bytes(self) -> int:
        """Return the approximate stored size."""
        return (
            len(self.body) + len(self.reason) + len(self.endpoint) + ROW_BYTES
        )


@dataclass(frozen=True, slots=True)
class Progress:
    """Ownership and results of one segment."""

    state: SegmentState
    epoch: int
    owner: str
    total: int
    # Raised by each write: a write planned on an older record is refused.
    sequence: int = 0
    finished: bytes = b''
    failed: int = 0
    tail: list[ItemResult] = field(default_factory=list)
    packs: list[str] = field(default_factory=list)
    tries: dict[int, int] = field(default_factory=dict)

    @property
    def finished_count(self) -> int:
        """Return the number of items with a recorded result."""
        return int.from_bytes(self.finished, 'little').bit_count()

    def is_finished(self, index: int) -> bool:
        """Tell whether an item has a recorded result."""
        position, bit = divmod(index, BITS_IN_BYTE)
        if position >= len(self.finished):
            return False
        return bool(self.finished[position] & (1 << bit))


RecordT = TypeVar('RecordT')
LISTED: Final[dict[str, type]] = {
    'segments': SegmentInput,
    'tail': ItemResult,
}


def to_row(record: object) -> list[Any]:
    """Return the array form of a record."""
    return [plain(getattr(record, name)) for name in names_of(type(record))]


def names_of(record_type: type) -> list[str]:
    """Return the field names of a record type in order."""
    return [one.name for one in fields(record_type)]


def plain(content: object) -> object:
    """Return a field's content without record classes."""
    match content:
        case Deadline() | SegmentInput() | ItemResult():
            return to_row(content)
        case list():
            return [plain(one) for one in content]
    return content


def from_row(record_type: type[RecordT], row: list[Any]) -> RecordT:
    """Return the record of an array.

    >>> from_row(SegmentInput, to_row(SegmentInput('d', 3)))
    SegmentInput(name='d', items=3)
    """
    named = dict(zip(names_of(record_type), row, strict=False))
    for name, item_type in LISTED.items():
        if name in named:
            named[name] = [from_row(item_type, one) for one in named[name]]
    if 'deadline' in named:
        named['deadline'] = Deadline(*named['deadline'])
    return record_type(**named)


def pack(record: object) -> bytes:
    """Encode a record."""
    return bytes(msgpack.packb(to_row(record)))


def unpack(record_type: type[RecordT], raw: bytes) -> RecordT:
    """Decode a record."""
    return from_row(record_type, msgpack.unpackb(raw, strict_map_key=False))


def pack_list(records: list[Any]) -> bytes:
    """Encode a list of records."""
    return bytes(msgpack.packb([to_row(record) for record in records]))


def unpack_list(record_type: type[RecordT], raw: bytes) -> list[RecordT]:
    """Decode a list of records; an absent value is an empty list."""
    if not raw:
        return []
    rows = msgpack.unpackb(raw, strict_map_key=False)
    return [from_row(record_type, row) for row in rows]


def with_bits(finished: bytes, indexes: list[int]) -> bytes:
    """Return a bitmap with more items marked as finished.

    >>> with_bits(b'', [0, 9]).hex()
    '0102'
    """
    bits = int.from_bytes(finished, 'little')
    for index in indexes:
        bits |= 1 << index
    size = (bits.bit_length() + BITS_IN_BYTE - 1) // BITS_IN_BYTE
    return bits.to_bytes(size, 'little')
