"""Atomic read-modify-write of one record in the key-value service."""

from __future__ import annotations

from collections.abc import Callable

from result import Result

from quetzaldyke.durable.records import RecordT, pack, unpack
from quetzaldyke.parts.kv import KeyValueStore, KvError, Refused, swap

# Gets the current record, or None when there is none, and returns the new
# record or a refusal. It is called again after a write conflict.
Edit = Callable[[RecordT | None], RecordT | Refused[str]]


async def change_record(
    store: KeyValueStore,
    key: str,
    record_type: type[RecordT],
    edit: Edit[RecordT],
) -> Result[RecordT, KvError | Refused[str]]:
    """Replace a record by what `edit` returns and return the new record.

    Nothing is written when `edit` refuses.
    """

    def change(payload: bytes) -> bytes | Refused[str]:
        current = unpack(record_type, payload) if payload else None
        edited = edit(current)
        return edited if isinstance(edited, Refused) else pack(edited)

    written = await swap(store, key, change)
    return written.map(lambda stored: unpack(record_type, stored.payload))
