"""Records of batch jobs as they are stored in the key-value service.

Each record is a msgpack array of its fields in order. New fields must be
added at the end and with a default, so that older records stay readable.
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
BITS_PER_BYTE: Final = 8
# Approximate packed size of a result without its body, reason and endpoint.
RESULT_OVERHEAD_BYTES: Final = 40


@dataclass(frozen=True, slots=True)
class SegmentInput:
    """Input of one segment: the name of its key and its number of items."""

    name: str
    items: int


@dataclass(frozen=True, slots=True)
class FileRecord:
    """An uploaded file; its items are in input segments."""

    file_id: str
    organisation: str
    filename: str
    state: FileState
    # Part of the keys of the input segments, so that segments of an expired
    # upload are never used for a later upload of the same contents.
    upload_id: str
    size_bytes: int
    created_ms: int
    last_used_ms: int
    input_digest: str
    models: list[str] = field(default_factory=list)
    endpoints: list[str] = field(default_factory=list)
    segments: list[SegmentInput] = field(default_factory=list)
    jobs: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Deadline:
    """A deadline as given and the instant that it resolves to."""

    local: str
    zone: str
    instant_ms: int


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A batch job; `contents` is the hash of input, endpoint and deadline."""

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
    has_idempotency_key: bool = False
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
    """Row of an active list: a job with its latest progress figures."""

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
    """The recorded outcome of an item; it never changes."""

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
        """Tell whether the item failed; a failed one has an error code."""
        return bool(self.code)

    @property
    def size_bytes(self) -> int:
        """Return the approximate size of the packed result."""
        return (
            len(self.body)
            + len(self.reason)
            + len(self.endpoint)
            + RESULT_OVERHEAD_BYTES
        )


@dataclass(frozen=True, slots=True)
class Progress:
    """Ownership and results of one segment.

    `finished` is a bitmap of the items with a recorded result. `tail` holds
    the latest results; older ones are in the result packs that `packs`
    names. `tries` counts the tries of unfinished items by index.
    """

    state: SegmentState
    epoch: int
    owner: str
    total: int
    # Incremented by each write; a commit that is based on an older record is
    # rejected.
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
        position, bit = divmod(index, BITS_PER_BYTE)
        if position >= len(self.finished):
            return False
        return bool(self.finished[position] & (1 << bit))


RecordT = TypeVar('RecordT')
LIST_FIELD_TYPES: Final[dict[str, type]] = {
    'segments': SegmentInput,
    'tail': ItemResult,
}


def to_row(record: object) -> list[Any]:
    """Return the field values of a record as an array."""
    return [
        to_plain(getattr(record, name)) for name in field_names(type(record))
    ]


def field_names(record_type: type) -> list[str]:
    """Return the field names of a record type in order."""
    return [item.name for item in fields(record_type)]


def to_plain(content: object) -> object:
    """Return a field's value with nested records replaced by arrays."""
    match content:
        case Deadline() | SegmentInput() | ItemResult():
            return to_row(content)
        case list():
            return [to_plain(item) for item in content]
    return content


def from_row(record_type: type[RecordT], row: list[Any]) -> RecordT:
    """Return the record that an array encodes.

    Fields that an older array lacks get their defaults.

    >>> from_row(SegmentInput, to_row(SegmentInput('d', 3)))
    SegmentInput(name='d', items=3)
    """
    named = dict(zip(field_names(record_type), row, strict=False))
    for name, item_type in LIST_FIELD_TYPES.items():
        if name in named:
            named[name] = [from_row(item_type, item) for item in named[name]]
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


def mark_finished(finished: bytes, indexes: list[int]) -> bytes:
    """Return a bitmap with these items marked as finished too.

    >>> mark_finished(b'', [0, 9]).hex()
    '0102'
    """
    bits = int.from_bytes(finished, 'little')
    for index in indexes:
        bits |= 1 << index
    size = (bits.bit_length() + BITS_PER_BYTE - 1) // BITS_PER_BYTE
    return bits.to_bytes(size, 'little')
