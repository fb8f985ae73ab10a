"""State of the segments that an entry owns: queued items and held results."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

import anyio

from quetzaldyke.connection.batch_messages import SegmentState
from quetzaldyke.connection.messages import SegmentOffer
from quetzaldyke.durable.inputs import Item
from quetzaldyke.durable.records import ItemResult, JobRecord, Progress

# A commit is due at once with this many results, so that an item costs at most
# a hundredth of a write at full speed.
FULL_COMMIT_RESULTS: Final = 100
# A commit of at least this many results waits for the short delay, a smaller
# one for the maximum delay.
SMALL_COMMIT_RESULTS: Final = 20
COMMIT_DELAY_S: Final = 2.0
MAX_COMMIT_DELAY_S: Final = 5.0
# Delay after a failed commit, so that retries don't load a store in an outage.
COMMIT_RETRY_DELAY_S: Final = 1.0

SegmentId = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Partial:
    """Text of an interrupted item, which the next attempt continues."""

    text: str
    tokens: int


@dataclass(slots=True)
class OwnedSegment:
    """A claimed segment: its waiting and running items and held results.

    A result is held until it is recorded in the store.
    """

    job: JobRecord
    number: int
    # The record, as this owner last wrote or read it.
    progress: Progress
    items: list[Item]
    # The job's slack from the coordinator's last offer.
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
    # False after a long pause, until the record confirms the ownership.
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
        """Return a segment with all its unfinished items waiting."""
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
        """Return the job id and the segment's number."""
        return self.job.job_id, self.number

    @property
    def held_bytes(self) -> int:
        """Return the size of the held results."""
        return sum(one.size_bytes for one in self.held.values())

    def hold_result(self, result: ItemResult, now_s: float) -> None:
        """Hold an item's first result until it is recorded.

        Ignores a result of an item that is recorded or of a dropped segment.
        """
        if self.dropped or self.progress.is_finished(result.index):
            return
        if not self.held:
            self.first_held_s = now_s
        self.held.setdefault(result.index, result)

    def commit_due(self, now_s: float) -> bool:
        """Return whether the held results should be recorded now."""
        if not self.held or self.committing or now_s < self.retry_at_s:
            return False
        if self.completes_segment or len(self.held) >= FULL_COMMIT_RESULTS:
            return True
        waited_s = now_s - self.first_held_s
        if (
            len(self.held) >= SMALL_COMMIT_RESULTS
            and waited_s >= COMMIT_DELAY_S
        ):
            return True
        return waited_s >= MAX_COMMIT_DELAY_S

    @property
    def completes_segment(self) -> bool:
        """Return whether recording the held results completes the segment."""
        recorded = self.progress.finished_count + len(self.held)
        return recorded == self.progress.total

    def adopt_progress(self, progress: Progress, now_s: float) -> None:
        """Adopt a newer record and release the held results it contains."""
        self.progress = progress
        self.first_held_s = now_s
        for index in list(self.held):
            if progress.is_finished(index):
                self.held.pop(index)
                self.tries.pop(index, None)

    def drop(self) -> None:
        """Cancel the items and discard the held results; ownership ended."""
        self.dropped = True
        self.waiting.clear()
        self.held.clear()
        for scope in list(self.running.values()):
            scope.cancel()

    def requeue(self, index: int, interrupted: bool) -> None:
        """Queue an item again.

        A failed or refused item goes to the end of the queue, so that one that
        can't run never blocks the others. An interrupted one goes to the
        front, because part of its text already exists.
        """
        if self.dropped:
            return
        if interrupted:
            self.waiting.appendleft(index)
        else:
            self.waiting.append(index)


def state_of(segment: OwnedSegment) -> SegmentState:
    """Return the state message for the coordinator of the job's list."""
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
    """Return the reply to an offer of a segment that can't be claimed."""
    return SegmentState(offer.job_id, offer.segment, 'closed', 0, 0, 0)
