"""Runs the items of the jobs that this entry owns."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok

from quetzaldyke.gateway.active_job import (
    ActiveJob,
    FinishedItem,
    ItemProgress,
)
from quetzaldyke.gateway.batch_schedule import (
    BatchPolicy,
    Candidate,
    Demand,
    RunTimes,
    pair,
    start_order,
)
from quetzaldyke.gateway.dispatcher import Dispatcher, Reservation
from quetzaldyke.gateway.exchange import Exchange
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.item_run import ItemRun, RunContext
from quetzaldyke.gateway.job_records import JobRecord, Member, PartialOutput
from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.model import Route
from quetzaldyke.parts.rendezvous import first_for
from quetzaldyke.platform import names

MS_IN_S: Final = 1000
# News within this time share one look at the free slots.
SCHEDULE_DELAY_S: Final = 0.004
# A lost entry costs at most this much of the work of its runs.
PARTIALS_INTERVAL_S: Final = 2.0
# Events that make it worth while to keep them.
MIN_NEW_EVENTS: Final = 30
# Results wait this long for others of their job, to share one write.
RESULT_DELAY_S: Final = 0.7


@dataclass(slots=True)
class BatchRunner:
    """Active jobs of one entry."""

    dispatcher: Dispatcher
    client: HttpClient
    store: JobStore
    policy: BatchPolicy
    group: TaskGroup
    # How old the news about other entries may be.
    news_age_s: Callable[[], float]
    find_route: Callable[[str], Route | None]
    jobs: dict[str, ActiveJob] = field(default_factory=dict)
    # Set at a planned stop: nothing new starts.
    stopping: bool = False
    # Whether the peers' use of the endpoints is known.
    joined: bool = False
    handle: asyncio.TimerHandle | None = None
    times: RunTimes = field(default_factory=RunTimes)
    run_context: RunContext = field(init=False)

    def __post_init__(self) -> None:
        """Share what all runs need."""
        self.run_context = RunContext(
            self.dispatcher,
            self.client,
            self.store,
            self.times,
            self.finish,
        )

    def pending(self) -> int:
        """Return how many items could start, were there room."""
        return sum(
            not one.running and not one.finished
            for job in self.jobs.values()
            for one in job.items.values()
        )

    def activate(
        self,
        record: JobRecord,
        listed: set[int],
        failures: dict[int, int],
        bodies: dict[int, bytes],
        partials: list[PartialOutput],
    ) -> None:
        """Run the items of a job that have no result."""
        route = self.find_route(record.route)
        if route is None or record.job_id in self.jobs:
            return
        items = {
            index: ItemProgress(index, item, failures=failures.get(index, 0))
            for index, item in enumerate(record.items)
            if index not in listed
        }
        for partial in partials:
            if partial.item in items:
                items[partial.item].splitter.last_id = partial.last_event
                items[partial.item].outputs.append(partial.output)
        job = ActiveJob(record, route, items, bodies)
        job.saved_s = self.dispatcher.clock.now()
        self.jobs[record.job_id] = job
        log_event(
            'job_activated',
            job=record.job_id,
            items=len(items),
            listed=len(listed),
            begun=len(partials),
        )
        self.schedule_soon()

    def deactivate(self, job_id: str, reason: str) -> None:
        """Stop all runs of a job."""
        job = self.jobs.pop(job_id, None)
        if job is None:
            return
        job.stopped = True
        for one in job.items.values():
            if one.exchange is not None:
                one.exchange.cancel()
        log_event(
            'job_deactivated',
            job=job_id,
            reason=reason,
            unlisted=len(job.finished),
        )

    def schedule_soon(self) -> None:
        """Look at the free slots shortly."""
        if self.handle is None and self.jobs:
            loop = asyncio.get_running_loop()
            self.handle = loop.call_later(SCHEDULE_DELAY_S, self.schedule)

    def schedule(self) -> None:
        """Preempt where needed, then start items on free slots."""
        if self.handle is not None:
            self.handle.cancel()
        self.handle = None
        self.preempt_surplus()
        if self.stopping or not self.joined or not self.jobs:
            return
        now_s = self.dispatcher.clock.now()
        by_service: dict[str, list[Candidate]] = {}
        for job in self.jobs.values():
            service = job.route.services[0].service
            by_service.setdefault(service, []).extend(
                job.candidates(now_s, self.times)
            )
        for service, candidates in by_service.items():
            if candidates:
                self.start_on_free_slots(service, candidates, now_s)

    def start_on_free_slots(
        self,
        service: str,
        candidates: list[Candidate],
        now_s: float,
    ) -> None:
        """Start the most urgent items on the emptiest endpoints."""
        if len(self.dispatcher.queue(service)):
            return
        usable = self.dispatcher.endpoints.usable(service, now_s)
        demand = Demand(
            len(candidates),
            self.dispatcher.loads.pending_elsewhere(),
            self.news_age_s(),
        )
        rooms = self.policy.rooms(usable, demand, now_s)
        usable_ids = {one.endpoint_id for one in usable}
        ordered = start_order(candidates)
        for candidate, endpoint in pair(ordered, rooms, usable_ids):
            job = self.jobs[candidate.job_id]
            progress = job.items[candidate.item]
            progress.running = True
            reservation = self.dispatcher.acquire_on(endpoint, online=False)
            self.group.start_soon(self.run_item, job, progress, reservation)

    def preempt_surplus(self) -> None:
        """Stop own runs on endpoints that hold too many requests."""
        for endpoint_id, running in list(self.dispatcher.loads.own.items()):
            if not running.batch:
                continue
            tracked = self.dispatcher.endpoints.by_id.get(endpoint_id)
            if tracked is None:
                continue
            slots = tracked.endpoint.slots
            for _ in range(self.policy.surplus(endpoint_id, slots)):
                self.stop_one(endpoint_id)

    def stop_one(self, endpoint_id: str) -> bool:
        """Stop the run on an endpoint that has done least."""
        runs = [
            (-job.due_ms, one.events_done, number, one)
            for job in self.jobs.values()
            for number, one in job.items.items()
            if one.running
            and one.endpoint_id == endpoint_id
            and one.exchange is not None
            and one.exchange.failure is None
            and not one.exchange.complete
        ]
        if not runs:
            return False
        chosen = min(runs, key=lambda run: run[:3])[3]
        assert chosen.exchange is not None
        chosen.exchange.cancel()
        log_event(
            'item_preempted',
            item=chosen.record.item_id,
            endpoint=endpoint_id,
            events=chosen.events_done,
        )
        return True

    async def run_item(
        self,
        job: ActiveJob,
        progress: ItemProgress,
        reservation: Reservation,
    ) -> None:
        """Run an item; a fault in one run must not end the entry."""
        exchange = Exchange(names.ATTEMPT_ID, progress.record.item_id.encode())
        progress.endpoint_id = reservation.endpoint.endpoint_id
        progress.exchange = exchange
        run = ItemRun(self.run_context, job, progress, reservation, exchange)
        try:
            await run.run()
        except Exception as exc:
            run.wait_before_retry()
            log_event(
                'item_run_fault',
                item=progress.record.item_id,
                fault=repr(exc),
            )
        finally:
            self.end_run(progress, reservation)

    def end_run(self, progress: ItemProgress, reservation: Reservation) -> None:
        """Give the place back and look for the next item."""
        progress.running = False
        progress.exchange = None
        self.dispatcher.release(reservation)
        self.schedule_soon()

    def finish(
        self,
        job: ActiveJob,
        progress: ItemProgress,
        completed: bool,
    ) -> None:
        """Keep a result until it is listed."""
        progress.finished = True
        output = b'\n'.join(progress.outputs) if completed else b''
        if not job.finished:
            job.finished_since_s = self.dispatcher.clock.now()
        job.finished.append(FinishedItem(progress.item, completed, output))
        log_event(
            'item_done',
            item=progress.record.item_id,
            job=job.record.job_id,
            completed=completed,
            events=progress.events_done,
            failures=progress.failures,
        )

    async def tick(self) -> None:
        """Start items, give up those that are too old, list results."""
        self.schedule()
        now_s = self.dispatcher.clock.now()
        for job in list(self.jobs.values()):
            self.give_up_old(job)
            self.save_if_due(job, now_s)
            if not job.finished or job.listing:
                continue
            waited_s = now_s - job.finished_since_s
            alone = all(one.finished for one in job.items.values())
            if alone or waited_s >= RESULT_DELAY_S:
                job.listing = True
                self.group.start_soon(self.list_results, job)

    def save_if_due(self, job: ActiveJob, now_s: float) -> None:
        """Keep partial outputs now and then."""
        if job.saving or now_s - job.saved_s < PARTIALS_INTERVAL_S:
            return
        partials = job.partials()
        events = sum(one.last_event for one in partials)
        if abs(events - job.saved_events) < MIN_NEW_EVENTS:
            return
        job.saving = True
        job.saved_s = now_s
        job.saved_events = events
        self.group.start_soon(self.save_partials, job, partials)

    async def save_partials(
        self,
        job: ActiveJob,
        partials: list[PartialOutput],
    ) -> None:
        """Write partial outputs to the store."""
        try:
            saved = await self.store.save_partials(job.record.job_id, partials)
        finally:
            job.saving = False
        if isinstance(saved, Err):
            log_event(
                'partials_not_saved',
                job=job.record.job_id,
                reason=str(saved.err_value),
            )

    async def hand_over_all(self, successors: Sequence[Member]) -> None:
        """Stop all runs and give the jobs to other entries."""
        self.stopping = True
        for job_id in list(self.jobs):
            await self.hand_over(job_id, successors)

    async def hand_over(
        self, job_id: str, successors: Sequence[Member]
    ) -> None:
        """Give a job with its results and partial outputs to another."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        for one in job.items.values():
            if one.exchange is not None:
                one.exchange.cancel()
        while job.listing:
            await anyio.sleep(SCHEDULE_DELAY_S)
        if job.finished:
            job.listing = True
            await self.list_results(job)
        if not job.items or not successors:
            return
        chosen = first_for([one.owner_id for one in successors], job_id)
        successor = next(one for one in successors if one.owner_id == chosen)
        handed = await self.store.hand_over(job_id, successor, job.partials())
        log_event(
            'job_handed_over',
            job=job_id,
            successor=successor.instance,
            items=len(job.items),
            outcome='ok' if isinstance(handed, Ok) else str(handed.err_value),
        )

    def give_up_old(self, job: ActiveJob) -> None:
        """Give up the items of a job whose longest wait is over."""
        if time.time() * MS_IN_S < job.give_up_ms:
            return
        for one in job.items.values():
            if not one.finished and not one.running:
                self.finish(job, one, False)

    async def list_results(self, job: ActiveJob) -> None:
        """Write finished items to the store."""
        batch = list(job.finished)
        try:
            listed = await self.store.list_results(
                job.record.job_id,
                [(one.item, one.completed, one.output) for one in batch],
                {
                    one.item: one.failures
                    for one in job.items.values()
                    if one.failures and not one.finished
                },
            )
        finally:
            job.listing = False
        if isinstance(listed, Err):
            log_event(
                'results_not_listed',
                job=job.record.job_id,
                results=len(batch),
                reason=str(listed.err_value),
            )
            job.finished_since_s = self.dispatcher.clock.now()
            return
        del job.finished[: len(batch)]
        for one in batch:
            job.items.pop(one.item, None)
        job.finished_since_s = self.dispatcher.clock.now()
        log_event(
            'results_listed',
            job=job.record.job_id,
            results=len(batch),
            left=len(job.items),
        )
        if not job.items:
            self.jobs.pop(job.record.job_id, None)
