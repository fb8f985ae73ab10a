"""Claims segments of batch jobs and runs their items, as their owner.

An item starts only with a sidecar's grant, and only while this process is
certain that it owns the segment and has memory left for the result. Results
are written to the store in groups.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Final

import anyio
from anyio.abc import TaskGroup
from result import Err

from quetzaldyke.connection.batch_messages import SegmentState
from quetzaldyke.connection.messages import (
    BatchGrant,
    Message,
    SegmentOffer,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.durable.records import ItemResult
from quetzaldyke.durable.service import ConfigurationHolder
from quetzaldyke.parts.hlc import wall_clock_ms
from quetzaldyke.parts.kv import KeyValueStore
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.batch_claims import SegmentClaimer
from quetzaldyke.process.batch_commit import CommitOutcome, Committer
from quetzaldyke.process.batch_demand import (
    JobDemand,
    SentDemands,
    pools_for_batch,
)
from quetzaldyke.process.batch_guard import run_guarded
from quetzaldyke.process.batch_items import (
    HELD_ITEM_DELAY_S,
    Attempt,
    RunOn,
    collect_output,
    count_try,
    request_id_of,
    result_of,
)
from quetzaldyke.process.batch_state import (
    OwnedSegment,
    SegmentId,
    closed_state,
    state_of,
)
from quetzaldyke.process.fleet import Fleet
from quetzaldyke.process.logs import LogEvent
from quetzaldyke.request.attempt import run_on
from quetzaldyke.request.fingerprint import fingerprint

# Limits of the segments that this entry owns at the same time. A segment keeps
# up to 4 MB of items in memory; the limits bound the total and leave room for
# several jobs.
MAX_SEGMENTS: Final = 16
MAX_URGENT_SEGMENTS: Final = 24
MAX_SEGMENTS_OF_JOB: Final = 4
# A process that was paused for longer may have lost its segments to another
# owner.
PAUSE_LIMIT_S: Final = 3.0

Reply = Callable[[SegmentState], None]


@dataclass(frozen=True, slots=True)
class WorkerOptions:
    """Settings of one entry's batch work."""

    held_results_bytes: int
    drain_s: float


@dataclass(slots=True)
class BatchWorker:
    """Owns segments for one entry and runs their items."""

    options: WorkerOptions
    store: KeyValueStore
    holder: ConfigurationHolder
    fleet: Fleet
    clock: Clock
    log_event: LogEvent
    group: TaskGroup
    now_ms: Callable[[], int] = wall_clock_ms
    run: RunOn = run_on
    segments: dict[SegmentId, OwnedSegment] = field(default_factory=dict)
    claiming: set[SegmentId] = field(default_factory=set)
    cancelled: dict[str, None] = field(default_factory=dict)
    demands: SentDemands = field(default_factory=SentDemands)
    stopping: bool = False
    last_tick_s: float = 0.0
    claimer: SegmentClaimer = field(init=False)
    # Called with a segment's state after a commit or an ownership check, unless
    # the segment was lost or the store call failed.
    on_state: Reply = field(default=lambda _: None)

    def __post_init__(self) -> None:
        """Start the pause detection at the present time."""
        self.last_tick_s = self.clock.now()
        self.claimer = SegmentClaimer(self.store, self.fleet, self.clock.now)

    @property
    def committer(self) -> Committer:
        """Return what writes results to the store."""
        return Committer(self.store, self.clock.now)

    @property
    def own_name(self) -> str:
        """Return the name of this entry."""
        return self.fleet.own.instance

    def subscribe(self) -> None:
        """Subscribe to segment offers and to grants."""
        self.fleet.subscribe(SegmentOffer, self.on_offer)
        self.fleet.subscribe(BatchGrant, self.on_grant)

    def start_task(
        self,
        name: str,
        run: Callable[..., Awaitable[None]],
        *arguments: object,
    ) -> None:
        """Start a background task whose exceptions are logged."""
        task = partial(run, *arguments)
        self.group.start_soon(run_guarded, self.log_event, name, task)

    # Claims

    async def on_offer(self, session: PeerSession, message: Message) -> None:
        """Handle a segment offer from another entry."""
        if isinstance(message, SegmentOffer):
            self.offer(message, session.send)

    def offer(self, message: SegmentOffer, reply: Reply) -> None:
        """Start to claim an offered segment, or reply with its state if owned.

        Ignores the offer while a claim is running or none is allowed.
        """
        segment_id = (message.job_id, message.segment)
        owned = self.segments.get(segment_id)
        if owned is not None:
            owned.slack_s = message.slack_s
            reply(state_of(owned))
            return
        if segment_id in self.claiming or not self.may_claim(message):
            return
        self.claiming.add(segment_id)
        self.start_task('claim', self.claim, message, reply)

    def may_claim(self, message: SegmentOffer) -> bool:
        """Return whether one more segment of a job may be claimed."""
        if self.stopping or message.job_id in self.cancelled:
            return False
        of_job = [
            one
            for one in self.claimed_or_claiming()
            if one[0] == message.job_id
        ]
        if len(of_job) >= MAX_SEGMENTS_OF_JOB:
            return False
        urgent = message.slack_s < 0
        limit = MAX_URGENT_SEGMENTS if urgent else MAX_SEGMENTS
        return len(self.segments) + len(self.claiming) < limit

    def claimed_or_claiming(self) -> Iterator[SegmentId]:
        """Yield the ids of the segments that are owned or being claimed."""
        yield from self.segments
        yield from self.claiming

    async def claim(self, message: SegmentOffer, reply: Reply) -> None:
        """Claim a segment and announce its items to the sidecars.

        Replies with the segment's state, or that it is closed if its record
        has another owner. After any other failure it doesn't reply, and a
        later offer leads to another try.
        """
        segment_id = (message.job_id, message.segment)
        try:
            outcome = await self.claimer.claim(message)
        finally:
            self.claiming.discard(segment_id)
        if isinstance(outcome, Err):
            if outcome.err_value == 'taken':
                reply(closed_state(message))
            return
        claimed = outcome.ok_value
        if self.stopping or message.job_id in self.cancelled:
            await self.committer.release(claimed)
            return
        claimed.slack_s = message.slack_s
        self.segments[segment_id] = claimed
        self.log_event(
            'segment_claimed',
            job_id=message.job_id,
            segment=message.segment,
            epoch=claimed.progress.epoch,
        )
        reply(state_of(claimed))
        self.send_demands()

    # Starting items

    def may_start(self) -> bool:
        """Return whether items may start now.

        False while stopping, after a pause that is too long, and while
        unrecorded results fill the memory set aside for them.
        """
        return (
            not self.stopping
            and self.clock.now() - self.last_tick_s <= PAUSE_LIMIT_S
            and self.held_bytes() < self.options.held_results_bytes
        )

    def held_bytes(self) -> int:
        """Return the size of all results that are not recorded yet."""
        return sum(one.held_bytes for one in self.segments.values())

    async def on_grant(self, session: PeerSession, message: Message) -> None:
        """Start items of the granted job; return a grant that can't be used."""
        link = self.fleet.link_of(session)
        if link is None or not isinstance(message, BatchGrant):
            return
        self.demands.subtract_grant(session, message)
        if not self.may_start():
            self.demands.return_grant(session, message)
            return
        for _ in range(message.count):
            chosen = self.next_item(message.job_id)
            if chosen is None:
                self.demands.return_grant(session, message)
                break
            attempt = Attempt(
                *chosen,
                link,
                message.grant_id,
                self.item_fingerprint(*chosen),
            )
            chosen[0].running[chosen[1]] = anyio.CancelScope()
            self.start_task('item', self.run_item, attempt)

    def next_item(self, job_id: str) -> tuple[OwnedSegment, int] | None:
        """Take the next waiting item of a job, lowest segment number first.

        Returns None if no confirmed segment of the job has a waiting item.
        """
        for segment_id in sorted(self.segments):
            segment = self.segments[segment_id]
            if segment_id[0] != job_id or not segment.confirmed:
                continue
            if segment.waiting:
                return segment, segment.waiting.popleft()
        return None

    def item_fingerprint(self, segment: OwnedSegment, index: int) -> str:
        """Return an item's fingerprint, computed as for online requests."""
        item = segment.items[index]
        return fingerprint(segment.job.pool, item.url, item.body)

    async def run_item(self, attempt: Attempt) -> None:
        """Run one item and hold its result, or queue the item again.

        An exception in the handling of the item counts as a failed try.
        """
        try:
            result, interrupted = await self.run_attempt(attempt)
        except Exception as exc:
            self.log_event('item_fault', fault=repr(exc))
            result = count_try(attempt, 'fault', self.max_tries, self.now_ms())
            interrupted = False
        finally:
            attempt.segment.running.pop(attempt.index, None)
        if result is None:
            attempt.segment.requeue(attempt.index, interrupted)
            job_id = attempt.segment.job.job_id
            self.demands.resend_soon(attempt.link.session, job_id)
            return
        attempt.segment.partials.pop(attempt.index, None)
        attempt.segment.hold_result(result, self.clock.now())

    async def run_attempt(
        self,
        attempt: Attempt,
    ) -> tuple[ItemResult | None, bool]:
        """Run one attempt; return its result and whether it was interrupted.

        The result is None when the item must run again.
        """
        segment, index = attempt.segment, attempt.index
        submit = attempt.submit(request_id_of(attempt))
        self.log_event(
            'item_started',
            request_id=submit.request_id,
            job_id=submit.job_id,
            endpoint=attempt.link.instance.instance,
        )
        output = None
        with segment.running[index]:
            output = await collect_output(self.run, attempt, submit)
        if output is None:
            return None, True
        result = result_of(attempt, output, self.max_tries, self.now_ms())
        segment.partials[index] = output.partial()
        if output.held:
            await anyio.sleep(HELD_ITEM_DELAY_S)
        self.log_event(
            'item_ended',
            request_id=submit.request_id,
            job_id=submit.job_id,
            recordable=result is not None,
        )
        return result, output.interrupted

    @property
    def max_tries(self) -> int:
        """Return the failed tries after which an item is recorded as failed."""
        return self.holder.current.max_item_tries

    # Demands

    def send_demands(self) -> None:
        """Send each job's demand to the sidecars that may run its items."""
        now_s = self.clock.now()
        self.demands.keep_sessions(self.fleet.sessions())
        for demand in self.job_demands():
            pools = pools_for_batch(
                self.holder.current,
                demand.pool,
                at_risk=demand.slack_s < 0,
            )
            for pool in pools:
                for link in self.fleet.links_of(pool):
                    self.demands.send_if_outdated(link.session, demand, now_s)

    def job_demands(self) -> list[JobDemand]:
        """Return the demand of each job; zero items while none may start."""
        counts: dict[str, int] = {}
        latest: dict[str, OwnedSegment] = {}
        may_start = self.may_start()
        for segment in self.segments.values():
            job_id = segment.job.job_id
            waiting = len(segment.waiting) if may_start else 0
            counts[job_id] = counts.get(job_id, 0) + waiting
            latest[job_id] = segment
        return [
            self.demand_of(segment, counts[job_id])
            for job_id, segment in latest.items()
        ]

    def demand_of(self, segment: OwnedSegment, count: int) -> JobDemand:
        """Return a demand for `count` items with the segment's last slack."""
        job = segment.job
        return JobDemand(
            job.pool,
            job.organisation,
            job.job_id,
            count,
            segment.slack_s,
        )

    # Results

    async def commit_due(self) -> None:
        """Start to record the results of each segment whose commit is due."""
        now_s = self.clock.now()
        for segment in list(self.segments.values()):
            if segment.commit_due(now_s):
                segment.committing = True
                self.start_task('commit', self.commit, segment)

    async def commit(self, segment: OwnedSegment) -> None:
        """Record the held results of one segment."""
        self.apply_outcome(segment, await self.committer.commit(segment))

    def apply_outcome(
        self, segment: OwnedSegment, outcome: CommitOutcome
    ) -> None:
        """Report an open or done segment; drop one that is done or lost."""
        if outcome == 'open':
            self.on_state(state_of(segment))
        if outcome in {'open', 'retry'}:
            return
        segment.drop()
        if self.segments.get(segment.segment_id) is segment:
            self.segments.pop(segment.segment_id)
        self.log_event(
            f'segment_{outcome}',
            job_id=segment.job.job_id,
            segment=segment.number,
            epoch=segment.progress.epoch,
        )
        if outcome == 'done':
            self.on_state(state_of(segment))
