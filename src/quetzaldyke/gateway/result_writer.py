"""Writes the results and partial outputs of active jobs to the store.

Load pattern: many items finish within moments, or while the store is away.
Results wait a little for others of their job, so that they share a write, and
are written in as many parts as the store's largest value requires.

Failure pattern: owners are killed one after the other while items fail at each
run. Failed runs and failed items are written with the next tick, before those
items run again. An owner that ends loses at most the last failure of each.
"""

from __future__ import annotations

from collections.abc import MutableMapping
from dataclasses import dataclass
from typing import Final

from anyio.abc import TaskGroup
from result import Err

from quetzaldyke.gateway.active_job import ActiveJob
from quetzaldyke.gateway.guarded import run_guarded
from quetzaldyke.gateway.job_records import PartialOutput
from quetzaldyke.gateway.job_store import JobStore
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.parts.kv import KvError
from quetzaldyke.parts.timers import Clock

# Time between saves: a lost entry costs at most this much of its runs' work.
PARTIALS_INTERVAL_S: Final = 2.0
# Partial outputs are saved only if they have changed by this many events.
MIN_NEW_EVENTS: Final = 30
# Results wait this long for others of their job, to share one write.
RESULT_DELAY_S: Final = 0.7
# Pause between two writes of a job's failed runs, as store calls are priced.
FAILURE_INTERVAL_S: Final = 0.2


@dataclass(slots=True)
class ResultWriter:
    """Writes what the items of one entry's active jobs have brought."""

    store: JobStore
    clock: Clock
    group: TaskGroup
    # The active jobs; a job without open items is removed.
    jobs: MutableMapping[str, ActiveJob]

    def write_due(self, job: ActiveJob, now_s: float) -> None:
        """Start the writes of a job that are due."""
        self.save_partials_if_due(job, now_s)
        if not job.appending and self.is_due(job, now_s):
            job.appending = True
            self.group.start_soon(run_guarded, self.append, job)

    def is_due(self, job: ActiveJob, now_s: float) -> bool:
        """Return whether the results or failed runs of a job are to be written.

        After a write that failed all of them wait as long as results do.
        """
        if job.has_unsaved_failures:
            pause_s = (
                RESULT_DELAY_S if job.append_failed else FAILURE_INTERVAL_S
            )
            if now_s - job.appended_s >= pause_s:
                return True
        if not job.finished:
            return False
        all_finished = all(item.finished for item in job.items.values())
        if all_finished and not job.append_failed:
            return True
        return now_s - job.finished_since_s >= RESULT_DELAY_S

    def save_partials_if_due(self, job: ActiveJob, now_s: float) -> None:
        """Save partial outputs if the interval and enough events passed."""
        if job.saving or now_s - job.saved_s < PARTIALS_INTERVAL_S:
            return
        partials = job.partials()
        events = sum(partial.last_event for partial in partials)
        if abs(events - job.saved_events) < MIN_NEW_EVENTS:
            return
        job.saving = True
        job.saved_s = now_s
        job.saved_events = events
        self.group.start_soon(run_guarded, self.save_partials, job, partials)

    async def save_partials(
        self,
        job: ActiveJob,
        partials: list[PartialOutput],
    ) -> None:
        """Write partial outputs to the store; logs a failure."""
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

    async def append(self, job: ActiveJob) -> None:
        """Write finished items and failed runs to the store; `tick` retries.

        Writes one part after the other, as the results may be larger together
        than the store takes at once.
        """
        try:
            while job.finished or job.has_unsaved_failures:
                if not await self.append_part(job):
                    break
        finally:
            job.appending = False
        if not job.items:
            self.jobs.pop(job.record.job_id, None)

    async def append_part(self, job: ActiveJob) -> bool:
        """Append the first finished items, with all failed runs.

        Returns whether the store has them.
        """
        results = list(job.finished)
        failures = job.failures()
        appended = await self.store.append_results(
            job.record.job_id,
            [(row.item, row.completed, row.output) for row in results],
            failures,
        )
        job.finished_since_s = job.appended_s = self.clock.now()
        job.append_failed = isinstance(appended, Err)
        if isinstance(appended, Err):
            log_event(
                'results_not_listed',
                job=job.record.job_id,
                results=len(results),
                bytes=sum(len(row.output) for row in results),
                reason=str(appended.err_value),
            )
            return self.withhold_first(job, appended.err_value)
        for item, count in failures.items():
            job.items[item].saved_failures = count
        listed = results[: appended.ok_value]
        del job.finished[: len(listed)]
        for row in listed:
            progress = job.items.pop(row.item, None)
            if progress is not None:
                progress.release()
        log_event(
            'results_listed',
            job=job.record.job_id,
            results=len(listed),
            bytes=sum(len(row.output) for row in listed),
            failures=sum(failures.values()),
            left=len(job.items),
        )
        return True

    def withhold_first(self, job: ActiveJob, error: KvError) -> bool:
        """Take the first result back if its output alone is too large.

        Returns whether it was, so that the others can be written.
        """
        if error.kind != 'too_large' or not job.finished:
            return False
        first = job.finished[0]
        if not first.output:
            return False
        del job.finished[0]
        job.items[first.item].withhold()
        log_event(
            'result_too_large',
            job=job.record.job_id,
            item=job.items[first.item].record.item_id,
            bytes=len(first.output),
        )
        return True
