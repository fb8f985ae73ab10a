"""Key-value store with planned faults, for tests."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import Final

import anyio
from hypothesis import strategies as st
from result import Err, Result

from quetzaldyke.parts.kv import Envelope, KvError, Record
from quetzaldyke.parts.memory_store import MemoryStore

# Faults of one call. A late write returns `unknown` and is applied some calls
# later if its revision still matches.
READ_FAULTS: Final = ('ok', 'unavailable', 'unknown')
WRITE_FAULTS: Final = (
    'ok',
    'unavailable',
    'lost',
    'dropped',
    'late',
    'later',
    'latest',
    'rival',
    'rivals',
)
CANCEL_FAULTS: Final = ('cancel', 'cancel_after')
LATE_CALLS: Final = {'late': 1, 'later': 3, 'latest': 100}
RIVALS: Final = {'rival': 1, 'rivals': 40}

current_scope: ContextVar[anyio.CancelScope | None] = ContextVar(
    'current_scope',
    default=None,
)

read_plans = st.lists(st.sampled_from(READ_FAULTS), max_size=24)
write_plans = st.lists(st.sampled_from(WRITE_FAULTS), max_size=24)
# Also with cancellations of the calling task.
cancel_plans = st.lists(
    st.sampled_from(WRITE_FAULTS + CANCEL_FAULTS),
    max_size=24,
)


@dataclass(slots=True)
class FaultyStore(MemoryStore):
    """Memory store with a planned fault per call, then none."""

    read_plan: deque[str] = field(default_factory=deque)
    write_plan: deque[str] = field(default_factory=deque)
    # Delayed writes, each with the number of calls before it is applied.
    delayed: list[tuple[int, Callable[[], Awaitable[object]]]] = field(
        default_factory=list,
    )
    faults_seen: set[str] = field(default_factory=set)
    rivals: int = 0

    def plan(self, reads: list[str], writes: list[str]) -> None:
        """Set the faults of the next reads and writes."""
        self.read_plan = deque(reads)
        self.write_plan = deque(writes)

    async def get(self, key: str) -> Result[Record | None, KvError]:
        """Read, or fail with the next planned fault."""
        await self.advance()
        fault = self.read_plan.popleft() if self.read_plan else 'ok'
        if fault == 'unavailable':
            return Err(KvError('unavailable'))
        if fault == 'hang':
            await anyio.sleep_forever()
        if fault == 'unknown':
            return Err(KvError('unknown'))
        return await MemoryStore.get(self, key)

    async def put_if(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease_id: int = 0,
    ) -> Result[int, KvError]:
        """Write, or fail with the next planned fault."""
        await self.advance()
        fault = self.write_plan.popleft() if self.write_plan else 'ok'
        self.faults_seen.add(fault)

        async def apply() -> Result[int, KvError]:
            return await MemoryStore.put_if(self, key, value, revision)

        if fault in RIVALS:
            await self.write_as_rivals(key, RIVALS[fault])
        if fault == 'unavailable':
            return Err(KvError('unavailable'))
        if fault == 'cancel':
            await cancel_task()
        if fault in LATE_CALLS:
            self.delayed.append((LATE_CALLS[fault], apply))
        elif fault != 'dropped':
            answer = await apply()
            if fault == 'cancel_after':
                await cancel_task()
            if fault == 'hang':
                await anyio.sleep_forever()
            if fault != 'lost':
                return answer
        return Err(KvError('unknown'))

    async def advance(self) -> None:
        """Let other tasks run, then apply the delayed writes that are due."""
        await anyio.lowlevel.checkpoint()
        due = [apply for calls_left, apply in self.delayed if calls_left <= 0]
        self.delayed = [
            (calls_left - 1, apply)
            for calls_left, apply in self.delayed
            if calls_left > 0
        ]
        for apply in due:
            await apply()

    async def apply_delayed(self) -> None:
        """Apply every delayed write now."""
        while self.delayed:
            await self.advance()

    async def write_as_rivals(self, key: str, count: int) -> None:
        """Write the same payload `count` times as other processes would."""
        for _ in range(count):
            record = self.records.get(key)
            envelope = Envelope.unpack(record.value) if record else None
            payload = envelope.payload if envelope else b''
            self.rivals += 1
            base = envelope or Envelope((), b'')
            written = base.with_write(f'rival-{self.rivals}', payload)
            await MemoryStore.put_if(
                self,
                key,
                written.pack(),
                self.revision_of(key),
            )


async def cancel_task() -> None:
    """Cancel the attempt that makes the current call."""
    scope = current_scope.get()
    if scope is not None:
        scope.cancel()
        await anyio.lowlevel.checkpoint()
