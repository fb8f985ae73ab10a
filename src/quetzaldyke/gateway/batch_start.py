"""Begins to run batch jobs at an entry.

Imported only then: an entry that starts serves online callers first, see
`restart.py`.
"""

from __future__ import annotations

from typing import Final

from anyio.abc import TaskGroup

from quetzaldyke.gateway.batch_runner import BatchRunner
from quetzaldyke.gateway.entry import Entry
from quetzaldyke.gateway.job_owner import JobOwner
from quetzaldyke.gateway.membership import Ownership

BATCH_INTERVAL_S: Final = 0.1
OWNERSHIP_INTERVAL_S: Final = 0.5
EXPIRY_INTERVAL_S: Final = 10.0


def create_runner(entry: Entry, group: TaskGroup) -> None:
    """Create the batch runner and attach it to the entry."""
    runner = BatchRunner(
        entry.dispatcher,
        entry.client,
        entry.job_store,
        entry.policy,
        group,
        entry.gossip.note_change,
        lambda: entry.ingress.table,
    )
    attach_runner(entry, runner)


def attach_runner(entry: Entry, runner: BatchRunner) -> None:
    """Start scheduling batch jobs on a runner."""
    entry.runner = runner
    entry.messages.runner = runner
    entry.owner = JobOwner(
        runner,
        entry.jobs,
        entry.job_store,
        Ownership.of(entry.jobs, entry.member),
        entry.health,
        entry.clock.now,
        alive=lambda: entry.loads.peers,
        retention_s=entry.installation.bounds.job_retention_s,
    )
    entry.jobs.on_job = entry.owner.on_job
    timers = entry.timers
    timers.subscribe('batch', BATCH_INTERVAL_S, entry.batch_tick)
    timers.subscribe('owners', OWNERSHIP_INTERVAL_S, entry.owner.reconcile)
    timers.subscribe('jobs', EXPIRY_INTERVAL_S, entry.owner.delete_expired)
