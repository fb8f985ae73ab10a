"""Replaces one record of the key-value service by an edited one."""

from __future__ import annotations

from collections.abc import Callable

from result import Result

from quetzaldyke.durable.records import RecordT, pack, unpack
from quetzaldyke.parts.kv import KeyValueStore, KvError, Refused, swap

# Gets the record, or None when there is none; may be called again after a
# conflict.
Edit = Callable[[RecordT | None], RecordT | Refused[str]]


async def change_record(
    store: KeyValueStore,
    key: str,
    record_type: type[RecordT],
    edit: Edit[RecordT],
) -> Result[RecordT, KvError | Refused[str]]:
    """Replace a record by what `edit` makes of it."""

    def change(payload: bytes) -> bytes | Refused[str]:
        known = unpack(record_type, payload) if payload else None
        edited = edit(known)
        return edited if isinstance(edited, Refused) else pack(edited)

    written = await swap(store, key, change)
    return written.map(lambda stored: unpack(record_type, stored.payload))
