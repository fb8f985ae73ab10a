"""Interface of a key-value service with transactions over several keys.

The wider sibling of `parts/kv.py`: a transaction is applied whole or not at
all, and a watch tells up to which revision it has seen everything, so that
a process can wait until it has seen a named write.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from result import Result

from quetzaldyke.parts.kv import KvError, Record


@dataclass(frozen=True, slots=True)
class Put:
    """One value to write; a lease id of 0 means that it stays."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that apply only while every condition holds."""

    # Revision by key; 0 means that the key does not exist.
    conditions: dict[str, int] = field(default_factory=dict)
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Records under a prefix and the revision up to which they are known."""

    records: list[Record]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchedChange:
    """One change; `value` is None when the key was deleted."""

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
    """A granted lease."""

    lease_id: int
    ttl_s: float


class TransactionalStore(Protocol):
    """Calls of the service; all of them end within a bounded time."""

    async def get(
        self,
        key: str,
        *,
        stale: bool = False,
    ) -> Result[Record | None, KvError]:
        """Read one key; a stale read is cheap and may be seconds old."""

    async def list_prefix(self, prefix: str) -> Result[Snapshot, KvError]:
        """Read all keys that start with the prefix."""

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_s: float,
    ) -> Result[WatchBatch, KvError]:
        """Wait for changes after a revision."""

    async def transact(
        self,
        transaction: Transaction,
    ) -> Result[int, KvError]:
        """Apply a transaction and return its revision."""

    async def grant_lease(self, ttl_s: float) -> Result[Lease, KvError]:
        """Create a lease."""

    async def renew_lease(self, lease_id: int) -> Result[None, KvError]:
        """Extend a lease; `no_lease` when it has lapsed."""

    async def revoke_lease(self, lease_id: int) -> Result[None, KvError]:
        """End a lease and delete its keys."""
