"""The coordinator's view of jobs and segments, and the offers it makes."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.messages import SegmentOffer
from quetzaldyke.durable.order import RateEstimate
from quetzaldyke.durable.records import ActiveJob, JobRecord
from quetzaldyke.process.fleet import Fleet

# A segment's record is read again when its owner hasn't reported its state for
# this long. Owners report after each commit, at most 5 s apart while items end.
MAX_REPORT_AGE_S: Final = 30.0

# A job's progress figures are written at most about this many times, evenly
# over its items, but no later than the maximum age while they change.
FIGURES_WRITES_PER_JOB: Final = 20
FIGURES_MAX_AGE_S: Final = 30.0

# Items a second that a segment should finish at least: 15 results per commit.
MIN_RATE_PER_SEGMENT: Final = 3.0
# A job at risk is spread over more entries, although its commits cost more.
MIN_URGENT_RATE_PER_SEGMENT: Final = 0.5
# A segment with no more waiting items than this is about to end, so the next
# one is offered.
LOW_WAITING_ITEMS: Final = 32

# The segment's last known owner, or an empty name, and the offer to send.
Offer = tuple[str, SegmentOffer]


@dataclass(slots=True)
class SegmentView:
    """State of one segment, as far as the coordinator knows it."""

    # 'unread', 'open', 'closed' (its record must be read) or 'done'.
    state: str = 'unread'
    owner: str = ''
    finished: int = 0
    failed: int = 0
    waiting: int = 0
    updated_s: float = 0.0

    def needs_reading(self, now_s: float) -> bool:
        """Return whether the record may differ from this view.

        True for an unread or closed segment, and for an owned open one whose
        view is older than `MAX_REPORT_AGE_S`. An open segment without an owner
        changes only by a claim, and the claiming entry reports that.
        """
        if self.state == 'open':
            return (
                bool(self.owner) and now_s - self.updated_s > MAX_REPORT_AGE_S
            )
        return self.state != 'done'


@dataclass(slots=True)
class JobView:
    """State of one job, as far as the coordinator knows it."""

    job: JobRecord
    segments: list[SegmentView]
    rate: RateEstimate = field(default_factory=RateEstimate)
    age_rounds: int = 0
    # The progress figures that were last written, and when.
    written_figures: ActiveJob | None = None
    figures_written_s: float = 0.0

    @property
    def finished(self) -> int:
        """Return the number of items with a recorded result."""
        return sum(one.finished for one in self.segments)

    @property
    def failed(self) -> int:
        """Return the number of items recorded as failed."""
        return sum(one.failed for one in self.segments)

    def figures_due(self, latest: ActiveJob, now_s: float) -> bool:
        """Return whether the latest figures should be written.

        Writing each small change would cost as much as writing the results.
        """
        previous = self.written_figures
        if previous is None or previous.at_risk != latest.at_risk:
            return True
        step = max(1, self.job.total // FIGURES_WRITES_PER_JOB)
        if latest.finished - previous.finished >= step:
            return True
        return (
            latest != previous
            and now_s - self.figures_written_s >= FIGURES_MAX_AGE_S
        )

    def segments_to_assign(
        self, members: set[str], min_owners: int, at_risk: bool
    ) -> int:
        """Return how many more segments should get an owner now.

        `members` are the entries that can be reached, and `min_owners` is the
        number of owners that together reach all endpoints of the pool.

        A commit is due after 5 s at the latest, so a slow segment costs one
        write for only a few items. Therefore no more segments run than the
        job's rate keeps busy.
        """
        min_rate = (
            MIN_URGENT_RATE_PER_SEGMENT if at_risk else MIN_RATE_PER_SEGMENT
        )
        wanted = max(1, min_owners, int(self.rate.per_s / min_rate))
        low_waiting = max(LOW_WAITING_ITEMS, int(self.rate.per_s))
        working = sum(
            one.state == 'open'
            and one.owner in members
            and one.waiting > low_waiting
            for one in self.segments
        )
        return max(0, wanted - working)

    @property
    def done(self) -> bool:
        """Return whether every segment's record was read as done."""
        return all(one.state == 'done' for one in self.segments)


def offers_of(
    view: JobView,
    slacks: dict[str, float],
    wanted: Callable[[str], bool],
) -> list[Offer]:
    """Return offers of a job's open segments whose owner is `wanted`."""
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


def min_owners_of(fleet: Fleet, pool: str) -> int:
    """Return how many owners together reach all endpoints of a pool.

    An entry connects only to a subset of a large pool, and its items run only
    there. Assumes that other entries reach as many endpoints as this one.
    """
    listed = sum(one.pool == pool for one in fleet.instances.values())
    reached = sum(one.instance.pool == pool for one in fleet.links.values())
    return math.ceil(listed / reached) if reached else 1
