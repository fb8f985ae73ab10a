"""Stores the keys, history and leases of the simulated key-value service.

Every change gets the next revision, as in etcd. The history is bounded; a
watch from a compacted revision is cancelled and its client must reread.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio

HISTORY_BYTES: Final = 67_108_864
EVENT_OVERHEAD_BYTES: Final = 200


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key and its value at one revision."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class KeyEvent:
    """A put or delete; the value of a deleted key is empty."""

    kv: KeyValue
    deleted: bool

    @property
    def size(self) -> int:
        """Return the approximate size of the event in the history, in bytes."""
        return len(self.kv.key) + len(self.kv.value) + EVENT_OVERHEAD_BYTES


@dataclass(slots=True)
class Lease:
    """A lease and the keys attached to it."""

    lease_id: int
    ttl_s: int
    expires_s: float
    keys: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class KvState:
    """Keys, history and leases."""

    now: Callable[[], float] = time.monotonic
    revision: int = 1
    keys: dict[bytes, KeyValue] = field(default_factory=dict)
    history: deque[KeyEvent] = field(default_factory=deque)
    history_bytes: int = 0
    # The history no longer contains changes up to this revision.
    compacted: int = 0
    leases: dict[int, Lease] = field(default_factory=dict)
    next_lease: int = 1000
    changed: anyio.Event = field(default_factory=anyio.Event)

    def select(self, key: bytes, range_end: bytes) -> list[KeyValue]:
        """Return `key`, or all keys in `[key, range_end)` in order."""
        if not range_end:
            found = self.keys.get(key)
            return [found] if found else []
        return [
            self.keys[name]
            for name in sorted(self.keys)
            if in_range(name, key, range_end)
        ]

    def mod_revision(self, key: bytes) -> int:
        """Return the revision of the key's last change; 0 if absent."""
        found = self.keys.get(key)
        return found.mod_revision if found else 0

    def put(self, key: bytes, value: bytes, lease_id: int) -> None:
        """Write a key at the next revision and attach it to its lease."""
        old = self.keys.get(key)
        self.detach_from_lease(old)
        self.revision += 1
        written = KeyValue(
            key,
            value,
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            lease_id,
        )
        self.keys[key] = written
        if lease_id:
            self.leases[lease_id].keys.add(key)
        self.record_event(KeyEvent(written, deleted=False))

    def delete(self, key: bytes) -> bool:
        """Delete a key at the next revision; return False if absent."""
        old = self.keys.pop(key, None)
        if old is None:
            return False
        self.detach_from_lease(old)
        self.revision += 1
        deleted_kv = KeyValue(key, b'', 0, self.revision, 0)
        self.record_event(KeyEvent(deleted_kv, deleted=True))
        return True

    def detach_from_lease(self, old: KeyValue | None) -> None:
        """Detach a key from the lease of its previous value."""
        if old is not None and old.lease in self.leases:
            self.leases[old.lease].keys.discard(old.key)

    def record_event(self, event: KeyEvent) -> None:
        """Append an event to the bounded history and wake all watches."""
        self.history.append(event)
        self.history_bytes += event.size
        while self.history_bytes > HISTORY_BYTES:
            dropped = self.history.popleft()
            self.history_bytes -= dropped.size
            self.compacted = dropped.kv.mod_revision
        self.changed.set()
        self.changed = anyio.Event()

    def events_from(self, revision: int) -> list[KeyEvent]:
        """Return the changes at or after a revision, oldest first."""
        found = []
        for event in reversed(self.history):
            if event.kv.mod_revision < revision:
                break
            found.append(event)
        found.reverse()
        return found

    def grant(self, ttl_s: int) -> Lease:
        """Grant a lease and return it."""
        self.next_lease += 1
        lease = Lease(self.next_lease, ttl_s, self.now() + ttl_s)
        self.leases[lease.lease_id] = lease
        return lease

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease; return its TTL in seconds, 0 if it has expired."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_s = self.now() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> bool:
        """Revoke a lease and delete its keys; return False if unknown."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return False
        for key in sorted(lease.keys):
            self.delete(key)
        return True

    def expire_leases(self, early_s: float = 0) -> list[int]:
        """Revoke the expired leases and return their ids.

        `early_s` injects a fault: leases expire that long too early.
        """
        due_s = self.now() + early_s
        expired = [
            lease.lease_id
            for lease in self.leases.values()
            if lease.expires_s <= due_s
        ]
        for lease_id in expired:
            self.revoke(lease_id)
        return expired


def in_range(name: bytes, key: bytes, range_end: bytes) -> bool:
    """Return whether `name` is in a range; an end of `\\0` is unbounded."""
    if name < key:
        return False
    return range_end == b'\0' or name < range_end
