"""Owner side of batch work: claims segments and runs their items.

An item starts only on a sidecar's grant, while this process is sure of its
ownership and has memory for the result. Results are recorded in groups.
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
from quetzaldyke.process.batch_claims import Claims
from quetzaldyke.process.batch_commit import CommitOutcome, Committer
from quetzaldyke.process.batch_demand import (
    DemandBook,
    JobDemand,
    lenders_of,
)
from quetzaldyke.process.batch_guard import guarded
from quetzaldyke.process.batch_items import (
    Attempt,
    RunOn,
    count_try,
    judge,
    receive,
    request_id_of,
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

# A segment holds up to 4 MB of items in memory; these bound the sum and
# leave room for several jobs.
MAX_SEGMENTS: Final = 16
MAX_URGENT_SEGMENTS: Final = 24
MAX_SEGMENTS_OF_JOB: Final = 4
# A process that did not run for this long may have lost its ownership.
PAUSE_LIMIT_S: Final = 3.0

Reply = Callable[[SegmentState], None]


@dataclass(frozen=True, slots=True)
class WorkerOptions:
    """Limits of one entry's batch work."""

    held_results_bytes: int
    drain_s: float


@dataclass(slots=True)
class BatchWorker:
    """Segments that this entry owns."""

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
    demands: DemandBook = field(default_factory=DemandBook)
    stopping: bool = False
    last_alive_s: float = 0.0
    claims: Claims = field(init=False)
    # Called with the state of a segment after each commit.
    on_state: Reply = field(default=lambda _: None)

    def __post_init__(self) -> None:
        """Start the pause check at the present time."""
        self.last_alive_s = self.clock.now()
        self.claims = Claims(self.store, self.fleet, self.clock.now)

    @property
    def committer(self) -> Committer:
        """Return the writer of results."""
        return Committer(self.store, self.clock.now)

    @property
    def own(self) -> str:
        """Return the name of this entry."""
        return self.fleet.own.instance

    def subscribe(self) -> None:
        """Register for the messages that concern owners."""
        self.fleet.subscribe(SegmentOffer, self.on_offer)
        self.fleet.subscribe(BatchGrant, self.on_grant)

    def start_task(
        self,
        name: str,
        run: Callable[..., Awaitable[None]],
        *arguments: object,
    ) -> None:
        """Run background work in the entry's group."""
        task = partial(run, *arguments)
        self.group.start_soon(guarded, self.log_event, name, task)

    # Claims

    async def on_offer(self, session: PeerSession, message: Message) -> None:
        """Handle an offer of another entry."""
        if isinstance(message, SegmentOffer):
            self.offer(message, session.send)

    def offer(self, message: SegmentOffer, reply: Reply) -> None:
        """Claim an offered segment, or report one that is owned."""
        segment_id = (message.job_id, message.segment)
        owned = self.segments.get(segment_id)
        if owned is not None:
            owned.slack_s = message.slack_s
            reply(state_of(owned))
            return
        if segment_id in self.claiming or not self.has_room(message):
            return
        self.claiming.add(segment_id)
        self.start_task('claim', self.claim, message, reply)

    def has_room(self, message: SegmentOffer) -> bool:
        """Tell whether one more segment of a job should be claimed."""
        if self.stopping or message.job_id in self.cancelled:
            return False
        of_job = [one for one in self.ids() if one[0] == message.job_id]
        if len(of_job) >= MAX_SEGMENTS_OF_JOB:
            return False
        urgent = message.slack_s < 0
        limit = MAX_URGENT_SEGMENTS if urgent else MAX_SEGMENTS
        return len(self.segments) + len(self.claiming) < limit

    def ids(self) -> Iterator[SegmentId]:
        """Yield the segments that are owned or being claimed."""
        yield from self.segments
        yield from self.claiming

    async def claim(self, message: SegmentOffer, reply: Reply) -> None:
        """Claim a segment and start to ask for its items."""
        segment_id = (message.job_id, message.segment)
        try:
            outcome = await self.claims.claim(message)
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

    # Starts

    def may_start(self) -> bool:
        """Tell whether items may start now."""
        return (
            not self.stopping
            and self.clock.now() - self.last_alive_s <= PAUSE_LIMIT_S
            and self.held_bytes() < self.options.held_results_bytes
        )

    def held_bytes(self) -> int:
        """Return the memory that results take until they are recorded."""
        return sum(one.held_bytes for one in self.segments.values())

    async def on_grant(self, session: PeerSession, message: Message) -> None:
        """Start items of the job that a sidecar granted room for."""
        link = self.fleet.link_of(session)
        if link is None or not isinstance(message, BatchGrant):
            return
        self.demands.granted(session, message)
        if not self.may_start():
            self.demands.withdraw(session, message)
            return
        for _ in range(message.count):
            chosen = self.next_item(message.job_id)
            if chosen is None:
                self.demands.withdraw(session, message)
                break
            attempt = Attempt(
                *chosen,
                link,
                message.grant_id,
                self.fingerprint_of(*chosen),
            )
            chosen[0].running[chosen[1]] = anyio.CancelScope()
            self.start_task('item', self.run_item, attempt)

    def next_item(self, job_id: str) -> tuple[OwnedSegment, int] | None:
        """Take the next waiting item of a job, lower segments first."""
        for segment_id in sorted(self.segments):
            segment = self.segments[segment_id]
            if segment_id[0] != job_id or not segment.confirmed:
                continue
            if segment.waiting:
                return segment, segment.waiting.popleft()
        return None

    def fingerprint_of(self, segment: OwnedSegment, index: int) -> str:
        """Return the fingerprint of an item, as for online requests."""
        item = segment.items[index]
        return fingerprint(segment.job.pool, item.url, item.body)

    async def run_item(self, attempt: Attempt) -> None:
        """Run one item; a fault of its handling counts as a failed try."""
        try:
            judged, interrupted = await self.try_item(attempt)
        except Exception as exc:
            self.log_event('item_fault', fault=repr(exc))
            judged = count_try(attempt, 'fault', self.max_tries, self.now_ms())
            interrupted = False
        finally:
            attempt.segment.running.pop(attempt.index, None)
        if judged is None:
            attempt.segment.put_back(attempt.index, interrupted)
            job_id = attempt.segment.job.job_id
            self.demands.refused(attempt.link.session, job_id)
            return
        attempt.segment.partials.pop(attempt.index, None)
        attempt.segment.hold(judged, self.clock.now())

    async def try_item(
        self,
        attempt: Attempt,
    ) -> tuple[ItemResult | None, bool]:
        """Return the result, if there is one, and if it was interrupted."""
        segment, index = attempt.segment, attempt.index
        submit = attempt.submit(request_id_of(attempt))
        self.log_event(
            'item_started',
            request_id=submit.request_id,
            job_id=submit.job_id,
            endpoint=attempt.link.instance.instance,
        )
        received = None
        with segment.running[index]:
            received = await receive(self.run, attempt, submit)
        if received is None:
            return None, True
        judged = judge(attempt, received, self.max_tries, self.now_ms())
        segment.partials[index] = received.partial()
        self.log_event(
            'item_ended',
            request_id=submit.request_id,
            job_id=submit.job_id,
            recordable=judged is not None,
        )
        return judged, received.interrupted

    @property
    def max_tries(self) -> int:
        """Return the tries after which an item is recorded as failed."""
        return self.holder.current.max_item_tries

    # Demands

    def send_demands(self) -> None:
        """Tell the sidecars of each job's pools what waits."""
        now_s = self.clock.now()
        self.demands.keep_only(self.fleet.sessions())
        for demand in self.job_demands():
            lenders = lenders_of(
                self.holder.current,
                demand.pool,
                at_risk=demand.slack_s < 0,
            )
            for pool in lenders:
                for link in self.fleet.links_of(pool):
                    self.demands.announce(link.session, demand, now_s)

    def job_demands(self) -> list[JobDemand]:
        """Return what waits of each job; nothing while starts are off."""
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
        """Return the demand of one job with its slack now."""
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
        """Record the results of every segment whose commit is due."""
        now_s = self.clock.now()
        for segment in list(self.segments.values()):
            if segment.commit_due(now_s):
                segment.committing = True
                self.start_task('commit', self.commit, segment)

    async def commit(self, segment: OwnedSegment) -> None:
        """Record the results of one segment."""
        self.apply(segment, await self.committer.commit(segment))

    def apply(self, segment: OwnedSegment, outcome: CommitOutcome) -> None:
        """Act on what a commit or a check found."""
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
