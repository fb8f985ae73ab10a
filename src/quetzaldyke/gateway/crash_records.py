"""Keeps what crashes endpoints in the store, so that a restart forgets nothing.

Load pattern: entries are killed and restarted, one by one or all at once,
while requests that crash endpoints keep coming. The reports between entries
are datagrams, which a starting entry has missed.

For each quarantined trait the entry that ranks first for it writes a record,
and deletes it when the trait is no longer quarantined. An entry that serves a
request with the trait also deletes it. All entries watch the records with the
rest of the fleet's keys.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Final

import msgpack
from result import Err

from quetzaldyke.gateway.crashes import CrashTracker
from quetzaldyke.gateway.guarded import call_guarded, describe_fault
from quetzaldyke.gateway.job_records import FLEET_PREFIX
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.parts.crash_causes import Trait
from quetzaldyke.parts.rendezvous import first_for
from quetzaldyke.parts.transactions import (
    Put,
    Snapshot,
    Transaction,
    TransactionalStore,
    WatchedChange,
)

SUSPECT_PREFIX: Final = f'{FLEET_PREFIX}suspect/'
NAME_DIGEST_BYTES: Final = 8
# Entries of one transaction; the rest is written in the next step.
MAX_WRITES: Final = 32
# Pause after a failed write.
RETRY_DELAY_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class QuarantineRecord:
    """A quarantined trait, and each crash: lifetime, whether late."""

    trait: Trait
    crashes: tuple[tuple[str, bool], ...]

    @classmethod
    def unpack(cls, raw: bytes) -> QuarantineRecord:
        """Decode a stored record.

        Raises `ValueError`, `TypeError` or `OverflowError` if it is malformed.
        """
        key, specificity, rows = msgpack.unpackb(raw)
        return cls(
            Trait(str(key), int(specificity)),
            tuple((str(lifetime), bool(late)) for lifetime, late in rows),
        )

    def pack(self) -> bytes:
        """Encode for storage."""
        row = [self.trait.key, self.trait.specificity, self.crashes]
        return bytes(msgpack.packb(row))


def record_name(trait_key: str) -> str:
    """Return the last part of the store's key; traits contain any text."""
    digest = hashlib.blake2b(trait_key.encode(), digest_size=NAME_DIGEST_BYTES)
    return digest.hexdigest()


@dataclass(slots=True)
class CrashRecords:
    """Reads and writes the records of quarantined traits."""

    own_id: str
    store: TransactionalStore
    tracker: CrashTracker
    now: Callable[[], float]
    # Returns the ids of the running entries.
    members: Callable[[], Collection[str]]
    # Records in the store by name.
    stored: dict[str, QuarantineRecord] = field(default_factory=dict)
    # Set once the records have been read.
    loaded: bool = False
    retry_at_s: float = 0.0

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a full listing of the fleet's keys."""
        present = {record.key for record in snapshot.records}
        for name in list(self.stored):
            if f'{SUSPECT_PREFIX}{name}' not in present:
                self.apply(name, None)
        for record in snapshot.records:
            self.apply_key(record.key, record.value)
        self.loaded = True

    def apply_changes(self, changes: Collection[WatchedChange]) -> None:
        """Apply watched changes of the fleet's keys."""
        for change in changes:
            self.apply_key(change.key, change.value)

    def apply_key(self, key: str, value: bytes | None) -> None:
        """Apply one key; a fault is logged and left to this key."""
        name = key.removeprefix(SUSPECT_PREFIX)
        if name == key:
            return
        try:
            record = None if value is None else QuarantineRecord.unpack(value)
        except (ValueError, TypeError, OverflowError) as exc:
            log_event('record_unreadable', key=key, fault=describe_fault(exc))
            return
        call_guarded(self.apply, name, record)

    def apply(self, name: str, record: QuarantineRecord | None) -> None:
        """Adopt a verdict, or withdraw it if its record was deleted."""
        if record is not None:
            self.stored[name] = record
            self.tracker.confirm(record.trait, record.crashes)
            return
        known = self.stored.pop(name, None)
        if known is not None:
            self.tracker.withdraw(known.trait.key)

    def wanted(self) -> dict[str, QuarantineRecord]:
        """Return the records of the traits that are quarantined."""
        quarantine = self.tracker.quarantine
        records = {}
        for key in quarantine.quarantined:
            known = quarantine.evidence[key]
            crashes = sorted(
                (one.lifetime, one.late) for one in known.uncleared()
            )
            trait = Trait(key, known.specificity)
            records[record_name(key)] = QuarantineRecord(trait, tuple(crashes))
        return records

    def next_transaction(self) -> Transaction | None:
        """Return the writes that are this entry's to make, or None."""
        if not self.tracker.quarantine.quarantined and not self.stored:
            return None
        members = self.members()
        wanted = self.wanted()
        released = {record_name(key) for key in self.tracker.released}
        self.tracker.released.clear()
        puts = [
            Put(f'{SUSPECT_PREFIX}{name}', record.pack())
            for name, record in wanted.items()
            if self.stored.get(name) != record
            and first_for(members, name) == self.own_id
        ]
        deletes = [
            f'{SUSPECT_PREFIX}{name}'
            for name in self.stored
            if name not in wanted
            and (name in released or first_for(members, name) == self.own_id)
        ]
        if not puts and not deletes:
            return None
        writes = puts[:MAX_WRITES]
        return Transaction(
            {}, tuple(writes), tuple(deletes[: MAX_WRITES - len(writes)])
        )

    async def write(self) -> None:
        """Write and delete records until they match the quarantined traits.

        A failed write is repeated after a pause.
        """
        if not self.loaded or self.now() < self.retry_at_s:
            return
        transaction = self.next_transaction()
        if transaction is None:
            return
        written = await self.store.transact(transaction)
        if isinstance(written, Err):
            self.retry_at_s = self.now() + RETRY_DELAY_S
        log_event(
            'blame_records_written',
            puts=len(transaction.puts),
            deletes=len(transaction.deletes),
            outcome=str(written.err_value)
            if isinstance(written, Err)
            else 'ok',
        )
