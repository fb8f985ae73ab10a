"""Makes sure that a read without a result is as new as is promised.

Failure pattern: an entry's table stops following the store, because the
entries that watch for it are cut off, an update is lost or a watch hears
nothing. The owner of a job goes on, and what a caller has read there must be
shown by every other entry a moment later.

Load pattern: many callers read one job again and again. An entry calls the
store only for a table that is too old, once for all who wait for a job, and
not before that answer is too old in turn.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from result import Err, Ok, Result

from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.job_table import JobView
from quetzaldyke.parts.kv import KvError

# Share of the settling time by which a table may be older than a read. The
# rest allows for the answer's way to the caller who reads first.
MAX_AGE_SHARE: Final = 0.7

Refreshed = Result[None, KvError]


@dataclass(slots=True)
class SharedCall:
    """A call to the store whose outcome several readers wait for."""

    done: anyio.Event = field(default_factory=anyio.Event)
    # Readers of a call that was cancelled try again.
    outcome: Refreshed | None = None


@dataclass(slots=True)
class JobReads:
    """Refreshes what this entry knows of a job before it denies a result."""

    store: JobStore
    # From the first read of a result until every entry has to show it.
    settle_s: float
    now: Callable[[], float]
    # Whether the store answered recently.
    store_up: Callable[[], bool]
    calls: dict[str, SharedCall] = field(default_factory=dict)

    def is_current(self, job_id: str, asked_s: float) -> bool:
        """Return whether a read of a known job needs no call to the store."""
        table = self.store.table
        as_of_s = table.confirmation.as_of_s
        view = table.jobs.get(job_id)
        if view is not None:
            as_of_s = max(as_of_s, view.read_s)
        return as_of_s >= asked_s - MAX_AGE_SHARE * self.settle_s

    async def refresh(self, job_id: str, asked_s: float) -> Refreshed:
        """Read the state of a known job if it is too old for a read.

        Fails with `unavailable`, without a call, while the store is down.
        """
        while not self.is_current(job_id, asked_s):
            if not self.store_up():
                return Err(KvError('unavailable', 'the store is down'))
            running = self.calls.get(job_id)
            if running is None:
                return await self.call(job_id)
            await running.done.wait()
            if running.outcome is not None:
                return running.outcome
        return Ok(None)

    async def call(self, job_id: str) -> Refreshed:
        """Read the state of a job for all who wait for it."""
        called_s = self.now()
        call = self.calls[job_id] = SharedCall()
        try:
            call.outcome = await self.store.read_state(job_id)
        finally:
            del self.calls[job_id]
            call.done.set()
        view = self.store.table.jobs.get(job_id)
        if view is not None and isinstance(call.outcome, Ok):
            view.read_s = called_s
        return call.outcome


def may_get_result(view: JobView, position: int) -> bool:
    """Return whether a position has no result yet, and may get one."""
    if view.record is None or view.state is None:
        return True
    listed = len(view.state.results)
    return listed <= position and listed < len(view.record.items)
