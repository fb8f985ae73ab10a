"""In-memory key-value store for batch tests.

It counts writes, reports them to observers and injects faults.
"""

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
    """The data of the store, shared by all clients."""

    records: dict[str, Record] = field(default_factory=dict)
    revision: int = 0
    writes: Counter[str] = field(default_factory=Counter)
    observers: list[Observer] = field(default_factory=list)

    def apply(self, key: str, value: bytes, revision: int) -> KvError | int:
        """Write a key if its revision is `revision`; return the new one."""
        current = self.records.get(key)
        if (current.revision if current else 0) != revision:
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

    Leases and watches are left out, since batch jobs use neither.
    """

    shared: SharedStore
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    down: bool = False
    fault_rate: float = 0.0
    resume_event: anyio.Event | None = None
    # Outcomes of the next writes. 'lost': applied, but the answer is lost;
    # 'dropped': not applied, with an unknown outcome; 'lost and down': lost,
    # and the store stays unavailable to this client; 'ok': no fault.
    write_outcomes: list[str] = field(default_factory=list)

    async def before_call(self) -> KvError | None:
        """Delay a call by the network latency and while the process is paused."""
        await anyio.sleep(0.001 + self.rng.random() * 0.004)
        while self.resume_event is not None:
            await self.resume_event.wait()
        if self.down or self.rng.random() < self.fault_rate / 2:
            return KvError('unavailable')
        return None

    async def get(self, key: str) -> Result[Record | None, KvError]:
        """Read one key."""
        failed = await self.before_call()
        return Err(failed) if failed else Ok(self.shared.records.get(key))

    async def list_prefix(self, prefix: str) -> Result[list[Record], KvError]:
        """Read all keys with a prefix."""
        failed = await self.before_call()
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
        """Write a key; the write or its answer may get lost."""
        failed = await self.before_call()
        if failed:
            return Err(failed)
        outcome = self.write_outcomes.pop(0) if self.write_outcomes else 'ok'
        if self.rng.random() < self.fault_rate:
            outcome = self.rng.choice(('lost', 'dropped'))
        if outcome == 'dropped':
            return Err(KvError('unknown'))
        applied = self.shared.apply(key, value, revision)
        self.down = self.down or outcome == 'lost and down'
        if outcome in {'lost', 'lost and down'}:
            return Err(KvError('unknown'))
        return Err(applied) if isinstance(applied, KvError) else Ok(applied)

    async def delete_if(
        self,
        key: str,
        revision: int,
    ) -> Result[None, KvError]:
        """Delete a key if its revision is `revision`."""
        failed = await self.before_call()
        if failed:
            return Err(failed)
        current = self.shared.records.get(key)
        if current is None or current.revision != revision:
            return Err(KvError('conflict'))
        self.shared.records.pop(key)
        return Ok(None)
