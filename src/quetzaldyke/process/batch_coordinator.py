"""Coordinates the jobs of the active lists for which this entry ranks first.

Each round offers unfinished segments to entries, completes jobs, resumes
cancels and writes the figures of the jobs' status. Everything is computed
from the records and the owners' answers, so another entry can go on at any
time.
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
    cover_of,
    offers_of,
)
from quetzaldyke.process.batch_worker import BatchWorker

# Offers of one list in one round; bounds the bytes that offers cost.
# Some of them refresh the slack at owners, the rest finds new owners.
NEW_OFFERS: Final = 48
REFRESHED_OFFERS: Final = 16
# Jobs at risk take at most this many new offers, so that jobs that can't
# make their deadline never stop the others.
URGENT_OFFERS: Final = 36
READS_AT_ONCE: Final = 16
# Rounds after which a job's record is read again.
REREAD_ROUNDS: Final = 5
# Rounds between writes of the figures.
FIGURES_ROUNDS: Final = 3

StopEverywhere = Callable[[JobRecord], Awaitable[bool]]


@dataclass(slots=True)
class Coordinator:
    """Coordinating part of one entry."""

    worker: BatchWorker
    stop_everywhere: StopEverywhere
    views: dict[str, JobView] = field(default_factory=dict)
    rounds: int = 0
    # Cancels that are being driven, and entries that said they leave.
    cancelling: set[str] = field(default_factory=set)
    leaving: set[str] = field(default_factory=set)

    def subscribe(self) -> None:
        """Register for the owners' answers."""
        self.worker.fleet.subscribe(SegmentState, self.on_message)
        self.worker.fleet.subscribe(LeavingNotice, self.on_leaving)
        self.worker.on_state = self.tell_state

    async def on_message(self, session: PeerSession, message: Message) -> None:
        """Note an owner's answer."""
        if isinstance(message, SegmentState):
            self.note(message, session.remote.instance)

    async def on_leaving(self, session: PeerSession, _: Message) -> None:
        """Offer nothing more to an entry that leaves."""
        if session.remote.role == 'entry':
            self.leaving.add(session.remote.instance)

    def note(self, state: SegmentState, owner: str) -> None:
        """Note what an owner says; the end of a segment is verified later."""
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
        segment.heard_s = self.worker.clock.now()

    def tell_state(self, state: SegmentState) -> None:
        """Tell the list's coordinator of a segment that was finished here."""
        key = keys.active_key(keys.active_list_of(state.job_id))
        target = first_for(self.reachable(), key)
        if target == self.worker.own:
            self.note(state, self.worker.own)
        elif target is not None:
            self.worker.fleet.send_to_entry(target, state)

    def reachable(self) -> list[str]:
        """Return the live entries that this one has a connection to."""
        fleet = self.worker.fleet
        connected = {
            name
            for name in fleet.live_entries()
            if name in fleet.entries and name not in self.leaving
        }
        if not self.worker.stopping:
            connected.add(self.worker.own)
        return sorted(connected)

    async def round(self) -> None:
        """Work through the lists for which this entry ranks first."""
        self.rounds += 1
        members = self.reachable()
        for number in range(keys.ACTIVE_LIST_COUNT):
            if first_for(members, keys.active_key(number)) == self.worker.own:
                await self.coordinate(number)

    async def coordinate(self, number: int) -> None:
        """Take every job of one list a step further."""
        listed = await active.read_active(self.worker.store, number)
        if isinstance(listed, Err):
            return
        rows = listed.ok_value
        self.forget_absent(number, {row.job_id for row in rows})
        views: list[JobView] = []
        for row in rows:
            view = await self.refresh(row)
            if view is not None and await self.advance(view):
                views.append(view)
        self.offer_segments(views)
        if self.rounds % FIGURES_ROUNDS == 0:
            await self.write_figures(number, views)

    async def write_figures(self, number: int, views: list[JobView]) -> None:
        """Write the figures that have changed enough, in one write."""
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
            view.written = latest[view.job.job_id]
            view.written_s = now_s

    def forget_absent(self, number: int, listed: set[str]) -> None:
        """Drop the views of jobs that left a list."""
        for job_id in list(self.views):
            in_list = keys.active_list_of(job_id) == number
            if in_list and job_id not in listed:
                self.views.pop(job_id)

    async def refresh(self, row: ActiveJob) -> JobView | None:
        """Return a job's view with a record that is recent enough."""
        view = self.views.get(row.job_id)
        if view is not None and view.age_rounds < REREAD_ROUNDS:
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
        """Take one job a step further; True while it has open segments."""
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
        view.age_rounds = REREAD_ROUNDS
        return False

    async def resume_cancel(self, view: JobView) -> None:
        """Drive a cancel on, whoever began it."""
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
        """Read the records of segments that are unknown, ended or silent."""
        now_s = self.worker.clock.now()
        limiter = anyio.CapacityLimiter(READS_AT_ONCE)

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
        """Take over what a segment's record says."""
        found = await progress.read_progress(
            self.worker.store,
            view.job.job_id,
            number,
        )
        if isinstance(found, Err):
            return
        known = found.ok_value
        segment.state = 'open'
        segment.heard_s = self.worker.clock.now()
        if known is None:
            return
        segment.owner = known.owner
        segment.finished, segment.failed = known.finished_count, known.failed
        if known.state == 'done':
            segment.state = 'done'
        elif known.state == 'cancelled':
            view.age_rounds = REREAD_ROUNDS

    def offer_new(self, job: JobRecord) -> None:
        """Offer an accepted job at once, whoever coordinates its list.

        The coordinator's rounds repeat offers, so a lost one does no harm.
        """
        if job.state == 'in_progress':
            view = JobView(job, [SegmentView() for _ in job.segments])
            slacks = {job.job_id: self.slack_of(view)}
            for offer in self.deal([view], slacks, NEW_OFFERS):
                self.send_offer(*offer)

    def offer_segments(self, views: list[JobView]) -> None:
        """Offer unfinished segments, jobs with little slack first."""
        now_s = self.worker.clock.now()
        slacks = {}
        for view in views:
            view.rate.sample(view.finished, now_s)
            slacks[view.job.job_id] = self.slack_of(view)
        views = sorted(views, key=lambda view: slacks[view.job.job_id])
        urgent = [one for one in views if slacks[one.job.job_id] < 0]
        others = [one for one in views if slacks[one.job.job_id] >= 0]
        dealt = self.deal(urgent, slacks, URGENT_OFFERS)
        dealt.extend(self.deal(others, slacks, NEW_OFFERS - len(dealt)))
        for offer in (*dealt, *self.refreshes(views, slacks)):
            self.send_offer(*offer)

    def deal(
        self,
        views: list[JobView],
        slacks: dict[str, float],
        limit: int,
    ) -> list[Offer]:
        """Return offers of segments that need an owner, fairly chosen."""
        members = set(self.reachable())

        def ownerless(owner: str) -> bool:
            return owner not in members

        queues = []
        for view in views:
            at_risk = slacks[view.job.job_id] < 0
            cover = cover_of(self.worker.fleet, view.job.pool)
            room = view.room(members, cover, at_risk)
            offers = offers_of(view, slacks, ownerless)[:room]
            queues.append((view.job.organisation, offers))
        return round_robin_by_organisation(queues, limit)

    def refreshes(
        self,
        views: list[JobView],
        slacks: dict[str, float],
    ) -> list[Offer]:
        """Return offers to present owners; they take turns over the rounds."""
        members = set(self.reachable())
        owned = [
            offer
            for view in views
            for offer in offers_of(view, slacks, members.__contains__)
        ]
        start = self.rounds * REFRESHED_OFFERS % max(1, len(owned))
        return [*owned[start:], *owned[:start]][:REFRESHED_OFFERS]

    def send_offer(self, owner: str, offer: SegmentOffer) -> None:
        """Offer a segment to its present owner or to who ranks first."""
        members = self.reachable()
        target: str | None = owner
        if owner not in members:
            target = first_for(members, f'{offer.job_id}/{offer.segment}')
        if target == self.worker.own:
            self.worker.offer(offer, self.note_own)
        elif target is not None:
            self.worker.fleet.send_to_entry(target, offer)

    def note_own(self, state: SegmentState) -> None:
        """Note the state of a segment that this entry owns."""
        self.note(state, self.worker.own)

    def remaining_s(self, view: JobView) -> float:
        """Return the estimated time of the items that are left."""
        return view.rate.remaining_s(view.job.total - view.finished)

    def slack_of(self, view: JobView) -> float:
        """Return the slack of a job."""
        return slack_s(
            view.job.deadline.instant_ms,
            self.worker.now_ms(),
            self.remaining_s(view),
        )

    def figures_of(self, view: JobView) -> ActiveJob:
        """Return the figures for a job's status."""
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
