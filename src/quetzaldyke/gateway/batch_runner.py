"""Schedules and runs the items of the jobs that this entry owns."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import TaskGroup
from result import Ok

from quetzaldyke.gateway.active_job import (
    ActiveJob,
    FinishedItem,
    ItemProgress,
    unlisted_items,
)
from quetzaldyke.gateway.batch_schedule import BatchPolicy, RunTimeEstimator
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.exchange import Exchange
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.item_run import ItemRun, RunContext
from quetzaldyke.gateway.item_starter import ItemStarter
from quetzaldyke.gateway.job_records import JobRecord, Member, PartialOutput
from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.job_terms import (
    UNSERVED_GRACE_S,
    batch_route,
    can_never_run,
    current_terms,
    is_unserved,
    same_but_version,
)
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.preemption import Preemption
from quetzaldyke.gateway.reservation import Reservation
from quetzaldyke.gateway.result_writer import ResultWriter
from quetzaldyke.gateway.route_table import RouteTable
from quetzaldyke.parts.byte_budget import ByteBudget
from quetzaldyke.parts.rendezvous import first_for
from quetzaldyke.platform import names

MS_IN_S: Final = 1000
# Changes within this time share one scheduling pass.
SCHEDULE_DELAY_S: Final = 0.004
# Bytes of all outputs in memory.
MAX_OUTPUT_BYTES: Final = 25_165_824


@dataclass(slots=True)
class BatchRunner:
    """Schedules the active jobs of one entry."""

    dispatcher: Dispatcher
    client: HttpClient
    store: JobStore
    policy: BatchPolicy
    group: TaskGroup
    # Called when there are new items to start.
    on_pending: Callable[[], None]
    # Returns the routes in force; None before a configuration is known.
    routes: Callable[[], RouteTable | None]
    # Outputs of items that are not listed yet.
    outputs: ByteBudget = field(
        default_factory=lambda: ByteBudget(MAX_OUTPUT_BYTES)
    )
    jobs: dict[str, ActiveJob] = field(default_factory=dict)
    # Set during a graceful shutdown: no more items start.
    stopping: bool = False
    # Whether the peers' use of the endpoints is known; no items start before.
    peers_known: bool = False
    timer: asyncio.TimerHandle | None = None
    estimator: RunTimeEstimator = field(default_factory=RunTimeEstimator)
    preemption: Preemption = field(init=False)
    results: ResultWriter = field(init=False)
    starter: ItemStarter = field(init=False)
    run_context: RunContext = field(init=False)

    def __post_init__(self) -> None:
        """Build what all runs share."""
        self.preemption = Preemption(
            self.policy.grants.own_id,
            self.jobs,
            self.dispatcher.loads,
            self.dispatcher.endpoints,
        )
        self.results = ResultWriter(
            self.store, self.dispatcher.clock, self.group, self.jobs
        )
        self.starter = ItemStarter(
            self.dispatcher,
            self.policy,
            self.estimator,
            self.jobs,
            self.start_run,
            self.outputs,
        )
        self.run_context = RunContext(
            self.dispatcher,
            self.client,
            self.store,
            self.estimator,
            self.finish_item,
            self.store.sizes.output_bytes,
            self.needs_keys,
        )

    def needs_keys(self) -> bool:
        """Return whether requests need a key by the version in force."""
        table = self.routes()
        return table is not None and table.directory is not None

    def pending(self) -> int:
        """Return how many items could start if there were free slots."""
        return sum(
            not progress.running and not progress.finished
            for job in self.jobs.values()
            for progress in job.items.values()
        )

    def activate(
        self,
        record: JobRecord,
        done: set[int],
        failures: dict[int, int],
        bodies: dict[int, bytes],
        partials: list[PartialOutput],
    ) -> None:
        """Run items not in `done`, unless the job is active.

        Does nothing before a configuration is known.
        """
        table = self.routes()
        if table is None or record.job_id in self.jobs:
            return
        items = unlisted_items(record, done, failures)
        for progress in items.values():
            progress.count_bytes(self.outputs)
        for partial in partials:
            if partial.item in items:
                items[partial.item].restore(partial)
        job = ActiveJob(record, current_terms(record, table), items, bodies)
        job.saved_s = self.dispatcher.clock.now()
        self.jobs[record.job_id] = job
        log_event(
            'job_activated',
            job=record.job_id,
            items=len(items),
            listed=len(done),
            begun=len(partials),
            route=record.route,
            route_exists=batch_route(record, table) is not None,
        )
        # The owner before may have ended between a failure and its result.
        for progress in job.exhausted():
            self.finish_item(job, progress, False)
        self.on_pending()
        self.schedule_soon()

    def follow_routes(self) -> int:
        """Run the active jobs by the routes in force from now on.

        Runs that are under way go on. Returns how many jobs have got other
        terms.
        """
        table = self.routes()
        if table is None:
            return 0
        changed = 0
        for job in self.jobs.values():
            before = job.terms
            job.terms = current_terms(job.record, table, before)
            if same_but_version(before, job.terms):
                continue
            changed += 1
            log_event(
                'job_terms_changed',
                job=job.record.job_id,
                version=job.terms.version,
                services=','.join(one.service for one in job.terms.services),
                services_before=','.join(
                    one.service for one in before.services
                ),
                items=len(job.items),
                runs_elsewhere=job.count_runs_elsewhere(),
            )
        if changed:
            self.on_pending()
            self.schedule_soon()
        return changed

    def deactivate(self, job_id: str, reason: str) -> None:
        """Cancel an active job's runs and drop unwritten results; log why."""
        job = self.jobs.pop(job_id, None)
        if job is None:
            return
        job.stopped = True
        for progress in job.items.values():
            progress.release()
            if progress.exchange is not None:
                progress.exchange.cancel()
        log_event(
            'job_deactivated',
            job=job_id,
            reason=reason,
            unlisted=len(job.finished),
        )

    def schedule_soon(self) -> None:
        """Request a scheduling pass after a short delay."""
        if self.timer is None and self.jobs:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(SCHEDULE_DELAY_S, self.schedule)

    def on_peer_load(self, *, freed: bool) -> None:
        """Preempt runs that a peer's report calls for, and use freed slots."""
        self.preemption.preempt_overfull()
        if freed:
            self.schedule_soon()

    def schedule(self) -> None:
        """Preempt runs on overfull endpoints, then fill free slots."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None
        self.preemption.preempt_overfull()
        if self.stopping or not self.peers_known or not self.jobs:
            return
        self.starter.start_waiting()

    def start_run(
        self,
        job: ActiveJob,
        progress: ItemProgress,
        reservation: Reservation,
    ) -> None:
        """Run an item in a task of its own."""
        self.group.start_soon(self.run_item, job, progress, reservation)

    async def run_item(
        self,
        job: ActiveJob,
        progress: ItemProgress,
        reservation: Reservation,
    ) -> None:
        """Run an item; logs any exception, so that it can't end the entry."""
        exchange = Exchange(names.ATTEMPT_ID, progress.record.item_id.encode())
        exchange.count_bytes(self.client.answers)
        progress.endpoint_id = reservation.endpoint.endpoint_id
        progress.exchange = exchange
        run = ItemRun(self.run_context, job, progress, reservation, exchange)
        try:
            await run.run()
        except Exception as exc:
            run.delay_retry()
            log_event(
                'item_run_fault',
                item=progress.record.item_id,
                fault=repr(exc),
            )
        finally:
            self.note_use(run)
            self.end_run(progress, reservation)

    def note_use(self, run: ItemRun) -> None:
        """Count the events of a run as use of its organisation."""
        name = run.job.record.organisation
        events = run.progress.events_done - run.events_before
        if name and events > 0:
            self.starter.shares.add_use(name, events / self.estimator.events)

    def end_run(self, progress: ItemProgress, reservation: Reservation) -> None:
        """Release the slot of a run and request a scheduling pass."""
        progress.running = False
        progress.exchange = None
        self.dispatcher.release(reservation)
        self.schedule_soon()

    def finish_item(
        self,
        job: ActiveJob,
        progress: ItemProgress,
        completed: bool,
    ) -> None:
        """Keep the result of an item until it is written to the store."""
        progress.finished = True
        if progress.held is not None:
            # The output waits for the store, and can't be given up any more.
            progress.held.evictable = False
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
            **(progress.exchange.describe() if progress.exchange else {}),
        )

    async def tick(self) -> None:
        """Start items, fail expired ones, and write results that are due."""
        self.schedule()
        now_s = self.dispatcher.clock.now()
        for job in list(self.jobs.values()):
            self.fail_expired(job)
            self.results.write_due(job, now_s)

    async def hand_over_all(self, successors: Sequence[Member]) -> None:
        """Stop scheduling and hand all jobs over to other entries."""
        self.stopping = True
        for job_id in list(self.jobs):
            await self.hand_over(job_id, successors)

    async def hand_over(
        self, job_id: str, successors: Sequence[Member]
    ) -> None:
        """Cancel a job's runs, write its results and change its owner."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        for progress in job.items.values():
            if progress.exchange is not None:
                progress.exchange.cancel()
        while job.appending:
            await anyio.sleep(SCHEDULE_DELAY_S)
        if job.finished or job.has_unsaved_failures:
            job.appending = True
            await self.results.append(job)
        if not job.items or not successors:
            return
        chosen = first_for([peer.owner_id for peer in successors], job_id)
        successor = next(peer for peer in successors if peer.owner_id == chosen)
        handed = await self.store.hand_over(job_id, successor, job.partials())
        log_event(
            'job_handed_over',
            job=job_id,
            successor=successor.instance,
            items=len(job.items),
            outcome='ok' if isinstance(handed, Ok) else str(handed.err_value),
        )

    def fail_expired(self, job: ActiveJob) -> None:
        """Fail the idle items of a job whose wait, or whose route, is over."""
        reason = self.expiry_reason(job)
        if not reason:
            return
        idle = [
            progress
            for progress in job.items.values()
            if not progress.finished and not progress.running
        ]
        for progress in idle:
            self.finish_item(job, progress, False)
        if idle:
            log_event(
                'items_given_up',
                job=job.record.job_id,
                items=len(idle),
                reason=reason,
            )

    def expiry_reason(self, job: ActiveJob) -> str:
        """Return why the items of a job may be failed; empty if they wait."""
        if time.time() * MS_IN_S >= job.expires_ms:
            return 'longest_wait_over'
        table = self.routes()
        if table is None:
            return ''
        if can_never_run(job.record, table, job.terms):
            return 'route_ended'
        if self.unserved_s(job, table) >= UNSERVED_GRACE_S:
            return 'route_ended_unserved'
        return ''

    def unserved_s(self, job: ActiveJob, table: RouteTable) -> float:
        """Return for how long no endpoint takes a job of an ended route.

        Before any endpoint is known this proves nothing.
        """
        endpoints = self.dispatcher.endpoints
        now_s = self.dispatcher.clock.now()
        unserved = bool(endpoints.by_id) and is_unserved(
            job.record,
            table,
            job.terms,
            lambda service: bool(endpoints.usable(service, now_s)),
        )
        return job.note_served(served=not unserved, now_s=now_s)
