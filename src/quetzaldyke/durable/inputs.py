"""Parses batch files and stores their items in input segments.

A file has one JSON object per line. Parsing and compression run in a worker
thread, one segment at a time, so that a large upload does not block online
requests on the event loop.
"""

from __future__ import annotations

import hashlib
import json
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, BinaryIO, Final

import anyio
import msgpack
from result import Err, Ok, Result

from quetzaldyke.durable import keys
from quetzaldyke.parts.errors import Errors
from quetzaldyke.parts.kv import (
    ABSENT,
    RETRY_PAUSE_S,
    KeyValueStore,
    KvError,
)

MAX_SEGMENT_ITEMS: Final = 500
MAX_SEGMENT_BYTES: Final = 524_288  # 512 KiB
# Bounds the memory that one segment takes before compression.
MAX_SEGMENT_RAW_BYTES: Final = 4_194_304  # 4 MiB
COMPRESSION_LEVEL: Final = 6
MAX_FINDINGS: Final = 20
MAX_CUSTOM_ID_CHARS: Final = 256
MAX_PUT_ATTEMPTS: Final = 8


@dataclass(frozen=True, slots=True)
class Item:
    """One request of a batch job; `body` is compact JSON."""

    custom_id: str
    url: str
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Return the approximate size before compression."""
        return len(self.body) + len(self.custom_id) + len(self.url)


@dataclass(slots=True)
class FileScan:
    """Findings, totals and contents digest of one pass over a file."""

    max_body_bytes: int
    digest: Any = field(default_factory=hashlib.sha256)
    errors: Errors = field(default_factory=Errors)
    custom_ids: set[str] = field(default_factory=set)
    models: set[str] = field(default_factory=set)
    urls: set[str] = field(default_factory=set)
    items: int = 0
    line: int = 0

    def add_error(self, message: str) -> None:
        """Add a finding for the current line, up to MAX_FINDINGS in all."""
        if len(self.errors.findings) < MAX_FINDINGS:
            self.errors.add(f'line {self.line:06d}', message)

    def add_item(self, item: Item, model: str) -> None:
        """Count a valid item and add it to the digest of the contents."""
        if item.custom_id in self.custom_ids:
            self.add_error(f'custom_id {item.custom_id!r} is not unique')
        self.custom_ids.add(item.custom_id)
        self.models.add(model)
        self.urls.add(item.url)
        self.items += 1
        row = msgpack.packb([item.custom_id, item.url, item.body])
        self.digest.update(row)


def parse_line(raw: bytes) -> tuple[Item, str] | str:
    """Return the item of a line and its model, or why it is invalid."""
    try:
        parsed = json.loads(raw)
    except ValueError:
        return 'is not valid JSON'
    match parsed:
        case {
            'custom_id': str(custom_id),
            'url': str(url),
            'body': {'model': str(model)} as body,
        } if 0 < len(custom_id) <= MAX_CUSTOM_ID_CHARS:
            if parsed.get('method', 'POST') != 'POST':
                return 'method must be POST'
            text = json.dumps(body, separators=(',', ':'))
            return Item(custom_id, url, text.encode()), model
    return 'needs custom_id, url and a body with a model'


def read_lines(source: BinaryIO) -> Iterator[bytes]:
    """Yield the lines of a file, stripped; blank lines come as b''."""
    for line in source:
        yield line.strip()


def scan_chunk(scan: FileScan, lines: Iterator[bytes]) -> bool:
    """Validate the next MAX_SEGMENT_ITEMS lines; False at the end."""
    for _ in range(MAX_SEGMENT_ITEMS):
        raw = next(lines, None)
        if raw is None:
            return False
        scan.line += 1
        if not raw:
            continue
        parsed = parse_line(raw)
        if isinstance(parsed, str):
            scan.add_error(parsed)
        elif len(parsed[0].body) > scan.max_body_bytes:
            scan.add_error(f'body is over {scan.max_body_bytes} bytes')
        else:
            scan.add_item(*parsed)
    return True


def next_items(lines: Iterator[bytes]) -> list[Item]:
    """Return the items of the next segment; empty at the end.

    Blank lines are skipped. The file must have passed `scan_chunk`.
    """
    items: list[Item] = []
    size = 0
    for raw in lines:
        parsed = parse_line(raw) if raw else ''
        if isinstance(parsed, str):
            continue
        items.append(parsed[0])
        size += parsed[0].size_bytes
        if len(items) == MAX_SEGMENT_ITEMS or size >= MAX_SEGMENT_RAW_BYTES:
            break
    return items


def pack_segments(items: list[Item]) -> list[tuple[bytes, int]]:
    """Return compressed segments with their numbers of items.

    Items are split until each segment is within the size limit or holds a
    single item.
    """
    rows = [[item.custom_id, item.url, item.body] for item in items]
    packed = zlib.compress(msgpack.packb(rows), COMPRESSION_LEVEL)
    if len(packed) <= MAX_SEGMENT_BYTES or len(items) == 1:
        return [(packed, len(items))]
    middle = len(items) // 2
    return [*pack_segments(items[:middle]), *pack_segments(items[middle:])]


def next_segments(lines: Iterator[bytes]) -> list[tuple[bytes, int]]:
    """Return the next compressed segments with their numbers of items.

    The list is empty at the end of the file.
    """
    items = next_items(lines)
    return pack_segments(items) if items else []


def unpack_segment(packed: bytes) -> list[Item]:
    """Return the items of a stored segment."""
    rows = msgpack.unpackb(zlib.decompress(packed))
    return [Item(*row) for row in rows]


def segment_name(upload_id: str, number: int, packed: bytes) -> str:
    """Return the name of a stored segment.

    It starts with the upload id and the number, so that the segments of an
    incomplete upload can be found and deleted.
    """
    digest = hashlib.sha256(packed).hexdigest()[: keys.ID_CHARS]
    return f'{upload_id}.{number}.{digest}'


async def put_if_absent(
    store: KeyValueStore,
    key: str,
    contents: bytes,
) -> Result[None, KvError]:
    """Create a key whose name determines its contents, with retries.

    A conflict counts as success, because it means that an earlier attempt
    or another process has created the key. The error is `unknown` when an
    attempt may have taken effect.
    """
    error = KvError('unavailable')
    for _ in range(MAX_PUT_ATTEMPTS):
        written = await store.put_if(key, contents, ABSENT)
        if isinstance(written, Ok) or written.err_value.kind == 'conflict':
            return Ok(None)
        uncertain = error.kind == 'unknown'
        error = written.err_value
        if error.kind == 'too_large':
            break
        if uncertain:
            error = KvError('unknown', error.detail)
        await anyio.sleep(RETRY_PAUSE_S)
    return Err(error)


async def read_segment(
    store: KeyValueStore,
    name: str,
) -> Result[list[Item], KvError]:
    """Return the items of an input segment; fails when it is missing."""
    found = await store.get(keys.input_key(name))
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return Err(KvError('conflict', f'input segment {name} is missing'))
    return Ok(unpack_segment(found.ok_value.value))
