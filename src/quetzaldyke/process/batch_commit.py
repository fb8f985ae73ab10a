"""Records the results that an owner holds, and gives segments up."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from result import Err, Ok, Result

from quetzaldyke.durable import progress
from quetzaldyke.durable.records import Progress
from quetzaldyke.parts.kv import KeyValueStore, KvError, Refused
from quetzaldyke.process.batch_state import COMMIT_RETRY_S, OwnedSegment

# `open` and `done` tell the state after the commit; `lost` means that the
# segment belongs to another owner or is closed; `retry` that the store did
# not answer and the results stay held.
CommitOutcome = Literal['open', 'done', 'lost', 'retry']


@dataclass(frozen=True, slots=True)
class Committer:
    """What commits need."""

    store: KeyValueStore
    now_s: Callable[[], float]

    async def commit(self, segment: OwnedSegment) -> CommitOutcome:
        """Record the held results of a segment."""
        segment.committing = True
        try:
            outcome = await self.commit_held(segment)
        finally:
            segment.committing = False
        if outcome == 'retry':
            segment.retry_at_s = self.now_s() + COMMIT_RETRY_S
        return outcome

    async def commit_held(self, segment: OwnedSegment) -> CommitOutcome:
        """Commit on the known record, and settle what the store says."""
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
        return await self.settle(segment, written)

    async def settle(
        self,
        segment: OwnedSegment,
        written: Result[Progress, KvError | Refused[str]],
    ) -> CommitOutcome:
        """Adopt the outcome of a write."""
        if isinstance(written, Ok):
            segment.settle(written.ok_value, self.now_s())
            return 'done' if written.ok_value.state == 'done' else 'open'
        if written.err_value == progress.OWNERSHIP_LOST:
            return 'lost'
        if written.err_value == progress.RECORD_CHANGED:
            # An earlier write whose answer was lost has taken effect.
            return await self.confirm(segment)
        return 'retry'

    async def confirm(self, segment: OwnedSegment) -> CommitOutcome:
        """Read the record again and tell whether it is still owned."""
        found = await progress.read_progress(
            self.store,
            segment.job.job_id,
            segment.number,
        )
        if isinstance(found, Err):
            return 'retry'
        known = found.ok_value
        if known is None:
            return 'lost'
        if known.state == 'done' and known.owner == segment.progress.owner:
            return 'done' if known.epoch == segment.progress.epoch else 'lost'
        if not progress.is_still_owned(known, segment.progress):
            return 'lost'
        segment.settle(known, self.now_s())
        segment.confirmed = True
        return 'open'

    async def release(self, segment: OwnedSegment) -> bool:
        """Give a segment up; False when the store did not answer."""
        released = await progress.release(
            self.store,
            segment.job.job_id,
            segment.number,
            segment.progress,
        )
        if isinstance(released, Ok):
            return True
        return isinstance(released.err_value, Refused)
