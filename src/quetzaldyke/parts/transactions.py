"""Interface of a key-value service with transactions over several keys.

In addition to `parts/kv.py`, a transaction is applied atomically, and a watch
returns the revision up to which it is complete, so that a process can wait
until it has seen a given write.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final, Protocol

from result import Result

from quetzaldyke.parts.kv import KvError, Record

DEFAULT_VALUE_BYTES: Final = 1_048_576
MAX_KEY_BYTES: Final = 200
MAX_ENTRIES: Final = 32


@dataclass(frozen=True, slots=True)
class Put:
    """One value to write; with a lease id of 0 it does not expire."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied only if every condition holds."""

    # Revision by key; 0 means that the key does not exist.
    conditions: dict[str, int] = field(default_factory=dict)
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TransactionLimits:
    """The largest transaction that the service takes.

    The service refuses a larger one each time, so it is not worth a call.
    """

    value_bytes: int = DEFAULT_VALUE_BYTES
    key_bytes: int = MAX_KEY_BYTES
    # Conditions, writes and deletions together.
    entries: int = MAX_ENTRIES

    def excess(self, transaction: Transaction) -> str:
        """Return which limit a transaction exceeds; empty if it fits.

        >>> TransactionLimits(value_bytes=3).excess(
        ...     Transaction(puts=(Put('k', b'four'),))
        ... )
        'k: a value of 4 bytes, 3 are allowed'
        """
        keys = [put.key for put in transaction.puts]
        keys.extend(transaction.deletes)
        entries = len(transaction.conditions) + len(keys)
        if entries > self.entries:
            return f'{entries} entries, {self.entries} are allowed'
        for key in keys:
            size = len(key.encode())
            if size > self.key_bytes:
                return f'a key of {size} bytes, {self.key_bytes} are allowed'
        for put in transaction.puts:
            if len(put.value) > self.value_bytes:
                return (
                    f'{put.key}: a value of {len(put.value)} bytes, '
                    f'{self.value_bytes} are allowed'
                )
        return ''


DEFAULT_LIMITS: Final = TransactionLimits()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Records under a prefix, complete up to a revision."""

    records: list[Record]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchedChange:
    """One change; `value` is None if the key was deleted."""

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes in order, and the revision to continue from."""

    changes: list[WatchedChange]
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A granted lease with its time to live."""

    lease_id: int
    ttl_s: float


class TransactionalStore(Protocol):
    """Calls of the service; each returns within a bounded time."""

    async def get(
        self,
        key: str,
        *,
        stale: bool = False,
    ) -> Result[Record | None, KvError]:
        """Return the record of a key, or None if the key does not exist.

        A stale read is cheaper and may be seconds old.
        """

    async def list_prefix(self, prefix: str) -> Result[Snapshot, KvError]:
        """Return the records of all keys that start with the prefix."""

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
    ) -> Result[WatchBatch, KvError]:
        """Wait up to `wait_s` for changes after a revision."""

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[int, KvError]:
        """Apply a transaction and return its revision.

        Fails with `too_large` if the service can never take it.
        """

    async def grant_lease(self, ttl_s: float) -> Result[Lease, KvError]:
        """Create a lease and return it."""

    async def renew_lease(self, lease_id: int) -> Result[None, KvError]:
        """Extend a lease; fail with `no_lease` if it has lapsed."""

    async def revoke_lease(self, lease_id: int) -> Result[None, KvError]:
        """End a lease and delete its keys."""
