"""The keys, transactions, leases and history of the simulated store."""

from __future__ import annotations

import base64
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import anyio

HISTORY_EVENTS: Final = 5_000
VALUE_BYTES: Final = 1_048_576
KEY_BYTES: Final = 200
TRANSACTION_ENTRIES: Final = 32


@dataclass(slots=True)
class StoredItem:
    """The value of a key, with its revisions and lease."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class StoredEvent:
    """A change in the history; `item` is None for a deletion."""

    key: str
    revision: int
    item: StoredItem | None


@dataclass(slots=True)
class StoreLease:
    """A lease with its TTL and expiry time."""

    ttl_s: float
    expires_s: float


@dataclass(slots=True)
class StoreState:
    """The keys, history and leases of the store.

    >>> state = StoreState()
    >>> state.put('a', b'1', 0), state.put('b', b'2', 0)
    (1, 2)
    >>> [event.key for event in state.events_after('b', 0)]
    ['b']
    """

    now: Callable[[], float] = time.monotonic
    items: dict[str, StoredItem] = field(default_factory=dict)
    events: list[StoredEvent] = field(default_factory=list)
    leases: dict[int, StoreLease] = field(default_factory=dict)
    revision: int = 0
    next_lease: int = 1
    # The history no longer contains changes up to this revision.
    compacted: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)
    value_bytes: int = VALUE_BYTES

    def put(self, key: str, value: bytes, lease: int) -> int:
        """Write a key at the next revision and return that revision."""
        self.revision += 1
        self.write(key, value, lease)
        return self.revision

    def write(self, key: str, value: bytes, lease: int) -> None:
        """Write a key at the current revision."""
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = StoredItem(value, self.revision, created, lease)
        self.items[key] = item
        self.record_event(StoredEvent(key, self.revision, item))

    def remove(self, key: str) -> None:
        """Delete a key at the current revision, if it exists."""
        if self.items.pop(key, None) is not None:
            self.record_event(StoredEvent(key, self.revision, None))

    def record_event(self, event: StoredEvent) -> None:
        """Append an event to the bounded history and wake all watches."""
        self.events.append(event)
        if len(self.events) > HISTORY_EVENTS:
            self.compacted = self.events.pop(0).revision
        self.changed.set()
        self.changed = anyio.Event()

    def discard_history(self) -> None:
        """Compact the whole history and wake all watches."""
        self.events.clear()
        self.compacted = self.revision
        self.changed.set()
        self.changed = anyio.Event()

    def events_after(self, prefix: str, after: int) -> list[StoredEvent]:
        """Return the retained changes of a prefix after a revision."""
        return [
            event
            for event in self.events
            if event.revision > after and event.key.startswith(prefix)
        ]

    def grant(self, ttl_s: float) -> int:
        """Grant a lease."""
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = StoreLease(ttl_s, self.now() + ttl_s)
        return lease

    def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete its keys at one revision."""
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.remove(key)

    def expire_leases(self) -> None:
        """Revoke the expired leases."""
        now_s = self.now()
        for lease, held in list(self.leases.items()):
            if held.expires_s <= now_s:
                self.revoke_lease(lease)

    def transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction and return the HTTP status and body.

        Returns 413 if it is too large, 412 with the existing keys if a
        revision differs, and 404 if a lease is unknown; none of these changes
        anything.
        """
        rows = call.get('if-rev', [])
        if self.exceeds_limits(call):
            return 413, {'error': 'too large'}
        if any(self.revision_of(row['key']) != row['revision'] for row in rows):
            known = [row['key'] for row in rows if row['key'] in self.items]
            return 412, {'items': [self.render(key) for key in known]}
        puts = call.get('puts', [])
        wanted = {put.get('lease', 0) for put in puts} - {0}
        if wanted - self.leases.keys():
            return 404, {'error': 'no such lease'}
        self.revision += 1
        for put in puts:
            value = base64.b64decode(put['value'], validate=True)
            self.write(put['key'], value, put.get('lease', 0))
        for key in call.get('deletes', []):
            self.remove(key)
        return 200, {'revision': self.revision}

    def exceeds_limits(self, call: dict[str, Any]) -> bool:
        """Return whether a transaction is too large for the store."""
        puts = call.get('puts', [])
        keys = [put['key'] for put in puts] + call.get('deletes', [])
        entries = len(call.get('if-rev', [])) + len(keys)
        return (
            entries > TRANSACTION_ENTRIES
            or any(len(key.encode()) > KEY_BYTES for key in keys)
            or any(
                len(base64.b64decode(put['value'])) > self.value_bytes
                for put in puts
            )
        )

    def revision_of(self, key: str) -> int:
        """Return the revision of a key; 0 if it does not exist."""
        item = self.items.get(key)
        return item.revision if item else 0

    def render(self, key: str) -> dict[str, Any]:
        """Return a key in the JSON format of the protocol."""
        return render_item(key, self.items[key])


def render_item(key: str, item: StoredItem) -> dict[str, Any]:
    """Return an item in the JSON format of the protocol."""
    return {
        'key': key,
        'value': base64.b64encode(item.value).decode('ascii'),
        'revision': item.revision,
        'created': item.created,
        'lease': item.lease,
    }


def render_event(event: StoredEvent) -> dict[str, Any]:
    """Return a change in the JSON format; a deletion is a tombstone."""
    if event.item is not None:
        return render_item(event.key, event.item)
    return {'key': event.key, 'revision': event.revision, 'tombstone': True}
