"""Starts batch items on the free slots of the endpoints.

Load pattern: several entries fill the same slots, and the items of one entry
belong to several services. Which items go first and to which slots is decided
in `batch_schedule.py` and `slot_grants.py`, which service runs an item in
`item_services.py`.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from quetzaldyke.gateway.active_job import ActiveJob, ItemProgress
from quetzaldyke.gateway.batch_schedule import (
    BatchPolicy,
    Candidate,
    RunTimeEstimator,
    assign_endpoints,
)
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.item_order import fair_start_order
from quetzaldyke.gateway.item_services import (
    Overflow,
    QueueEstimate,
    Waiting,
    by_service,
)
from quetzaldyke.gateway.item_shares import (
    ItemRow,
    ItemShares,
    heaviest_items,
)
from quetzaldyke.gateway.model import Endpoint
from quetzaldyke.gateway.reservation import Reservation
from quetzaldyke.gateway.service_capacity import service_capacity
from quetzaldyke.parts.byte_budget import ByteBudget

MS_IN_S: Final = 1000
# No new items start while outputs take more than this share of their memory;
# begun ones go on, as only their end frees it.
START_SHARE: Final = 0.75


@dataclass(slots=True)
class ItemStarter:
    """Starts the items of one entry's active jobs."""

    dispatcher: Dispatcher
    policy: BatchPolicy
    estimator: RunTimeEstimator
    jobs: Mapping[str, ActiveJob]
    # Runs an item on the slot that was reserved for it.
    start_run: Callable[[ActiveJob, ItemProgress, Reservation], None]
    # Outputs of items that are not listed yet.
    outputs: ByteBudget

    def start_waiting(self) -> None:
        """Start what the services of the items have room for."""
        now_s = self.dispatcher.clock.now()
        # Outputs wait for the store, or endpoints send without end.
        crowded = self.outputs.used > START_SHARE * self.outputs.limit_bytes
        waiting = [
            item
            for job in self.jobs.values()
            for item in job.waiting(now_s, self.estimator)
            if item.begun_at or not crowded
        ]
        slots = self.service_slots(now_s)
        left = {
            service: self.start_on_free_slots(service, items, now_s)
            for service, items in by_service(waiting, slots).items()
        }
        estimate = QueueEstimate(slots, self.estimator.remaining_s(0))
        overflow = Overflow.of(left, estimate, time.time() * MS_IN_S)
        for service, items in overflow.by_service.items():
            self.start_on_free_slots(service, items, now_s)

    def service_slots(self, now_s: float) -> dict[str, float]:
        """Return the slots of the jobs' services that take work."""
        services = {
            share.service
            for job in self.jobs.values()
            for share in job.terms.services
        }
        run_s = self.estimator.remaining_s(0)
        permits = self.dispatcher.permits
        slots = {}
        for service in services:
            usable = self.dispatcher.endpoints.usable(service, now_s)
            if usable:
                slots[service] = service_capacity(usable, permits, run_s).slots
        return slots

    def start_on_free_slots(
        self,
        service: str,
        waiting: list[Waiting],
        now_s: float,
    ) -> list[Waiting]:
        """Start the most urgent items; return the others in their order.

        While online requests are waiting, items only get the permits of
        limited endpoints that were granted for batch work.
        """
        idle = {
            item.candidate: item
            for item in waiting
            if not self.progress_of(item.candidate).running
        }
        if not idle:
            return []
        usable = self.dispatcher.endpoints.usable_for_batch(service, now_s)
        slots = self.offered_slots(service, usable, len(idle), now_s)
        usable_ids = {endpoint.endpoint_id for endpoint in usable}
        ordered = fair_start_order(
            idle,
            self.shares,
            self.running_items(),
            sum(endpoint.slots for endpoint in usable),
        )
        assigned = assign_endpoints(ordered, slots, usable_ids)
        for candidate, endpoint in assigned:
            self.start(candidate, endpoint)
            del idle[candidate]
        self.dispatcher.permits.ask_batch(
            [one for one in usable if self.free_slots(one) > 0], len(idle)
        )
        return [idle[candidate] for candidate in ordered if candidate in idle]

    def offered_slots(
        self,
        service: str,
        usable: list[Endpoint],
        items: int,
        now_s: float,
    ) -> list[Endpoint]:
        """Return one endpoint for each item that may start now."""
        permits = self.dispatcher.permits
        slots = permits.batch_places(usable, self.free_slots)
        if len(self.dispatcher.queue(service)):
            return slots
        unlimited = permits.unlimited(usable)
        return slots + self.policy.allocate_slots(unlimited, items, now_s)

    def start(self, candidate: Candidate, endpoint: Endpoint) -> None:
        """Start one item on an endpoint."""
        progress = self.progress_of(candidate)
        progress.running = True
        progress.enter_service(endpoint.service)
        reservation = self.dispatcher.acquire_on(endpoint, online=False)
        self.start_run(self.jobs[candidate.job_id], progress, reservation)

    @property
    def shares(self) -> ItemShares:
        """Return what organisations have running and pending."""
        return self.policy.grants.shares

    def running_items(self) -> dict[str, int]:
        """Return the running items of each organisation that has any."""
        running: dict[str, int] = {}
        for job in self.jobs.values():
            if not job.record.organisation:
                continue
            items = sum(one.running for one in job.items.values())
            if items:
                name = job.record.organisation
                running[name] = running.get(name, 0) + items
        return running

    def update_shares(self) -> tuple[ItemRow, ...]:
        """Count the items by organisation; return the rows for the peers."""
        pending: dict[str, int] = {}
        for job in self.jobs.values():
            name = job.record.organisation
            items = sum(
                not one.running and not one.finished
                for one in job.items.values()
            )
            if items:
                pending[name] = pending.get(name, 0) + items
        running = self.running_items()
        if any(pending) or any(running):
            rows = (
                ItemRow(name, running.get(name, 0), pending.get(name, 0))
                for name in pending.keys() | running.keys()
            )
            self.shares.own = heaviest_items(rows)
        else:
            self.shares.own = ()
        return self.shares.own

    def progress_of(self, candidate: Candidate) -> ItemProgress:
        """Return the progress of an item that is ready to start."""
        return self.jobs[candidate.job_id].items[candidate.item]

    def free_slots(self, endpoint: Endpoint) -> int:
        """Return the slots of an endpoint that no entry uses."""
        used = self.dispatcher.loads.total(endpoint.endpoint_id)
        return endpoint.slots - used
