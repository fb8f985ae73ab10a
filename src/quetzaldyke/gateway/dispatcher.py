"""Reserves endpoint capacity for online requests and batch runs.

A request that finds no capacity waits in the queue of its service, or is
refused with the time at which to retry.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result

from quetzaldyke.gateway.drain_notes import DrainNotes
from quetzaldyke.gateway.endpoint_permits import EndpointPermits
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.loads import LoadTable, RequestCounts
from quetzaldyke.gateway.model import Endpoint, Organisation, Route
from quetzaldyke.gateway.placement import (
    QUEUED_PER_ENGINE,
    QUEUED_PER_SERVICE,
    PlacementPolicy,
)
from quetzaldyke.gateway.reservation import Refusal, Reservation
from quetzaldyke.gateway.service_capacity import (
    ServiceCapacity,
    service_capacity,
)
from quetzaldyke.gateway.wait_queue import (
    FIRST_EVENT_LATENCY_S,
    MAX_WAIT_SHARE,
    QueuedRequest,
    WaitQueue,
    max_queue_time_s,
    may_wait,
    priority_of,
    retry_after_s,
)
from quetzaldyke.parts.timers import Clock

# Retry delay for callers of a service that has no usable endpoint.
NO_ENDPOINT_RETRY_S: Final = 1.0


@dataclass(slots=True)
class Dispatcher:
    """Assigns requests to endpoints and keeps one wait queue per service."""

    endpoints: EndpointTable
    loads: LoadTable
    policy: PlacementPolicy
    clock: Clock
    generator: random.Random
    # Returns whether the endpoints of a service are model engines.
    is_engine: Callable[[str], bool]
    # Returns the number of entries that share the endpoints.
    count_entries: Callable[[], int] = lambda: 1
    # Requests that a batch run be preempted on an endpoint.
    preempt_batch: Callable[[Endpoint], None] = lambda endpoint: None
    # Called when this entry's request counts of an endpoint change.
    on_change: Callable[[str], None] = lambda endpoint_id: None
    permits: EndpointPermits = field(default_factory=EndpointPermits)
    queues: dict[str, WaitQueue] = field(default_factory=dict)
    drains: DrainNotes = field(init=False)

    def __post_init__(self) -> None:
        """Let answers change the endpoint table."""
        self.drains = DrainNotes(
            self.endpoints, self.clock.now, on_change=self.on_endpoints
        )

    def queue(self, service: str) -> WaitQueue:
        """Return the wait queue of a service; create it on first use."""
        known = self.queues.get(service)
        if known is None:
            known = self.queues[service] = WaitQueue()
        return known

    def try_acquire(
        self,
        service: str,
        excluded: Collection[str] = (),
        route: Route | None = None,
        *,
        avoid_failing: bool = False,
    ) -> Reservation | None:
        """Reserve capacity for an online request without waiting.

        Returns None when no endpoint has capacity. Requests the preemption
        of a batch run when the chosen slot is held by batch work.
        """
        now_s = self.clock.now()
        usable = self.endpoints.usable(
            service, now_s, excluded, avoid_failing=avoid_failing
        )
        choice = self.policy.choose(
            self.permits.admitted(usable),
            self.max_queued(service),
            self.endpoints.paused(service, now_s),
            route,
        )
        if choice is None:
            return None
        reservation = self.acquire_on(choice.endpoint, online=True)
        if choice.preempt_batch:
            self.preempt_batch(choice.endpoint)
        return reservation

    def max_queued(self, service: str) -> int:
        """Return the online requests that may queue at one endpoint."""
        engine = self.is_engine(service)
        return QUEUED_PER_ENGINE if engine else QUEUED_PER_SERVICE

    def acquire_on(self, endpoint: Endpoint, *, online: bool) -> Reservation:
        """Reserve capacity on a given endpoint, without checking its load.

        Uses a permit if the endpoint has a limit.
        """
        permitted = self.permits.take(endpoint, online=online)
        counts = self.loads.own_counts(endpoint.endpoint_id)
        if online:
            counts.online += 1
        else:
            counts.batch += 1
        self.on_change(endpoint.endpoint_id)
        queued = self.loads.total(endpoint.endpoint_id) > endpoint.slots
        now_s = self.clock.now()
        return Reservation(endpoint, online, now_s, queued, permitted)

    def release(self, reservation: Reservation) -> None:
        """Release a reservation and start queued requests.

        Releasing a reservation a second time has no effect.
        """
        if reservation.released:
            return
        reservation.released = True
        counts = self.loads.own_counts(reservation.endpoint.endpoint_id)
        service = reservation.endpoint.service
        if reservation.online:
            counts.online -= 1
            held_s = self.clock.now() - reservation.reserved_s
            pace = self.policy.pace(reservation.endpoint)
            self.queue(service).record_hold(held_s / pace)
        else:
            counts.batch -= 1
        self.on_change(reservation.endpoint.endpoint_id)
        self.queue(service).serve(self.clock.now())

    async def acquire(
        self,
        service: str,
        route: Route,
        deadline_s: float,
        excluded: Collection[str],
        *,
        organisation: Organisation | None = None,
        already_sent: bool = False,
    ) -> Result[Reservation, Refusal]:
        """Reserve capacity for an online request, waiting if necessary.

        Fails with a refusal when the service has no usable endpoint, when
        the expected wait is too long, or when no slot became free in time.

        A request that was already sent to an endpoint is queued under the
        longer limit of retrying callers: it may have been executed, so
        telling its caller that it was refused could be wrong.
        """
        now_s = self.clock.now()
        if not self.endpoints.usable(service, now_s):
            return Err(Refusal('no_endpoint', NO_ENDPOINT_RETRY_S))
        if not len(self.queue(service)):
            reservation = self.try_acquire(
                service, excluded, route, avoid_failing=not route.idempotent
            )
            if reservation is not None:
                return Ok(reservation)
        left_s = deadline_s - now_s
        expected_s = self.expected_wait_s(service)
        full_s = math.inf if already_sent else route.timeout_s
        if not may_wait(expected_s, route.target_s, left_s, full_s):
            return Err(self.refusal('no_slot_in_time', service, left_s))
        return await self.wait_in_queue(
            service,
            route,
            deadline_s,
            excluded,
            full_s,
            priority_of(route, organisation),
        )

    def refusal(self, reason: str, service: str, left_s: float) -> Refusal:
        """Return a refusal with a retry time reserved for this caller."""
        now_s = self.clock.now()
        capacity = self.capacity(service)
        queue = self.queue(service)
        retry_at_s = max(
            queue.next_retry_s(
                now_s,
                capacity.slots / self.count_entries(),
                limited=capacity.limited,
            ),
            now_s + capacity.delay_s,
        )
        return Refusal(
            reason,
            retry_after_s(retry_at_s, now_s, left_s),
            self.expected_wait_s(service),
            len(queue),
            self.loads.waiting_elsewhere(service),
            int(capacity.slots),
        )

    def capacity(self, service: str) -> ServiceCapacity:
        """Return what the usable endpoints of a service can take."""
        return service_capacity(
            self.endpoints.usable(service, self.clock.now()),
            self.permits,
            self.queue(service).mean_hold_s,
            self.policy.pace,
        )

    def expected_wait_s(self, service: str) -> float:
        """Return the expected wait of one more online request.

        Requests in the endpoints' own queues and at other entries are
        ahead of it too.
        """
        capacity = self.capacity(service)
        queue = self.queue(service)
        elsewhere = self.loads.waiting_elsewhere(service)
        if capacity.limited:
            ahead = len(queue) + elsewhere
            return capacity.delay_s + queue.time_for_s(ahead, capacity.slots)
        queued = sum(
            max(0, self.loads.online(one.endpoint_id) - one.slots)
            for one in self.endpoints.usable(service, self.clock.now())
        )
        return queue.expected_wait_s(capacity.slots, queued + elsewhere)

    def ask_for_permits(self, service: str) -> None:
        """Ask for permits for the queued requests of a service."""
        queue = self.queue(service)
        if not queue or not self.permits.limits.known:
            return
        max_queued = self.max_queued(service)
        usable = self.endpoints.usable(service, self.clock.now())
        self.permits.ask_online(
            [
                one
                for one in usable
                if self.loads.online(one.endpoint_id) < one.slots + max_queued
            ],
            len(queue),
            queue.best_priority(),
        )

    def refuse_unservable(self, service: str) -> None:
        """Refuse queued requests that permits can't reach in time.

        Called when a coordinator has replied how long the next permit takes.
        """
        capacity = self.capacity(service)
        if not capacity.limited:
            return
        queue = self.queue(service)
        queue.refuse_hopeless(
            lambda position: (
                capacity.delay_s + queue.time_for_s(position, capacity.slots)
            )
        )

    def waiting(self) -> dict[str, int]:
        """Return the number of queued requests by service, without zeros."""
        return {key: len(queue) for key, queue in self.queues.items() if queue}

    async def wait_in_queue(
        self,
        service: str,
        route: Route,
        deadline_s: float,
        excluded: Collection[str],
        full_s: float,
        priority: int,
    ) -> Result[Reservation, Refusal]:
        """Wait in the queue until capacity is free or the wait limit passes.

        A reservation made while the caller cancels is released again.
        """
        outcome: asyncio.Future[Reservation | None] = (
            asyncio.get_running_loop().create_future()
        )

        def try_start() -> bool:
            if outcome.done():
                return True
            reservation = self.try_acquire(
                service, excluded, route, avoid_failing=not route.idempotent
            )
            if reservation is not None:
                outcome.set_result(reservation)
            return reservation is not None

        def refuse() -> None:
            if not outcome.done():
                outcome.set_result(None)

        now_s = self.clock.now()
        longest_s = min(
            max_queue_time_s(route.target_s, route.max_gap_s),
            MAX_WAIT_SHARE * (deadline_s - now_s),
        )
        request = QueuedRequest(
            priority,
            now_s + route.target_s - FIRST_EVENT_LATENCY_S,
            now_s + longest_s,
            try_start,
            refuse,
            lambda expected_s: may_wait(
                self.clock.now() - now_s + expected_s,
                route.target_s,
                deadline_s - now_s,
                full_s,
            ),
        )
        self.queue(service).add(request)
        self.ask_for_permits(service)
        try:
            reservation = await outcome
        except asyncio.CancelledError:
            request.cancelled = True
            if outcome.done() and not outcome.cancelled():
                taken = outcome.result()
                if taken is not None:
                    self.release(taken)
            raise
        if reservation is not None:
            return Ok(reservation)
        return Err(self.queue_refusal(request, service, deadline_s))

    def queue_refusal(
        self, request: QueuedRequest, service: str, deadline_s: float
    ) -> Refusal:
        """Return why a queued request is refused now."""
        now_s = self.clock.now()
        if not self.endpoints.usable(service, now_s):
            return Refusal('no_endpoint', NO_ENDPOINT_RETRY_S)
        reason = request.refusal_reason(now_s)
        return self.refusal(reason, service, deadline_s - now_s)

    def apply_report(
        self,
        peer: str,
        counts: dict[str, RequestCounts],
        waiting: dict[str, int],
        pending: int,
    ) -> bool:
        """Store the load report of a peer; return whether slots came free.

        If so, queued requests are started. `waiting` are the peer's queued
        online requests by service, `pending` its batch items that could
        start.
        """
        now_s = self.clock.now()
        freed = self.loads.apply_report(peer, counts, waiting, pending, now_s)
        if freed:
            self.serve_queues()
        return freed

    def serve_queues(self) -> None:
        """Start the queued requests of all services that have capacity."""
        now_s = self.clock.now()
        for queue in self.queues.values():
            queue.serve(now_s)

    def on_endpoints(self) -> None:
        """Serve the queues after a change of the endpoints.

        Requests for a service without a usable endpoint are refused at once.
        """
        now_s = self.clock.now()
        self.serve_queues()
        for service, queue in self.queues.items():
            if len(queue) and not self.endpoints.usable(service, now_s):
                queue.refuse_all()

    async def tick(self) -> None:
        """Start queued requests, and refuse those past their wait limit."""
        now_s = self.clock.now()
        self.on_endpoints()
        for service, queue in list(self.queues.items()):
            queue.refuse_expired(now_s)
            self.ask_for_permits(service)
