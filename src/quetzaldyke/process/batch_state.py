"""State of the segments that an entry owns."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

import anyio

from quetzaldyke.connection.batch_messages import SegmentState
from quetzaldyke.connection.messages import SegmentOffer
from quetzaldyke.durable.inputs import Item
from quetzaldyke.durable.records import ItemResult, JobRecord, Progress

# A commit is due with this many results, so that an item costs at most a
# hundredth of a write at full speed.
FULL_COMMIT: Final = 100
# With fewer results than this a commit waits longer.
SMALL_COMMIT: Final = 20
COMMIT_WAIT_S: Final = 2.0
LONGEST_COMMIT_WAIT_S: Final = 5.0
# Pause after a failed commit, so that an outage is not met with load.
COMMIT_RETRY_S: Final = 1.0

SegmentId = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Partial:
    """Text of an item that was interrupted, to be continued."""

    text: str
    tokens: int


@dataclass(slots=True)
class OwnedSegment:
    """A claimed segment: what waits, runs and is not recorded yet."""

    job: JobRecord
    number: int
    # The record as this owner last wrote or read it.
    progress: Progress
    items: list[Item]
    # Slack of the job as the coordinator last told it.
    slack_s: float = 0.0
    waiting: deque[int] = field(default_factory=deque)
    running: dict[int, anyio.CancelScope] = field(default_factory=dict)
    partials: dict[int, Partial] = field(default_factory=dict)
    tries: dict[int, int] = field(default_factory=dict)
    held: dict[int, ItemResult] = field(default_factory=dict)
    first_held_s: float = 0.0
    retry_at_s: float = 0.0
    commits: int = 0
    committing: bool = False
    # False after a pause until the record confirms the ownership.
    confirmed: bool = True
    dropped: bool = False

    @classmethod
    def from_claim(
        cls,
        job: JobRecord,
        number: int,
        progress: Progress,
        items: list[Item],
    ) -> OwnedSegment:
        """Return a segment whose unfinished items wait."""
        unfinished = (
            index
            for index in range(progress.total)
            if not progress.is_finished(index)
        )
        return cls(
            job,
            number,
            progress,
            items,
            waiting=deque(unfinished),
            tries=dict(progress.tries),
        )

    @property
    def segment_id(self) -> SegmentId:
        """Return the key of the segment in tables."""
        return self.job.job_id, self.number

    @property
    def held_bytes(self) -> int:
        """Return the size of the results that are not recorded yet."""
        return sum(one.size_bytes for one in self.held.values())

    def hold(self, result: ItemResult, now_s: float) -> None:
        """Keep the first result of an item until it is recorded."""
        if self.dropped or self.progress.is_finished(result.index):
            return
        if not self.held:
            self.first_held_s = now_s
        self.held.setdefault(result.index, result)

    def commit_due(self, now_s: float) -> bool:
        """Tell whether the held results should be recorded now."""
        if not self.held or self.committing or now_s < self.retry_at_s:
            return False
        if self.ends_segment or len(self.held) >= FULL_COMMIT:
            return True
        waited_s = now_s - self.first_held_s
        if len(self.held) >= SMALL_COMMIT and waited_s >= COMMIT_WAIT_S:
            return True
        return waited_s >= LONGEST_COMMIT_WAIT_S

    @property
    def ends_segment(self) -> bool:
        """Tell whether recording the held results finishes the segment."""
        recorded = self.progress.finished_count + len(self.held)
        return recorded == self.progress.total

    def settle(self, progress: Progress, now_s: float) -> None:
        """Adopt a newer record and forget the results that it holds."""
        self.progress = progress
        self.first_held_s = now_s
        for index in list(self.held):
            if progress.is_finished(index):
                self.held.pop(index)
                self.tries.pop(index, None)

    def drop(self) -> None:
        """Stop everything of a segment that is no longer owned."""
        self.dropped = True
        self.waiting.clear()
        self.held.clear()
        for scope in list(self.running.values()):
            scope.cancel()

    def put_back(self, index: int, interrupted: bool) -> None:
        """Let an item wait again.

        A failed or refused item goes behind the others, so that one that
        can't run never holds the rest up. An interrupted one goes first,
        because part of its text is already there.
        """
        if self.dropped:
            return
        if interrupted:
            self.waiting.appendleft(index)
        else:
            self.waiting.append(index)


def state_of(segment: OwnedSegment) -> SegmentState:
    """Return what the coordinator of the job's list is told."""
    record = segment.progress
    return SegmentState(
        segment.job.job_id,
        segment.number,
        record.state,
        record.finished_count,
        record.failed,
        len(segment.waiting),
    )


def closed_state(offer: SegmentOffer) -> SegmentState:
    """Return the answer for a segment that can't be claimed any more."""
    return SegmentState(offer.job_id, offer.segment, 'closed', 0, 0, 0)
