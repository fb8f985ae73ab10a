"""What the coordinator of an active list knows of jobs and segments."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.messages import SegmentOffer
from quetzaldyke.durable.order import RateEstimate
from quetzaldyke.durable.records import ActiveJob, JobRecord

# A segment whose owner has not told its state for this long is read again.
# Owners tell it after each commit, at most 5 s apart while items end.
SILENCE_S: Final = 30.0

# A job's figures are written at most about this many times in its life,
# but not less often than the wait says while they change.
FIGURE_STEPS: Final = 20
FIGURES_WAIT_S: Final = 30.0

# Items a second that a segment should finish: 15 results in each commit.
FULL_RATE: Final = 3.0
# A job at risk is spread over more entries, whatever its commits cost.
URGENT_RATE: Final = 0.5
# With fewer waiting items a segment is about to end and the next is offered.
LOW_WAITING: Final = 32

# Owner as far as known, and the message.
Offer = tuple[str, SegmentOffer]


@dataclass(slots=True)
class SegmentView:
    """What the coordinator knows of one segment."""

    state: str = 'unread'  # or open, closed (to be read) and done
    owner: str = ''
    finished: int = 0
    failed: int = 0
    waiting: int = 0
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
    # Figures as last written for the status, and when.
    written: ActiveJob | None = None
    written_s: float = 0.0

    @property
    def finished(self) -> int:
        """Return the recorded items."""
        return sum(one.finished for one in self.segments)

    @property
    def failed(self) -> int:
        """Return the items recorded as failed."""
        return sum(one.failed for one in self.segments)

    def figures_due(self, latest: ActiveJob, now_s: float) -> bool:
        """Tell whether newer figures are worth a write.

        A write for each small step would cost as much as the results.
        """
        known = self.written
        if known is None or known.at_risk != latest.at_risk:
            return True
        step = max(1, self.job.total // FIGURE_STEPS)
        if latest.finished - known.finished >= step:
            return True
        return latest != known and now_s - self.written_s >= FIGURES_WAIT_S

    def room(self, members: set[str], at_risk: bool) -> int:
        """Return how many more segments should get an owner now.

        `members` are the entries that can be reached.

        A commit is due after 5 s at the latest, so a segment that finishes
        few items costs a write for each few of them. Work is therefore
        spread over no more segments than the job's rate fills.
        """
        per_segment = URGENT_RATE if at_risk else FULL_RATE
        wanted = max(1, int(self.rate.per_s / per_segment))
        low = max(LOW_WAITING, int(self.rate.per_s))
        working = sum(
            one.state == 'open' and one.owner in members and one.waiting > low
            for one in self.segments
        )
        return max(0, wanted - working)

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
