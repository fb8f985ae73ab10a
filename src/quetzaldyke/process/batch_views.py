"""What the coordinator of an active list knows of jobs and segments."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.messages import SegmentOffer
from quetzaldyke.durable.order import RateEstimate
from quetzaldyke.durable.records import JobRecord

# A segment whose owner has not told its state for this long is read again.
# Owners tell it after each commit, at most 5 s apart while items end.
SILENCE_S: Final = 30.0

# Owner as far as known, and the message.
Offer = tuple[str, SegmentOffer]


@dataclass(slots=True)
class SegmentView:
    """What the coordinator knows of one segment."""

    state: str = 'unread'  # or open, closed (to be read) and done
    owner: str = ''
    finished: int = 0
    failed: int = 0
    heard_s: float = 0.0

    def needs_reading(self, now_s: float) -> bool:
        """Tell whether the record may say something new.

        A segment without an owner changes only by a claim, which is told.
        """
        if self.state == 'open':
            return bool(self.owner) and now_s - self.heard_s > SILENCE_S
        return self.state != 'done'


@dataclass(slots=True)
class JobView:
    """What the coordinator knows of one job."""

    job: JobRecord
    segments: list[SegmentView]
    rate: RateEstimate = field(default_factory=RateEstimate)
    age_rounds: int = 0

    @property
    def finished(self) -> int:
        """Return the recorded items."""
        return sum(one.finished for one in self.segments)

    @property
    def failed(self) -> int:
        """Return the items recorded as failed."""
        return sum(one.failed for one in self.segments)

    @property
    def done(self) -> bool:
        """Tell whether every segment is verified to be done."""
        return all(one.state == 'done' for one in self.segments)


def offers_of(
    view: JobView,
    slacks: dict[str, float],
    wanted: Callable[[str], bool],
) -> list[Offer]:
    """Return the offers of a job whose owners pass a test."""
    job = view.job
    return [
        (
            segment.owner,
            SegmentOffer(
                job.organisation,
                job.job_id,
                number,
                slacks[job.job_id],
            ),
        )
        for number, segment in enumerate(view.segments)
        if segment.state == 'open' and wanted(segment.owner)
    ]
