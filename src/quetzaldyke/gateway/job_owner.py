"""Runs the jobs that this entry owns and takes over those of lost entries."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Final

from result import Ok

from quetzaldyke.gateway.batch_runner import BatchRunner
from quetzaldyke.gateway.job_records import JobState
from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.job_table import JobTable
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.membership import Ownership
from quetzaldyke.gateway.new_job import NewJob
from quetzaldyke.gateway.store_health import StoreHealth
from quetzaldyke.parts.rendezvous import first_for

MS_IN_S: Final = 1000
# Added to the retention, because the clocks of instances differ by seconds.
RETENTION_MARGIN_S: Final = 60.0


@dataclass(slots=True)
class JobOwner:
    """Decides which jobs the batch runner of one entry runs."""

    runner: BatchRunner
    table: JobTable
    store: JobStore
    ownership: Ownership
    health: StoreHealth
    now: Callable[[], float]
    # Owner ids of the entries whose load reports arrive.
    alive: Callable[[], Collection[str]]
    # How long after its acceptance a job can be read.
    retention_s: float
    # Set during a graceful shutdown.
    stopping: bool = False

    @property
    def owner_id(self) -> str:
        """Return the id under which this entry owns jobs."""
        return self.ownership.member.owner_id

    def on_job(self, job_id: str) -> None:
        """Stop a running job that has ended or that another entry owns."""
        if job_id not in self.runner.jobs:
            return
        view = self.table.jobs.get(job_id)
        if view is None or view.ended:
            self.runner.deactivate(job_id, 'ended')
        elif not self.owns(view.state):
            self.runner.deactivate(job_id, 'owned_by_another')

    def run_accepted(self, job: NewJob) -> None:
        """Run a job that this entry has just accepted.

        Does nothing if the job has ended or another entry owns it.
        """
        view = self.table.jobs.get(job.record.job_id)
        if view is not None and (view.ended or not self.owns(view.state)):
            return
        self.runner.activate(job.record, set(), {}, dict(job.bodies), [])

    def owns(self, state: JobState | None) -> bool:
        """Return whether this entry owns a job; true if `state` is None."""
        return state is None or state.owner_id == self.owner_id

    async def reconcile(self) -> None:
        """Run the jobs that this entry owns, and take over orphaned ones.

        Takes over no jobs while the store doesn't answer, and does nothing
        during a graceful shutdown.
        """
        if self.stopping:
            return
        for view in list(self.table.jobs.values()):
            if view.open and view.record and self.owns(view.state):
                await self.activate(view.record.job_id)
        if not self.health.up:
            return
        orphans = self.ownership.orphans(
            self.now(),
            self.health.up_since_s,
            self.alive(),
        )
        for job_id in orphans:
            await self.take_over(job_id)

    async def take_over(self, job_id: str) -> None:
        """Become the owner of a job and run it, unless the write fails."""
        taken = await self.store.take_over(job_id)
        outcome = 'taken' if isinstance(taken, Ok) else str(taken.err_value)
        log_event('job_taken_over', job=job_id, outcome=outcome)
        if isinstance(taken, Ok):
            await self.activate(job_id)

    async def activate(self, job_id: str) -> None:
        """Run a job that this entry owns, resuming from its partial outputs.

        Does nothing if the job is unknown, already runs, has ended or belongs
        to another entry.
        """
        view = self.table.jobs.get(job_id)
        if view is None or view.record is None or view.state is None:
            return
        if job_id in self.runner.jobs:
            return
        partials = await self.store.read_partials(job_id)
        if not view.open or not self.owns(view.state):
            return
        done = {result.item for result in view.state.results}
        self.runner.activate(
            view.record,
            done,
            view.state.failures,
            {},
            partials,
        )

    async def delete_expired(self) -> None:
        """Delete the jobs that are not open and whose retention is over.

        Each job is deleted only by the entry that ranks first for it.
        """
        if not self.health.up:
            return
        oldest_s = time.time() - self.retention_s - RETENTION_MARGIN_S
        for job_id, view in list(self.table.jobs.items()):
            record = view.record
            if record is None or record.accepted_ms > oldest_s * MS_IN_S:
                continue
            if (
                view.open
                or first_for(self.table.members, job_id) != self.owner_id
            ):
                continue
            await self.store.delete(job_id)
            log_event('job_expired', job=job_id)
