"""Adds batch work to an entry: HTTP routes, timers and shutdown."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute

from quetzaldyke.durable.retention import MS_IN_S, Retention, sweep
from quetzaldyke.durable.service import JobService
from quetzaldyke.parts.rendezvous import first_for
from quetzaldyke.process import batch_stop
from quetzaldyke.process.batch_cancel import JobStopper
from quetzaldyke.process.batch_coordinator import Coordinator
from quetzaldyke.process.batch_worker import BatchWorker, WorkerOptions
from quetzaldyke.process.batches_http import make_batch_routes
from quetzaldyke.process.entry_parts import EntryPart
from quetzaldyke.process.entry_state import EntryProcess
from quetzaldyke.process.fleet import make_connector

TICK_INTERVAL_S: Final = 0.1
COMMIT_INTERVAL_S: Final = 0.1
DEMAND_INTERVAL_S: Final = 0.25
CONFIRM_INTERVAL_S: Final = 0.5
OFFER_INTERVAL_S: Final = 2.0
SWEEP_INTERVAL_S: Final = 600.0
# With a short retention, expired records are swept this many times within it.
SWEEPS_PER_RETENTION: Final = 20


@dataclass(slots=True)
class BatchParts:
    """Objects for the batch work of one entry; stored in `entry.jobs`."""

    service: JobService
    worker: BatchWorker
    coordinator: Coordinator


def build(entry: EntryProcess) -> BatchParts:
    """Create the batch objects and subscribe them to messages.

    The entry must have its task group and its fleet.
    """
    assert entry.group is not None
    settings = entry.settings
    worker = BatchWorker(
        WorkerOptions(settings.held_results_bytes, settings.drain_s),
        entry.store,
        entry.config,
        entry.fleet,
        entry.clock,
        entry.log_event,
        entry.group,
    )
    stopper = make_stopper(entry, worker)
    coordinator = Coordinator(worker, stopper.stop_everywhere)
    service = JobService(
        entry.store,
        entry.config,
        settings.max_body_bytes,
        stop_everywhere=stopper.stop_everywhere,
        on_accepted=coordinator.offer_new_job,
    )
    worker.subscribe()
    coordinator.subscribe()
    stopper.subscribe()
    batch_stop.subscribe_cancels(worker)
    return BatchParts(service, worker, coordinator)


def make_stopper(entry: EntryProcess, worker: BatchWorker) -> JobStopper:
    """Return a stopper that also reaches sidecars outside the subset."""
    return JobStopper(
        worker, make_connector(entry.fleet, lambda: entry.link_options)
    )


async def start(entry: EntryProcess) -> None:
    """Create the batch objects of an entry and start their timers."""
    parts = build(entry)
    entry.jobs = parts
    worker = parts.worker

    async def record_tick() -> None:
        batch_stop.record_tick(worker)
        worker.stopping = worker.stopping or entry.stopping.is_set()

    async def send_demands() -> None:
        worker.send_demands()

    async def confirm() -> None:
        await batch_stop.confirm_segments(worker)

    async def sweep_expired() -> None:
        await sweep_if_first(entry)

    retention_s = entry.settings.retention_s
    timers = entry.timers
    timers.subscribe('batch_alive', TICK_INTERVAL_S, record_tick)
    timers.subscribe('batch_commit', COMMIT_INTERVAL_S, worker.commit_due)
    timers.subscribe('batch_demand', DEMAND_INTERVAL_S, send_demands)
    timers.subscribe('batch_confirm', CONFIRM_INTERVAL_S, confirm)
    timers.subscribe(
        'batch_offer', OFFER_INTERVAL_S, parts.coordinator.run_round
    )
    timers.subscribe(
        'batch_sweep',
        min(SWEEP_INTERVAL_S, retention_s / SWEEPS_PER_RETENTION),
        sweep_expired,
    )


async def sweep_if_first(entry: EntryProcess) -> None:
    """Delete records past their retention, if this entry ranks first.

    Only one entry of the fleet sweeps.
    """
    first = first_for(entry.fleet.live_entries(), 'retention')
    if first != entry.settings.instance:
        return
    retention_ms = int(entry.settings.retention_s * MS_IN_S)
    worker = parts_of(entry).worker
    swept = await sweep(
        Retention(entry.store, retention_ms, worker.now_ms()),
    )
    if swept.unwrap_or(0):
        entry.log_event('batch_expired', records=swept.unwrap_or(0))


async def stop(entry: EntryProcess) -> None:
    """Finish running items, record results and release the segments."""
    await batch_stop.stop_worker(parts_of(entry).worker)


def parts_of(entry: EntryProcess) -> BatchParts:
    """Return the batch objects of a started entry."""
    assert isinstance(entry.jobs, BatchParts)
    return entry.jobs


def caller_routes(entry: EntryProcess) -> Sequence[BaseRoute]:
    """Return the batch routes.

    The gate that authenticates callers has stored the organisation in the
    request's state.
    """

    def organisation_of(request: Request) -> str | Response:
        return str(request.state.organisation)

    return make_batch_routes(
        parts_of(entry).service,
        organisation_of,
        entry.settings.max_file_bytes,
    )


BATCH_PART: Final = EntryPart(
    'batches',
    caller_routes=caller_routes,
    start=start,
    stop=stop,
)
