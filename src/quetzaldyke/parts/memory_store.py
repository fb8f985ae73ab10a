"""Key-value store in memory, for embedding and tests.

It behaves like the platform's service without faults: one revision counter,
compare-and-set by revision, leases and watches.
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import anyio
from result import Err, Ok, Result

from quetzaldyke.parts.kv import (
    ABSENT,
    MAX_VALUE_BYTES,
    Change,
    KvError,
    Record,
)


@dataclass(slots=True)
class MemoryLease:
    """A lease and the keys attached to it."""

    ttl_s: int
    expires_s: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class MemoryStore:
    """In-memory implementation of `KeyValueStore`.

    >>> store = MemoryStore()
    >>> anyio.run(store.put_if, 'a', b'1', 0)
    Ok(1)
    >>> anyio.run(store.put_if, 'a', b'2', 0)
    Err(KvError(kind='conflict', detail='a: not at 0'))
    >>> anyio.run(store.get, 'a')
    Ok(Record(key='a', value=b'1', revision=1))
    """

    now: Callable[[], float] = time.monotonic
    revision: int = 0
    records: dict[str, Record] = field(default_factory=dict)
    changes: list[Change] = field(default_factory=list)
    leases: dict[int, MemoryLease] = field(default_factory=dict)
    next_lease_id: int = 1
    changed: anyio.Event | None = None

    async def get(self, key: str) -> Result[Record | None, KvError]:
        """Return the record of a key, or None if the key does not exist."""
        self.expire_leases()
        return Ok(self.records.get(key))

    async def list_prefix(self, prefix: str) -> Result[list[Record], KvError]:
        """Return the records of all keys that start with the prefix."""
        self.expire_leases()
        names = sorted(name for name in self.records if name.startswith(prefix))
        return Ok([self.records[name] for name in names])

    async def put_if(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease_id: int = 0,
    ) -> Result[int, KvError]:
        """Write if the key has the given revision; return the new revision.

        Fails with `conflict` at any other revision or for an unknown lease,
        and with `too_large` for a value above the limit.
        """
        self.expire_leases()
        if len(value) > MAX_VALUE_BYTES:
            return Err(KvError('too_large', f'{key}: {len(value)} bytes'))
        if lease_id and lease_id not in self.leases:
            return Err(KvError('conflict', f'no lease {lease_id}'))
        if self.revision_of(key) != revision:
            return Err(KvError('conflict', f'{key}: not at {revision}'))
        self.detach_from_lease(key)
        self.revision += 1
        self.records[key] = Record(key, value, self.revision)
        if lease_id:
            self.leases[lease_id].keys.add(key)
        self.publish_change(Change(self.records[key], deleted=False))
        return Ok(self.revision)

    async def delete_if(
        self,
        key: str,
        revision: int,
    ) -> Result[None, KvError]:
        """Delete the key if it has the given revision.

        Fails with `conflict` at any other revision.
        """
        self.expire_leases()
        if self.revision_of(key) != revision:
            return Err(KvError('conflict', f'{key}: not at {revision}'))
        self.delete_key(key)
        return Ok(None)

    async def grant_lease(self, ttl_s: int) -> Result[int, KvError]:
        """Create a lease and return its id."""
        lease_id = self.next_lease_id
        self.next_lease_id += 1
        self.leases[lease_id] = MemoryLease(ttl_s, self.now() + ttl_s)
        return Ok(lease_id)

    async def keep_alive(self, lease_id: int) -> Result[bool, KvError]:
        """Extend a lease; return False if it has already lapsed."""
        self.expire_leases()
        lease = self.leases.get(lease_id)
        if lease is None:
            return Ok(False)
        lease.expires_s = self.now() + lease.ttl_s
        return Ok(True)

    async def revoke(self, lease_id: int) -> Result[None, KvError]:
        """End a lease and delete its keys."""
        lease = self.leases.pop(lease_id, None)
        if lease is not None:
            for key in sorted(lease.keys):
                self.delete_key(key)
        return Ok(None)

    async def watch(
        self,
        prefix: str,
        after_revision: int,
    ) -> AsyncIterator[Change]:
        """Yield the changes after a revision, without end."""
        last_revision = after_revision
        while True:
            changed = self.change_event()
            for change in list(self.changes):
                if change.record.revision <= last_revision:
                    continue
                if change.record.key.startswith(prefix):
                    yield change
            last_revision = max(last_revision, self.revision)
            await changed.wait()

    def change_event(self) -> anyio.Event:
        """Return the event that is set by the next change."""
        if self.changed is None:
            self.changed = anyio.Event()
        return self.changed

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, or `ABSENT` if it does not exist."""
        record = self.records.get(key)
        return record.revision if record else ABSENT

    def delete_key(self, key: str) -> None:
        """Delete a key and publish the change, if the key exists."""
        if self.records.pop(key, None) is None:
            return
        self.detach_from_lease(key)
        self.revision += 1
        deleted_record = Record(key, b'', self.revision)
        self.publish_change(Change(deleted_record, deleted=True))

    def detach_from_lease(self, key: str) -> None:
        """Detach a key from its lease."""
        for lease in self.leases.values():
            lease.keys.discard(key)

    def publish_change(self, change: Change) -> None:
        """Append a change to the history and wake the watches."""
        self.changes.append(change)
        if self.changed is not None:
            self.changed.set()
            self.changed = None

    def expire_leases(self) -> None:
        """Remove the expired leases and delete their keys."""
        now_s = self.now()
        expired_ids = [
            lease_id
            for lease_id, lease in self.leases.items()
            if lease.expires_s <= now_s
        ]
        for lease_id in expired_ids:
            for key in sorted(self.leases.pop(lease_id).keys):
                self.delete_key(key)
