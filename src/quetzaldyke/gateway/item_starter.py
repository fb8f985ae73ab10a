"""Starts batch items on the free slots of the endpoints.

Load pattern: several entries fill the same slots, and the items of one entry
belong to several services. Which items go first and to which slots is decided
in `batch_schedule.py` and `slot_grants.py`, which service runs an item in
`item_services.py`.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.active_job import ActiveJob, ItemProgress
from quetzaldyke.gateway.batch_reserve import is_urgent
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


@dataclass(frozen=True, slots=True)
class OfferedSlots:
    """Free slots, each named by its endpoint."""

    # For any item.
    open: list[Endpoint]
    # Kept for the next peak of online demand, see `batch_reserve.py`.
    kept: list[Endpoint] = field(default_factory=list)


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
        ordered = fair_start_order(
            idle,
            self.shares,
            self.running_items(),
            sum(endpoint.slots for endpoint in usable),
        )
        assigned = assign_endpoints(ordered, slots.open, usable_ids(usable))
        if slots.kept:
            taken = {candidate for candidate, _ in assigned}
            waiting_on = [one for one in ordered if one not in taken]
            assigned += self.on_kept_slots(waiting_on, usable, slots.kept)
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
    ) -> OfferedSlots:
        """Return the slots on which this entry's items may start now."""
        permits = self.dispatcher.permits
        permitted = permits.batch_places(usable, self.free_slots)
        if len(self.dispatcher.queue(service)):
            return OfferedSlots(permitted)
        unlimited = permits.unlimited(usable)
        free = self.policy.allocate_slots(unlimited, items, now_s)
        if self.policy.reserve is None:
            return OfferedSlots(permitted + free)
        beside, kept = self.policy.reserve.split(free)
        return OfferedSlots(permitted + beside, kept)

    def on_kept_slots(
        self,
        ordered: Sequence[Candidate],
        usable: Sequence[Endpoint],
        kept: Sequence[Endpoint],
    ) -> list[tuple[Candidate, Endpoint]]:
        """Assign slots that are kept for online peaks to items.

        `ordered` are the items that found no other slot, in their order.
        """
        urgent = self.urgent(ordered, usable)
        pairs = assign_endpoints(urgent, kept, usable_ids(usable))
        left = list(kept)
        for _, endpoint in pairs:
            left.remove(endpoint)
        taken = {candidate for candidate, _ in pairs}
        others = [one for one in ordered if one not in taken]
        return pairs + self.in_rest_of_low(others, left)

    def urgent(
        self, ordered: Sequence[Candidate], usable: Sequence[Endpoint]
    ) -> list[Candidate]:
        """Return the items that would be late if they waited for their turn."""
        reserve = self.policy.reserve
        assert reserve is not None
        peers = sum(self.policy.loads.peer_pending.values())
        places = sum(map(reserve.limit, usable)) * len(ordered)
        turn_s = self.estimator.remaining_s(0) * (len(ordered) + peers)
        found = []
        for position, candidate in enumerate(ordered):
            wait_s = position * turn_s / places if places else math.inf
            left_s = candidate.due_ms / MS_IN_S - time.time()
            remaining_s = self.estimator.remaining_s(candidate.events_done)
            if is_urgent(left_s, remaining_s, wait_s):
                found.append(candidate)
        return found

    def in_rest_of_low(
        self, ordered: Sequence[Candidate], kept: Sequence[Endpoint]
    ) -> list[tuple[Candidate, Endpoint]]:
        """Assign slots to items whose runs end before the next peak."""
        reserve = self.policy.reserve
        assert reserve is not None
        now_s = self.dispatcher.clock.now()
        waiting = list(ordered)
        pairs = []
        unfit: set[str] = set()
        for endpoint in kept:
            rest_s = reserve.rest_of_low_s(endpoint, now_s)
            if rest_s <= 0 or endpoint.endpoint_id in unfit:
                continue
            found = next(
                (
                    one
                    for one in waiting
                    if self.ends_within(one, endpoint, rest_s)
                ),
                None,
            )
            if found is None:
                unfit.add(endpoint.endpoint_id)
            else:
                waiting.remove(found)
                pairs.append((found, endpoint))
        return pairs

    def ends_within(
        self, candidate: Candidate, endpoint: Endpoint, time_s: float
    ) -> bool:
        """Return whether an item is done at an endpoint within some time."""
        endpoint_id = endpoint.endpoint_id
        if endpoint_id in candidate.avoided:
            return False
        needed_s = self.estimator.remaining_at_s(
            endpoint_id, candidate.events_done
        )
        return needed_s <= time_s

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
        if not any(job.record.organisation for job in self.jobs.values()):
            self.shares.own = ()
            return ()
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


def usable_ids(endpoints: Iterable[Endpoint]) -> set[str]:
    """Return the ids of some endpoints."""
    return {endpoint.endpoint_id for endpoint in endpoints}
