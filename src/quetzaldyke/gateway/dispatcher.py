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
from quetzaldyke.gateway.service_capacity import ServiceCapacity
from quetzaldyke.gateway.wait_estimates import (
    ELSEWHERE,
    NO_ENDPOINT_RETRY_S,
    Claim,
    WaitEstimates,
)
from quetzaldyke.gateway.wait_queue import (
    FIRST_EVENT_LATENCY_S,
    QueuedRequest,
    WaitQueue,
    max_queue_time_s,
    max_wait_s,
    may_wait,
    priority_of,
)
from quetzaldyke.parts.timers import Clock


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
    # Called when a queued request is refused for those that go before it.
    on_displaced: Callable[[str], None] = lambda service: None
    drains: DrainNotes = field(init=False)
    estimates: WaitEstimates = field(init=False)

    def __post_init__(self) -> None:
        """Let answers change the endpoint table, and estimate waits."""
        self.estimates = WaitEstimates(
            self.endpoints,
            self.loads,
            self.clock.now,
            lambda: self.permits,
            lambda: self.count_entries(),
            self.queues,
            pace=lambda endpoint: self.policy.pace(endpoint),
        )
        self.drains = DrainNotes(
            self.endpoints, self.clock.now, on_change=self.on_endpoints
        )

    def queue(self, service: str) -> WaitQueue:
        """Return the wait queue of a service; create it on first use."""
        return self.estimates.queue(service)

    def try_acquire(
        self,
        service: str,
        excluded: Collection[str] = (),
        route: Route | None = None,
        *,
        avoid_failing: bool = False,
        flow: str = '',
    ) -> Reservation | None:
        """Reserve capacity for an online request without waiting.

        Returns None when no endpoint has capacity. Requests the preemption
        of a batch run when the chosen slot is held by batch work. The places
        beyond the slots are kept from organisations beyond their share, so
        that others find them.
        """
        now_s = self.clock.now()
        usable = self.endpoints.usable(
            service, now_s, excluded, avoid_failing=avoid_failing
        )
        choice = self.policy.choose(
            self.permits.admitted(usable),
            self.max_queued(service, flow),
            self.endpoints.paused(service, now_s),
            route,
        )
        if choice is None:
            return None
        reservation = self.acquire_on(choice.endpoint, online=True, flow=flow)
        if choice.preempt_batch:
            self.preempt_batch(choice.endpoint)
        return reservation

    def max_queued(self, service: str, flow: str = '') -> int:
        """Return the online requests that may queue at one endpoint."""
        if self.estimates.exceeds_share(service, flow):
            return 0
        engine = self.is_engine(service)
        return QUEUED_PER_ENGINE if engine else QUEUED_PER_SERVICE

    def acquire_on(
        self, endpoint: Endpoint, *, online: bool, flow: str = ''
    ) -> Reservation:
        """Reserve capacity on a given endpoint, without checking its load.

        Uses a permit if the endpoint has a limit.
        """
        permitted = self.permits.take(endpoint, online=online)
        counts = self.loads.own_counts(endpoint.endpoint_id)
        if online:
            counts.online += 1
            self.estimates.shares.table(endpoint.service).start(flow)
        else:
            counts.batch += 1
        self.on_change(endpoint.endpoint_id)
        queued = self.loads.total(endpoint.endpoint_id) > endpoint.slots
        now_s = self.clock.now()
        return Reservation(
            endpoint, online, now_s, queued, permitted, flow=flow
        )

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
            self.estimates.shares.table(service).end(reservation.flow)
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
        confirms: bool = False,
    ) -> Result[Reservation, Refusal]:
        """Reserve capacity for an online request, waiting if necessary.

        Fails with a refusal when the service has no usable endpoint, when
        the expected wait is too long, or when no slot became free in time.

        A request that was already sent to an endpoint is queued under the
        longer limit of retrying callers: it may have been executed, so
        telling its caller that it was refused could be wrong. One that asks
        for a stream's end goes before all others and waits until the deadline.
        """
        now_s = self.clock.now()
        if not self.endpoints.usable(service, now_s):
            return Err(Refusal('no_endpoint', NO_ENDPOINT_RETRY_S))
        claim = Claim(
            priority_of(route, organisation),
            organisation.name if organisation else '',
            confirms,
        )
        if self.estimates.is_next(service, claim):
            reservation = self.try_acquire(
                service,
                excluded,
                route,
                avoid_failing=not route.idempotent,
                flow=claim.flow,
            )
            if reservation is not None:
                self.displace_last(service, claim)
                return Ok(reservation)
        left_s = deadline_s - now_s
        full_s = math.inf if already_sent else route.timeout_s
        expected_s = self.expected_wait_s(service, claim)
        may = may_wait(expected_s, route.target_s, left_s, full_s)
        if not may and not confirms:
            return Err(
                self.estimates.refusal(
                    'no_slot_in_time', service, left_s, claim
                )
            )
        return await self.wait_in_queue(
            service, route, deadline_s, excluded, full_s, claim
        )

    def capacity(self, service: str) -> ServiceCapacity:
        """Return what the usable endpoints of a service can take."""
        return self.estimates.capacity(service)

    def expected_wait_s(
        self, service: str, claim: Claim | None = None
    ) -> float:
        """Return the expected wait of one more online request."""
        return self.estimates.expected_wait_s(service, claim)

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
            ),
            self.clock.now(),
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
        claim: Claim,
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
                service,
                excluded,
                route,
                avoid_failing=not route.idempotent,
                flow=claim.flow,
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
            max_wait_s(deadline_s - now_s, confirms=claim.confirms),
        )
        request = QueuedRequest(
            claim.priority,
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
            claim.flow,
            claim.confirms,
        )
        self.queue(service).add(request)
        self.displace_last(service, claim)
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
        return Err(self.estimates.queue_refusal(request, service, deadline_s))

    def displace_last(self, service: str, newcomer: Claim) -> None:
        """Refuse the last queued request if it can't be served in time now.

        Called when a newcomer has a slot or a place before others, which
        displaces one request at most: a wrong estimate can't empty the queue.
        """
        overtaken = self.estimates.overtaken(service, newcomer)
        if overtaken is not None:
            self.queue(service).displace(overtaken)
            self.on_displaced(service)

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
            self.displace_last(service, ELSEWHERE)
            self.ask_for_permits(service)
