"""Runs the jobs that this entry owns, and takes over those of lost entries."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Final

from result import Ok

from quetzaldyke.gateway.batch_runner import BatchRunner
from quetzaldyke.gateway.job_book import JobBook
from quetzaldyke.gateway.job_records import JobState
from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.membership import Ownership
from quetzaldyke.gateway.new_job import NewJob
from quetzaldyke.gateway.store_health import StoreHealth
from quetzaldyke.parts.rendezvous import first_for

MS_IN_S: Final = 1000
# Clocks of instances differ by seconds; a job is kept this much longer.
RETENTION_MARGIN_S: Final = 60.0


@dataclass(slots=True)
class JobOwner:
    """The jobs of one entry."""

    runner: BatchRunner
    book: JobBook
    store: JobStore
    ownership: Ownership
    health: StoreHealth
    now: Callable[[], float]
    # Entries whose reports arrive.
    alive: Callable[[], Collection[str]]
    # How long a job can be read after its acceptance.
    retention_s: float
    # Set at a planned stop.
    stopping: bool = False

    @property
    def owner_id(self) -> str:
        """Return the id under which this entry owns jobs."""
        return self.ownership.member.owner_id

    def on_job(self, job_id: str) -> None:
        """Stop what this entry must not run any more."""
        if job_id not in self.runner.jobs:
            return
        view = self.book.jobs.get(job_id)
        if view is None or view.ended:
            self.runner.deactivate(job_id, 'ended')
        elif not self.owns(view.state):
            self.runner.deactivate(job_id, 'owned_by_another')

    def run_accepted(self, job: NewJob) -> None:
        """Run a job that this entry has just accepted."""
        view = self.book.jobs.get(job.record.job_id)
        if view is not None and (view.ended or not self.owns(view.state)):
            return
        self.runner.activate(job.record, set(), {}, dict(job.bodies), [])

    def owns(self, state: JobState | None) -> bool:
        """Tell whether a state names this entry; one not seen yet does."""
        return state is None or state.owner_id == self.owner_id

    async def check(self) -> None:
        """Run the jobs that this entry owns, and take over orphans."""
        if self.stopping:
            return
        for view in list(self.book.jobs.values()):
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
        """Become the owner of a job and run it."""
        taken = await self.store.take_over(job_id)
        outcome = 'taken' if isinstance(taken, Ok) else str(taken.err_value)
        log_event('job_taken_over', job=job_id, outcome=outcome)
        if isinstance(taken, Ok):
            await self.activate(job_id)

    async def activate(self, job_id: str) -> None:
        """Run a job that this entry owns, from what earlier runs left."""
        view = self.book.jobs.get(job_id)
        if view is None or view.record is None or view.state is None:
            return
        if job_id in self.runner.jobs:
            return
        partials = await self.store.read_partials(job_id)
        if not view.open or not self.owns(view.state):
            return
        listed = {one.item for one in view.state.listed}
        self.runner.activate(
            view.record,
            listed,
            view.state.failures,
            {},
            partials,
        )

    async def forget_old(self) -> None:
        """Delete the jobs whose retention is over, on one entry."""
        if not self.health.up:
            return
        oldest_s = time.time() - self.retention_s - RETENTION_MARGIN_S
        for job_id, view in list(self.book.jobs.items()):
            record = view.record
            if record is None or record.accepted_ms > oldest_s * MS_IN_S:
                continue
            if (
                view.open
                or first_for(self.book.members, job_id) != self.owner_id
            ):
                continue
            await self.store.delete(job_id)
            log_event('job_forgotten', job=job_id)
