"""Interface of a key-value service with transactions over several keys.

In addition to `parts/kv.py`, a transaction is applied atomically, and a watch
returns the revision up to which it is complete, so that a process can wait
until it has seen a given write.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from result import Result

from quetzaldyke.parts.kv import KvError, Record


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
        """Apply a transaction and return its revision."""

    async def grant_lease(self, ttl_s: float) -> Result[Lease, KvError]:
        """Create a lease and return it."""

    async def renew_lease(self, lease_id: int) -> Result[None, KvError]:
        """Extend a lease; fail with `no_lease` if it has lapsed."""

    async def revoke_lease(self, lease_id: int) -> Result[None, KvError]:
        """End a lease and delete its keys."""
