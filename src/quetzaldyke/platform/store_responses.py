"""Decodes the responses of the platform's store.

A response of another form than expected fails its call as `unknown`; it
never raises.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import orjson
from result import Err, Ok, Result

from quetzaldyke.gateway.exchange import ResponseHead
from quetzaldyke.parts.kv import KvError, Record
from quetzaldyke.parts.transactions import (
    Lease,
    Snapshot,
    WatchBatch,
    WatchedChange,
)

T = TypeVar('T')

MS_IN_S: Final = 1000
STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_GONE: Final = 410
STATUS_CONDITION_FAILED: Final = 412
STATUS_TOO_LARGE: Final = 413
LOGGED_BODY_BYTES: Final = 200


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """Status and decoded JSON body of a response."""

    status: int
    body: Any


def decode_response(
    head: ResponseHead, raw: bytes
) -> Result[StoreResponse, KvError]:
    """Decode the body of a response; fail on an unexpected status."""
    if head.status == STATUS_TOO_LARGE:
        return Err(KvError('too_large', raw.decode('utf-8', 'replace')))
    expected = {
        STATUS_OK,
        STATUS_NOT_FOUND,
        STATUS_GONE,
        STATUS_CONDITION_FAILED,
    }
    if head.status not in expected:
        return Err(
            KvError(
                'unknown', f'status {head.status}: {raw[:LOGGED_BODY_BYTES]!r}'
            )
        )
    try:
        body = orjson.loads(raw) if raw else None
    except ValueError as exc:
        return Err(KvError('unknown', f'response is not valid JSON: {exc}'))
    return Ok(StoreResponse(head.status, body))


def decode_body(
    response: StoreResponse,
    decode: Callable[[Any], T],
) -> Result[T, KvError]:
    """Decode the body of a successful call; `unknown` if it is malformed."""
    if response.status != STATUS_OK:
        return Err(KvError('unknown', f'unexpected status {response.status}'))
    try:
        return Ok(decode(response.body))
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return Err(KvError('unknown', f'malformed response: {exc!r}'))


def decode_record(row: Any) -> Record:
    """Decode one stored item."""
    return Record(
        str(row['key']),
        base64.b64decode(row['value'], validate=True),
        int(row['revision']),
    )


def decode_page(body: Any) -> tuple[Snapshot, bool]:
    """Decode a page of items, and whether more follow."""
    records = [decode_record(row) for row in body['items']]
    page = Snapshot(records, int(body['store-revision']))
    return page, bool(body['has-more'])


def decode_batch(body: Any) -> WatchBatch:
    """Decode the events of a watch call."""
    changes = [decode_change(row) for row in body['events']]
    return WatchBatch(changes, int(body['store-revision']))


def decode_revision(body: Any) -> int:
    """Decode the revision of an applied transaction."""
    return int(body['revision'])


def decode_lease(body: Any) -> Lease:
    """Decode a granted lease."""
    return Lease(int(body['lease']), float(body['ttl-ms']) / MS_IN_S)


def decode_change(row: Any) -> WatchedChange:
    """Decode one event of a watch; a tombstone has the value None."""
    if row.get('tombstone'):
        return WatchedChange(str(row['key']), int(row['revision']), None)
    record = decode_record(row)
    return WatchedChange(record.key, record.revision, record.value)
