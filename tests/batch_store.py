"""Key-value store for batch tests: counts, faults and a history of writes."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from result import Err, Ok, Result

from quetzaldyke.parts.kv import KvError, Record

Observer = Callable[[str, bytes], None]


@dataclass
class SharedStore:
    """The one copy of the data that all clients see."""

    records: dict[str, Record] = field(default_factory=dict)
    revision: int = 0
    writes: Counter[str] = field(default_factory=Counter)
    observers: list[Observer] = field(default_factory=list)

    def apply(self, key: str, value: bytes, revision: int) -> KvError | int:
        """Write one key if its revision is as given."""
        known = self.records.get(key)
        if (known.revision if known else 0) != revision:
            return KvError('conflict')
        if len(value) > 1_000_000:
            return KvError('too_large')
        self.revision += 1
        self.writes[key.split('/')[0]] += 1
        self.records[key] = Record(key, value, self.revision)
        for observe in self.observers:
            observe(key, value)
        return self.revision


@dataclass
class StoreClient:
    """Connection of one entry to the store, with its own faults.

    Batch work uses neither leases nor watches.
    """

    shared: SharedStore
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    down: bool = False
    fault_rate: float = 0.0
    gate: anyio.Event | None = None
    # Fates of the next writes: 'ok', 'lost', 'dropped', 'lost and down'.
    script: list[str] = field(default_factory=list)

    async def enter(self) -> KvError | None:
        """Wait for the network and for a paused process."""
        await anyio.sleep(0.001 + self.rng.random() * 0.004)
        while self.gate is not None:
            await self.gate.wait()
        if self.down or self.rng.random() < self.fault_rate / 2:
            return KvError('unavailable')
        return None

    async def get(self, key: str) -> Result[Record | None, KvError]:
        """Read one key."""
        failed = await self.enter()
        return Err(failed) if failed else Ok(self.shared.records.get(key))

    async def list_prefix(self, prefix: str) -> Result[list[Record], KvError]:
        """Read all keys with a prefix."""
        failed = await self.enter()
        if failed:
            return Err(failed)
        found = sorted(self.shared.records.items())
        return Ok([one for key, one in found if key.startswith(prefix)])

    async def put_if(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease_id: int = 0,
    ) -> Result[int, KvError]:
        """Write, with an answer that may get lost."""
        failed = await self.enter()
        if failed:
            return Err(failed)
        fate = self.script.pop(0) if self.script else 'ok'
        if self.rng.random() < self.fault_rate:
            fate = self.rng.choice(('lost', 'dropped'))
        if fate == 'dropped':
            return Err(KvError('unknown'))
        applied = self.shared.apply(key, value, revision)
        self.down = self.down or fate == 'lost and down'
        if fate in {'lost', 'lost and down'}:
            return Err(KvError('unknown'))
        return Err(applied) if isinstance(applied, KvError) else Ok(applied)

    async def delete_if(
        self,
        key: str,
        revision: int,
    ) -> Result[None, KvError]:
        """Delete one key."""
        failed = await self.enter()
        if failed:
            return Err(failed)
        known = self.shared.records.get(key)
        if known is None or known.revision != revision:
            return Err(KvError('conflict'))
        self.shared.records.pop(key)
        return Ok(None)
