"""Hands out places on endpoints to online requests and batch runs."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result

from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.loads import LoadTable, RequestCounts
from quetzaldyke.gateway.model import Endpoint, Route
from quetzaldyke.gateway.placement import (
    QUEUED_PER_ENGINE,
    QUEUED_PER_SERVICE,
    PlacementPolicy,
)
from quetzaldyke.gateway.wait_queue import (
    FIRST_EVENT_LATENCY_S,
    MAX_WAIT_SHARE,
    QueuedRequest,
    WaitQueue,
    may_wait,
    max_queue_time_s,
    retry_after_s,
)
from quetzaldyke.parts.timers import Clock

# Told to callers of a service that has no endpoint at the moment.
NO_ENDPOINT_RETRY_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request got no place, and when to come back."""

    reason: str
    retry_after_s: float
    # What decided it: the wait for a slot, the requests that wait here and
    # at the other entries, and the slots of the service.
    expected_wait_s: float = 0.0
    waiting: int = 0
    waiting_elsewhere: int = 0
    slots: int = 0


@dataclass(slots=True)
class Reservation:
    """A place that a request holds on an endpoint."""

    endpoint: Endpoint
    online: bool
    taken_s: float
    # Whether the endpoint had no free slot when the place was taken.
    queued: bool
    released: bool = False


@dataclass(slots=True)
class Dispatcher:
    """Places, loads and the waiting lines of all services."""

    endpoints: EndpointTable
    loads: LoadTable
    policy: PlacementPolicy
    clock: Clock
    generator: random.Random
    # Whether the endpoints of a service are engines.
    is_engine: Callable[[str], bool]
    # Entries that share the endpoints.
    count_entries: Callable[[], int] = lambda: 1
    # Asks for batch work to leave an endpoint.
    preempt_batch: Callable[[Endpoint], None] = lambda endpoint: None
    # Told when the own counts of an endpoint changed.
    on_change: Callable[[str], None] = lambda endpoint_id: None
    queues: dict[str, WaitQueue] = field(default_factory=dict)

    def queue(self, service: str) -> WaitQueue:
        """Return the waiting line of a service."""
        known = self.queues.get(service)
        if known is None:
            known = self.queues[service] = WaitQueue()
        return known

    def try_acquire(
        self,
        service: str,
        excluded: Collection[str] = (),
        *,
        avoid_failing: bool = False,
    ) -> Reservation | None:
        """Take a place for an online request if there is one."""
        engine = self.is_engine(service)
        choice = self.policy.choose(
            self.endpoints.usable(
                service,
                self.clock.now(),
                excluded,
                avoid_failing=avoid_failing,
            ),
            QUEUED_PER_ENGINE if engine else QUEUED_PER_SERVICE,
        )
        if choice is None:
            return None
        reservation = self.acquire_on(choice.endpoint, online=True)
        if choice.preempt_batch:
            self.preempt_batch(choice.endpoint)
        return reservation

    def acquire_on(self, endpoint: Endpoint, *, online: bool) -> Reservation:
        """Count a request on an endpoint."""
        running = self.loads.own_counts(endpoint.endpoint_id)
        if online:
            running.online += 1
        else:
            running.batch += 1
        self.on_change(endpoint.endpoint_id)
        queued = self.loads.total(endpoint.endpoint_id) > endpoint.slots
        return Reservation(endpoint, online, self.clock.now(), queued)

    def release(self, reservation: Reservation) -> None:
        """Give a place back and serve those that wait."""
        if reservation.released:
            return
        reservation.released = True
        running = self.loads.own_counts(reservation.endpoint.endpoint_id)
        service = reservation.endpoint.service
        if reservation.online:
            running.online -= 1
            held_s = self.clock.now() - reservation.taken_s
            self.queue(service).record_hold(held_s)
        else:
            running.batch -= 1
        self.on_change(reservation.endpoint.endpoint_id)
        self.queue(service).serve(self.clock.now())

    async def acquire(
        self,
        service: str,
        route: Route,
        deadline_s: float,
        excluded: Collection[str],
        *,
        sent_before: bool = False,
    ) -> Result[Reservation, Refusal]:
        """Take a place, wait for one, or refuse.

        A request that an endpoint had before waits like a caller that has
        come back: it may have run, so it could not be refused truly.
        """
        now_s = self.clock.now()
        if not self.endpoints.usable(service, now_s):
            return Err(Refusal('no_endpoint', NO_ENDPOINT_RETRY_S))
        if not len(self.queue(service)):
            reservation = self.try_acquire(
                service,
                excluded,
                avoid_failing=not route.idempotent,
            )
            if reservation is not None:
                return Ok(reservation)
        left_s = deadline_s - now_s
        expected_s = self.expected_wait_s(service)
        full_s = math.inf if sent_before else route.timeout_s
        if not may_wait(expected_s, route.target_s, left_s, full_s):
            return Err(self.refusal('no_slot_in_time', service, left_s))
        return await self.wait_in_queue(service, route, deadline_s, excluded)

    def refusal(self, reason: str, service: str, left_s: float) -> Refusal:
        """Return a refusal with the time to come back."""
        now_s = self.clock.now()
        usable = self.endpoints.usable(service, now_s)
        slots = sum(one.slots for one in usable)
        queue = self.queue(service)
        retry_at_s = queue.next_retry_s(now_s, slots / self.count_entries())
        return Refusal(
            reason,
            retry_after_s(retry_at_s, now_s, left_s),
            self.expected_wait_s(service),
            len(queue),
            self.loads.waiting_elsewhere(service),
            slots,
        )

    def expected_wait_s(self, service: str) -> float:
        """Return how long one more online request would wait.

        Those that wait in the engines' own queues are ahead of it too.
        """
        usable = self.endpoints.usable(service, self.clock.now())
        queued = sum(
            max(0, self.loads.online(one.endpoint_id) - one.slots)
            for one in usable
        )
        return self.queue(service).expected_wait_s(
            sum(one.slots for one in usable),
            queued + self.loads.waiting_elsewhere(service),
        )

    def waiting(self) -> dict[str, int]:
        """Return how many wait by service."""
        return {key: len(queue) for key, queue in self.queues.items() if queue}

    async def wait_in_queue(
        self,
        service: str,
        route: Route,
        deadline_s: float,
        excluded: Collection[str],
    ) -> Result[Reservation, Refusal]:
        """Wait until a place is free or the time is over."""
        outcome: asyncio.Future[Reservation | None] = (
            asyncio.get_running_loop().create_future()
        )

        def try_start() -> bool:
            if outcome.done():
                return True
            reservation = self.try_acquire(
                service,
                excluded,
                avoid_failing=not route.idempotent,
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
            route.priority,
            now_s + route.target_s - FIRST_EVENT_LATENCY_S,
            now_s + longest_s,
            try_start,
            refuse,
        )
        self.queue(service).add(request)
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
        left_s = deadline_s - self.clock.now()
        return Err(self.refusal('waited_too_long', service, left_s))

    def apply_report(
        self,
        peer: str,
        counts: dict[str, RequestCounts],
        waiting: dict[str, int],
        pending: int,
    ) -> None:
        """Take over what a peer runs, and serve those that wait."""
        now_s = self.clock.now()
        self.loads.apply_report(peer, counts, waiting, pending, now_s)
        self.serve_queues()

    def serve_queues(self) -> None:
        """Start waiting requests where there is room."""
        now_s = self.clock.now()
        for queue in self.queues.values():
            queue.serve(now_s)

    async def tick(self) -> None:
        """Serve and refuse waiting requests as time passes."""
        now_s = self.clock.now()
        self.serve_queues()
        for queue in self.queues.values():
            queue.refuse_expired(now_s)
