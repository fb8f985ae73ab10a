"""Connects the components of an entry: callbacks between them, and timers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from quetzaldyke.gateway.batch_runner import BatchRunner
from quetzaldyke.gateway.guarded import log_timer_failure
from quetzaldyke.gateway.job_owner import JobOwner
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.membership import RENEWAL_INTERVAL_S, Ownership
from quetzaldyke.gateway.outages import follow_outages

if TYPE_CHECKING:
    from quetzaldyke.gateway.entry import Entry

WATCHDOG_INTERVAL_S: Final = 0.05
QUEUE_INTERVAL_S: Final = 0.05
BATCH_INTERVAL_S: Final = 0.1
OWNERSHIP_INTERVAL_S: Final = 0.5
EXPIRY_INTERVAL_S: Final = 10.0
CLEANUP_INTERVAL_S: Final = 1.0
GOSSIP_INTERVAL_S: Final = 0.1


def connect_parts(entry: Entry) -> None:
    """Register the callbacks between components and the timers."""
    entry.dispatcher.on_change = entry.on_load_change
    entry.dispatcher.preempt_batch = entry.messages.preempt_batch
    entry.dispatcher.count_entries = lambda: max(1, len(entry.jobs.members))
    follow_outages(
        entry.health, entry.endpoint_table, entry.store.path, entry.clock.now
    )
    entry.jobs.on_members = entry.on_members
    entry.limits.permits.on_granted = entry.on_permits
    entry.messages.drains.connect(entry.metrics, log_event)
    timers = entry.timers
    timers.on_failure = log_timer_failure
    timers.subscribe('watchdog', WATCHDOG_INTERVAL_S, entry.cancel_timed_out)
    timers.subscribe('lines', QUEUE_INTERVAL_S, entry.dispatcher.tick)
    timers.subscribe('gossip', GOSSIP_INTERVAL_S, entry.gossip_tick)
    timers.subscribe('limits', GOSSIP_INTERVAL_S, entry.limits.tick)
    timers.subscribe('rates', WATCHDOG_INTERVAL_S, entry.rates.tick)
    timers.subscribe('drains', GOSSIP_INTERVAL_S, entry.messages.drains.tick)
    timers.subscribe('lease', RENEWAL_INTERVAL_S, entry.registration.renew)
    timers.subscribe('cleaning', CLEANUP_INTERVAL_S, entry.clean_up)
    timers.subscribe(
        'crash records', GOSSIP_INTERVAL_S, entry.crash_records.write
    )


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
