"""Reads results of jobs, and makes sure that none is denied by an old table.

Failure pattern: an entry's table stops following the store, because the
entries that watch for it are cut off, an update is lost or a watch hears
nothing. The owner of a job goes on, and what a caller has read there must be
shown by every other entry a moment later.

Load pattern: many callers read one job again and again. An entry calls the
store only for a table that is too old, once for all who wait for a job, and
not before that answer is too old in turn.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

import anyio
from result import Err, Ok, Result

from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.job_table import JobView
from quetzaldyke.parts.kv import KvError
from quetzaldyke.platform.jobs import ItemResult, encode_results

# Share of the settling time by which a table may be older than an answer. The
# rest allows for updates of watchers that were delayed on their way.
MAX_AGE_SHARE: Final = 0.7
MAX_PAGE_BYTES: Final = 900_000


Outcome = Result[None, KvError]


@dataclass(slots=True)
class SharedCall:
    """A call whose outcome several waiters need."""

    done: anyio.Event = field(default_factory=anyio.Event)
    # None if the call was cancelled.
    outcome: Outcome | None = None


@dataclass(slots=True)
class SharedCalls:
    """Calls by what they are about."""

    running: dict[str, SharedCall] = field(default_factory=dict)

    async def run(
        self, key: str, step: Callable[[], Awaitable[Outcome]]
    ) -> Outcome | None:
        """Make a call, or wait for the one that runs; return its outcome.

        None if that call was cancelled; who waited for it may try again.
        """
        running = self.running.get(key)
        if running is not None:
            await running.done.wait()
            return running.outcome
        call = self.running[key] = SharedCall()
        try:
            call.outcome = await step()
        finally:
            del self.running[key]
            call.done.set()
        return call.outcome


@dataclass(slots=True)
class JobReads:
    """Refreshes what this entry knows of a job before it denies a result."""

    store: JobStore
    # From the first read of a result until every entry has to show it.
    settle_s: float
    now: Callable[[], float]
    # Whether the store answered recently.
    store_up: Callable[[], bool]
    calls: SharedCalls = field(default_factory=SharedCalls)

    def is_current(self, job_id: str, not_before_s: float) -> bool:
        """Return whether all changes of a job before a time are known.

        An unknown job is looked up in the store anyway.
        """
        table = self.store.table
        view = table.jobs.get(job_id)
        if view is None:
            return True
        return max(table.confirmation.as_of_s, view.read_s) >= not_before_s

    async def refresh(self, job_id: str) -> Outcome:
        """Read the state of a known job if it is too old to deny a result.

        Fails with `unavailable`, without a call, while the store is down, and
        as the call does otherwise.
        """
        not_before_s = self.now() - MAX_AGE_SHARE * self.settle_s
        while not self.is_current(job_id, not_before_s):
            if not self.store_up():
                return Err(KvError('unavailable', 'the store is down'))
            # A call that was sent too early may have missed a change.
            outcome = await self.calls.run(job_id, partial(self.call, job_id))
            if isinstance(outcome, Err):
                return outcome
        return Ok(None)

    async def call(self, job_id: str) -> Outcome:
        """Read the state of a job."""
        called_s = self.now()
        outcome = await self.store.read_state(job_id)
        view = self.store.table.jobs.get(job_id)
        if view is not None and isinstance(outcome, Ok):
            view.read_s = called_s
        return outcome


def may_get_result(view: JobView, position: int) -> bool:
    """Return whether a position has no result yet, and may get one."""
    if view.record is None or view.state is None:
        return True
    listed = len(view.state.results)
    return listed <= position and listed < len(view.record.items)


async def read_page(
    store: JobStore, view: JobView, after: int
) -> Result[bytes, KvError]:
    """Return an encoded page of results, bounded by its output size."""
    assert view.record is not None
    assert view.state is not None
    results: list[ItemResult] = []
    size = 0
    for result in view.state.results[after:]:
        outputs = await store.read_outputs(
            view.record.job_id,
            result.part,
        )
        if isinstance(outputs, Err):
            return outputs
        output = outputs.ok_value[result.item]
        size += len(output)
        if results and size > MAX_PAGE_BYTES:
            break
        item = view.record.items[result.item]
        results.append(ItemResult(item.item_id, result.completed, output))
    total = len(view.record.items)
    return Ok(encode_results(total, after, results))


async def wait_for_result(view: JobView, after: int, wait_s: float) -> None:
    """Wait until a position has a result, the job is over or time is up."""
    with anyio.move_on_after(wait_s):
        while view.open and view.state and len(view.state.results) <= after:
            await view.changed.wait()
