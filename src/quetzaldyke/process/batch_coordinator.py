"""Coordinates the jobs of the active lists that hash to this entry.

The entry that ranks first for a list's key in rendezvous hashing coordinates
it. Each round offers unfinished segments to entries, completes jobs, resumes
cancellations and writes the progress figures that the job status shows. All
state comes from the stored records and the owners' reports, so another entry
can take over at any time.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from result import Err

from quetzaldyke.connection.batch_messages import SegmentState
from quetzaldyke.connection.messages import (
    LeavingNotice,
    Message,
    SegmentOffer,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.durable import active, cancel, jobs, keys, progress
from quetzaldyke.durable.order import (
    MS_IN_S,
    round_robin_by_organisation,
    slack_s,
)
from quetzaldyke.durable.records import FINAL_STATES, ActiveJob, JobRecord
from quetzaldyke.parts.rendezvous import first_for
from quetzaldyke.process.batch_views import (
    JobView,
    Offer,
    SegmentView,
    min_owners_of,
    offers_of,
)
from quetzaldyke.process.batch_worker import BatchWorker

# Limits of the offers for one list in one round, which bound the traffic that
# offers cause. New offers find owners for segments; refresh offers update the
# job's slack at the present owners.
MAX_NEW_OFFERS: Final = 48
MAX_REFRESH_OFFERS: Final = 16
# Jobs at risk get at most this many of the new offers, so that jobs that can't
# meet their deadline never starve the others.
MAX_URGENT_OFFERS: Final = 36
MAX_CONCURRENT_READS: Final = 16
# A job's record is read again after it was used in this many rounds.
MAX_RECORD_AGE_ROUNDS: Final = 5
# The figures are written in one of this many rounds.
ROUNDS_PER_FIGURES_WRITE: Final = 3

# Stops a job at every live process; returns whether all have stopped it.
StopEverywhere = Callable[[JobRecord], Awaitable[bool]]


@dataclass(slots=True)
class Coordinator:
    """Coordinates the batch jobs of the active lists of one entry."""

    worker: BatchWorker
    stop_everywhere: StopEverywhere
    views: dict[str, JobView] = field(default_factory=dict)
    round_number: int = 0
    # Ids of the jobs whose cancellation is being resumed, and names of the
    # entries that announced that they are leaving.
    cancelling: set[str] = field(default_factory=set)
    leaving: set[str] = field(default_factory=set)

    def subscribe(self) -> None:
        """Subscribe to segment states and to leaving notices."""
        self.worker.fleet.subscribe(SegmentState, self.on_message)
        self.worker.fleet.subscribe(LeavingNotice, self.on_leaving)
        self.worker.on_state = self.report_state

    async def on_message(self, session: PeerSession, message: Message) -> None:
        """Update a job's view with the segment state that an owner sent."""
        if isinstance(message, SegmentState):
            self.update_view(message, session.remote.instance)

    async def on_leaving(self, session: PeerSession, _: Message) -> None:
        """Exclude an entry that is leaving from further offers."""
        if session.remote.role == 'entry':
            self.leaving.add(session.remote.instance)

    def update_view(self, state: SegmentState, owner: str) -> None:
        """Update the view of a segment with its owner's report.

        A segment reported as closed or done is read from its record in the
        next round before it counts as done.
        """
        view = self.views.get(state.job_id)
        if view is None or state.segment >= len(view.segments):
            return
        segment = view.segments[state.segment]
        if segment.state == 'done':
            return
        if state.state != 'open':
            segment.state = 'closed'
            return
        segment.state, segment.owner = 'open', owner
        segment.finished = max(segment.finished, state.finished)
        segment.failed = max(segment.failed, state.failed)
        segment.waiting = state.waiting
        segment.updated_s = self.worker.clock.now()

    def report_state(self, state: SegmentState) -> None:
        """Report the state of an owned segment to its list's coordinator."""
        key = keys.active_key(keys.active_list_of(state.job_id))
        target = first_for(self.reachable(), key)
        if target == self.worker.own_name:
            self.update_view(state, self.worker.own_name)
        elif target is not None:
            self.worker.fleet.send_to_entry(target, state)

    def reachable(self) -> list[str]:
        """Return the names of this and connected entries that aren't leaving."""
        fleet = self.worker.fleet
        connected = {
            name
            for name in fleet.live_entries()
            if name in fleet.entries and name not in self.leaving
        }
        if not self.worker.stopping:
            connected.add(self.worker.own_name)
        return sorted(connected)

    async def run_round(self) -> None:
        """Coordinate each list for which this entry ranks first."""
        self.round_number += 1
        members = self.reachable()
        for number in range(keys.ACTIVE_LIST_COUNT):
            if (
                first_for(members, keys.active_key(number))
                == self.worker.own_name
            ):
                await self.coordinate(number)

    async def coordinate(self, number: int) -> None:
        """Advance every job of one list; skips a list that can't be read."""
        listed = await active.read_active(self.worker.store, number)
        if isinstance(listed, Err):
            return
        rows = listed.ok_value
        self.drop_unlisted(number, {row.job_id for row in rows})
        views: list[JobView] = []
        for row in rows:
            view = await self.refresh(row)
            if view is not None and await self.advance(view):
                views.append(view)
        self.offer_segments(views)
        if self.round_number % ROUNDS_PER_FIGURES_WRITE == 0:
            await self.write_figures(number, views)

    async def write_figures(self, number: int, views: list[JobView]) -> None:
        """Write all due figures at once; they stay due if the write fails."""
        now_s = self.worker.clock.now()
        latest = {view.job.job_id: self.figures_of(view) for view in views}
        due = [
            view
            for view in views
            if view.figures_due(latest[view.job.job_id], now_s)
        ]
        if not due:
            return
        figures = {view.job.job_id: latest[view.job.job_id] for view in due}
        written = await active.write_figures(
            self.worker.store,
            number,
            figures,
        )
        if isinstance(written, Err):
            return
        for view in due:
            view.written_figures = latest[view.job.job_id]
            view.figures_written_s = now_s

    def drop_unlisted(self, number: int, listed: set[str]) -> None:
        """Drop the views of jobs that are no longer in a list."""
        for job_id in list(self.views):
            in_list = keys.active_list_of(job_id) == number
            if in_list and job_id not in listed:
                self.views.pop(job_id)

    async def refresh(self, row: ActiveJob) -> JobView | None:
        """Return a job's view, with its record read again when it is old.

        Returns the old view, or None if there is none, when the record is
        missing or can't be read.
        """
        view = self.views.get(row.job_id)
        if view is not None and view.age_rounds < MAX_RECORD_AGE_ROUNDS:
            view.age_rounds += 1
            return view
        found = await jobs.read_job(
            self.worker.store,
            row.organisation,
            row.job_id,
        )
        job = found.unwrap_or(None)
        if job is None:
            return view
        if view is None:
            view = JobView(job, [SegmentView() for _ in job.segments])
            self.views[row.job_id] = view
        view.job, view.age_rounds = job, 0
        return view

    async def advance(self, view: JobView) -> bool:
        """Advance one job; return True while it has open segments.

        Removes a finished job from its list, resumes a cancellation, and
        completes a job whose segments are all done.
        """
        store = self.worker.store
        if view.job.state in FINAL_STATES:
            await active.remove_active(store, view.job.job_id)
            return False
        if view.job.state == 'cancelling':
            if view.job.job_id not in self.cancelling:
                self.cancelling.add(view.job.job_id)
                self.worker.start_task('cancel', self.resume_cancel, view)
            return False
        await self.read_segments(view)
        if not view.done:
            return True
        await cancel.complete_job(
            store,
            view.job,
            view.finished,
            view.failed,
            self.worker.now_ms(),
        )
        view.age_rounds = MAX_RECORD_AGE_ROUNDS
        return False

    async def resume_cancel(self, view: JobView) -> None:
        """Continue a cancellation, whichever entry began it."""
        try:
            driven = await cancel.advance_cancel(
                self.worker.store,
                view.job,
                self.stop_everywhere,
                self.worker.now_ms,
            )
        finally:
            self.cancelling.discard(view.job.job_id)
        view.job = driven.unwrap_or(view.job)

    async def read_segments(self, view: JobView) -> None:
        """Read the records of the segments whose view may be outdated."""
        now_s = self.worker.clock.now()
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_READS)

        async def read_one(number: int, segment: SegmentView) -> None:
            async with limiter:
                await self.read_segment(view, number, segment)

        async with anyio.create_task_group() as group:
            for number, segment in enumerate(view.segments):
                if segment.needs_reading(now_s):
                    group.start_soon(read_one, number, segment)

    async def read_segment(
        self,
        view: JobView,
        number: int,
        segment: SegmentView,
    ) -> None:
        """Update a segment's view from its record, if that can be read."""
        found = await progress.read_progress(
            self.worker.store,
            view.job.job_id,
            number,
        )
        if isinstance(found, Err):
            return
        record = found.ok_value
        segment.state = 'open'
        segment.updated_s = self.worker.clock.now()
        if record is None:
            return
        segment.owner = record.owner
        segment.finished, segment.failed = record.finished_count, record.failed
        if record.state == 'done':
            segment.state = 'done'
        elif record.state == 'cancelled':
            view.age_rounds = MAX_RECORD_AGE_ROUNDS

    def offer_new_job(self, job: JobRecord) -> None:
        """Offer the segments of an accepted job at once.

        The entry that accepted the job does this, whichever one coordinates
        its list. A lost offer is repeated in the coordinator's next rounds.
        """
        if job.state == 'in_progress':
            view = JobView(job, [SegmentView() for _ in job.segments])
            slacks = {job.job_id: self.slack_of(view)}
            for offer in self.choose_offers([view], slacks, MAX_NEW_OFFERS):
                self.send_offer(*offer)

    def offer_segments(self, views: list[JobView]) -> None:
        """Offer unfinished segments, those of jobs with least slack first."""
        now_s = self.worker.clock.now()
        slacks = {}
        for view in views:
            view.rate.sample(view.finished, now_s)
            slacks[view.job.job_id] = self.slack_of(view)
        views = sorted(views, key=lambda view: slacks[view.job.job_id])
        urgent = [one for one in views if slacks[one.job.job_id] < 0]
        others = [one for one in views if slacks[one.job.job_id] >= 0]
        chosen = self.choose_offers(urgent, slacks, MAX_URGENT_OFFERS)
        chosen.extend(
            self.choose_offers(others, slacks, MAX_NEW_OFFERS - len(chosen))
        )
        for offer in (*chosen, *self.refresh_offers(views, slacks)):
            self.send_offer(*offer)

    def choose_offers(
        self,
        views: list[JobView],
        slacks: dict[str, float],
        limit: int,
    ) -> list[Offer]:
        """Return offers of segments without an owner, fair to organisations."""
        members = set(self.reachable())

        def ownerless(owner: str) -> bool:
            return owner not in members

        queues = []
        for view in views:
            at_risk = slacks[view.job.job_id] < 0
            min_owners = min_owners_of(self.worker.fleet, view.job.pool)
            count = view.segments_to_assign(members, min_owners, at_risk)
            offers = offers_of(view, slacks, ownerless)[:count]
            queues.append((view.job.organisation, offers))
        return round_robin_by_organisation(queues, limit)

    def refresh_offers(
        self,
        views: list[JobView],
        slacks: dict[str, float],
    ) -> list[Offer]:
        """Return offers to present owners, rotating through them by round."""
        members = set(self.reachable())
        owned = [
            offer
            for view in views
            for offer in offers_of(view, slacks, members.__contains__)
        ]
        start = self.round_number * MAX_REFRESH_OFFERS % max(1, len(owned))
        return [*owned[start:], *owned[:start]][:MAX_REFRESH_OFFERS]

    def send_offer(self, owner: str, offer: SegmentOffer) -> None:
        """Offer a segment to its owner, or else to its first-ranked entry."""
        members = self.reachable()
        target: str | None = owner
        if owner not in members:
            target = first_for(members, f'{offer.job_id}/{offer.segment}')
        if target == self.worker.own_name:
            self.worker.offer(offer, self.update_own_view)
        elif target is not None:
            self.worker.fleet.send_to_entry(target, offer)

    def update_own_view(self, state: SegmentState) -> None:
        """Update the view of a segment that this entry owns."""
        self.update_view(state, self.worker.own_name)

    def remaining_s(self, view: JobView) -> float:
        """Return the estimated time until the job's last item is finished."""
        return view.rate.remaining_s(view.job.total - view.finished)

    def slack_of(self, view: JobView) -> float:
        """Return the time to the job's deadline less its estimated run time."""
        return slack_s(
            view.job.deadline.instant_ms,
            self.worker.now_ms(),
            self.remaining_s(view),
        )

    def figures_of(self, view: JobView) -> ActiveJob:
        """Return the progress figures that the job's status shows."""
        now_ms = self.worker.now_ms()
        return ActiveJob(
            view.job.organisation,
            view.job.job_id,
            view.job.deadline.instant_ms,
            view.finished,
            view.failed,
            now_ms + int(self.remaining_s(view) * MS_IN_S),
            self.slack_of(view) < 0,
            view.job.total,
        )
