"""Writes the held results of segments to the store and releases segments."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from result import Err, Ok, Result

from quetzaldyke.durable import progress
from quetzaldyke.durable.records import Progress
from quetzaldyke.parts.kv import KeyValueStore, KvError, Refused
from quetzaldyke.process.batch_state import COMMIT_RETRY_DELAY_S, OwnedSegment

# `open` and `done` are the segment's state after the commit. `lost` means that
# it belongs to another owner or is closed, `retry` that the store call failed
# and the results stay held.
CommitOutcome = Literal['open', 'done', 'lost', 'retry']


@dataclass(frozen=True, slots=True)
class Committer:
    """Commits results and releases segments of one entry."""

    store: KeyValueStore
    now_s: Callable[[], float]

    async def commit(self, segment: OwnedSegment) -> CommitOutcome:
        """Record the held results of a segment.

        After the outcome `retry` the next commit waits for a delay.
        """
        segment.committing = True
        try:
            outcome = await self.commit_held(segment)
        finally:
            segment.committing = False
        if outcome == 'retry':
            segment.retry_at_s = self.now_s() + COMMIT_RETRY_DELAY_S
        return outcome

    async def commit_held(self, segment: OwnedSegment) -> CommitOutcome:
        """Write the held results on top of the last known record.

        Returns `done` or `open`, `lost` if another claim owns the segment, and
        `retry` if a store call failed. If the record has changed, it is read
        again, as an earlier write may have taken effect.
        """
        base = segment.progress
        segment.commits += 1
        written = await progress.commit(
            self.store,
            segment.job.job_id,
            segment.number,
            base,
            list(segment.held.values()),
            dict(segment.tries),
            f'{base.epoch}.{segment.commits}',
        )
        return await self.apply_write(segment, written)

    async def apply_write(
        self,
        segment: OwnedSegment,
        written: Result[Progress, KvError | Refused[str]],
    ) -> CommitOutcome:
        """Return the outcome of a write and adopt the new record."""
        if isinstance(written, Ok):
            segment.adopt_progress(written.ok_value, self.now_s())
            return 'done' if written.ok_value.state == 'done' else 'open'
        if written.err_value == progress.OWNERSHIP_LOST:
            return 'lost'
        if written.err_value == progress.RECORD_CHANGED:
            # An earlier write whose response was lost has taken effect.
            return await self.confirm(segment)
        return 'retry'

    async def confirm(self, segment: OwnedSegment) -> CommitOutcome:
        """Read the record again; return whether the segment is still owned."""
        found = await progress.read_progress(
            self.store,
            segment.job.job_id,
            segment.number,
        )
        if isinstance(found, Err):
            return 'retry'
        record = found.ok_value
        if record is None:
            return 'lost'
        if record.state == 'done' and record.owner == segment.progress.owner:
            return 'done' if record.epoch == segment.progress.epoch else 'lost'
        if not progress.is_still_owned(record, segment.progress):
            return 'lost'
        segment.adopt_progress(record, self.now_s())
        segment.confirmed = True
        return 'open'

    async def release(self, segment: OwnedSegment) -> bool:
        """Release a segment; return False when the store call failed.

        True also for a segment that was lost already.
        """
        released = await progress.release(
            self.store,
            segment.job.job_id,
            segment.number,
            segment.progress,
        )
        if isinstance(released, Ok):
            return True
        return isinstance(released.err_value, Refused)
