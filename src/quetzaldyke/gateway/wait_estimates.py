"""Tells how long online requests wait for a slot, and what refused ones get.

Load pattern: more requests come than slots become free, from one organisation
or from all. A request is told at once whether it can be served in time. What
counts is what would be served before it: the line of an organisation that asks
for more than its share is not ahead of another one's request.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.endpoint_permits import EndpointPermits
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.fair_shares import FairShares, RequestRow
from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.model import Endpoint
from quetzaldyke.gateway.reservation import Refusal
from quetzaldyke.gateway.service_capacity import (
    ServiceCapacity,
    even_pace,
    service_capacity,
)
from quetzaldyke.gateway.wait_queue import (
    QueuedRequest,
    WaitQueue,
    retry_after_s,
)

# Retry delay for callers of a service that has no usable endpoint.
NO_ENDPOINT_RETRY_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Claim:
    """What decides on the place of a request in a queue."""

    priority: int = 0
    # Name of its organisation; empty if there is none.
    flow: str = ''
    # Whether it asks for the end of a stream, and goes before all others.
    confirms: bool = False


# Of requests that peers have started since the last look.
ELSEWHERE: Final = Claim()


@dataclass(slots=True)
class WaitEstimates:
    """The queues of one entry, and what is known of what they wait for."""

    endpoints: EndpointTable
    loads: LoadTable
    now: Callable[[], float]
    permits: Callable[[], EndpointPermits]
    # Returns the number of entries that share the endpoints.
    count_entries: Callable[[], int]
    queues: dict[str, WaitQueue]
    shares: FairShares = field(default_factory=FairShares)
    # Returns how long requests hold a slot of an endpoint, 1 at the median.
    pace: Callable[[Endpoint], float] = even_pace

    def queue(self, service: str) -> WaitQueue:
        """Return the wait queue of a service; create it on first use."""
        known = self.queues.get(service)
        if known is None:
            flows = self.shares.table(service)
            known = self.queues[service] = WaitQueue(flows=flows)
        return known

    def capacity(self, service: str) -> ServiceCapacity:
        """Return what the usable endpoints of a service can take."""
        return service_capacity(
            self.endpoints.usable(service, self.now()),
            self.permits(),
            self.queue(service).mean_hold_s,
            self.pace,
        )

    def waiting_ahead(self, service: str, claim: Claim | None) -> int:
        """Return how many waiting requests are served before one more.

        Without a claim, and where no organisations use the service, these are
        all that wait.
        """
        queue = self.queue(service)
        elsewhere = self.loads.waiting_elsewhere(service)
        if claim is None or not self.is_shared(service, claim):
            return len(queue) + elsewhere
        return self.shares.count_ahead(
            service, queue, elsewhere, claim.priority, claim.flow
        )

    def is_shared(self, service: str, claim: Claim) -> bool:
        """Return whether the place of a request depends on organisations."""
        if claim.flow:
            return True
        return self.shares.is_shared(service, self.queue(service))

    def overtaken(self, service: str, newcomer: Claim) -> QueuedRequest | None:
        """Return the request that a newcomer keeps from being in time, if any.

        That is the last in the queue, unless it is of the same organisation.
        Requests that peers start count only against an organisation beyond its
        share, since their number is not known.
        """
        queue = self.queue(service)
        if not queue.requests or not self.is_shared(service, newcomer):
            return None
        last = queue.last_in_order(self.now())
        if last is None or last.flow == newcomer.flow:
            return None
        if newcomer is ELSEWHERE and not self.exceeds_share(service, last.flow):
            return None
        claim = Claim(last.priority, last.flow)
        expected_s = self.expected_wait_s(service, claim, queued=True)
        return None if last.can_wait(expected_s) else last

    def is_next(self, service: str, claim: Claim) -> bool:
        """Return whether no request in this queue goes before one more."""
        queue = self.queue(service)
        if claim.confirms or not queue.has_new():
            return True
        if not self.is_shared(service, claim):
            return False
        return not self.shares.count_before(
            service, queue, claim.priority, claim.flow
        )

    def expected_wait_s(
        self, service: str, claim: Claim | None = None, *, queued: bool = False
    ) -> float:
        """Return the expected wait of one more online request.

        Requests in the endpoints' own queues and at other entries are
        ahead of it too. With `queued`, it is the last of its organisation in
        this queue already, and requests that have not come yet don't count.
        """
        capacity = self.capacity(service)
        queue = self.queue(service)
        ahead = self.waiting_ahead(service, claim) - queued
        if capacity.limited:
            return capacity.delay_s + queue.time_for_s(ahead, capacity.slots)
        at_endpoints = sum(
            max(0, self.loads.online(one.endpoint_id) - one.slots)
            for one in self.endpoints.usable(service, self.now())
        )
        wait_s = queue.time_for_s(ahead + at_endpoints + 1, capacity.slots)
        if claim is None or queued:
            return wait_s
        if not self.exceeds_share(service, claim.flow):
            return wait_s
        return max(wait_s, self.own_line_s(service, claim.flow, capacity.slots))

    def own_line_s(self, service: str, flow: str, slots: float) -> float:
        """Return how long the line of an organisation beyond its share takes.

        Others get their part of the starts meanwhile, also with requests that
        have not come yet.
        """
        queue = self.queue(service)
        own = sum(
            one.flow == flow and not one.cancelled for one in queue.requests
        )
        online = sum(
            self.loads.online(one.endpoint_id)
            for one in self.endpoints.usable(service, self.now())
        )
        held = self.shares.table(service).held(flow)
        share = held / max(online, held, 1)
        told = self.shares.waiting_elsewhere(service, flow)
        return queue.time_for_s(own + told + 1, slots * share)

    def refusal(
        self,
        reason: str,
        service: str,
        left_s: float,
        claim: Claim | None = None,
    ) -> Refusal:
        """Return a refusal with a retry time reserved for this caller.

        Callers of an organisation beyond its share get retry times of its own
        line, all others those of a common one: together they return no faster
        than slots become free.
        """
        now_s = self.now()
        heavy = claim is not None and self.exceeds_share(service, claim.flow)
        capacity = self.capacity(service)
        queue = self.queue(service)
        retry_at_s = max(
            queue.next_retry_s(
                now_s,
                capacity.slots / self.count_entries(),
                limited=capacity.limited,
                flow=claim.flow if claim and heavy else '',
            ),
            now_s + capacity.delay_s,
        )
        return Refusal(
            reason,
            retry_after_s(retry_at_s, now_s, left_s),
            self.expected_wait_s(service, claim),
            len(queue),
            self.loads.waiting_elsewhere(service),
            int(capacity.slots),
        )

    def queue_refusal(
        self, request: QueuedRequest, service: str, deadline_s: float
    ) -> Refusal:
        """Return why a queued request is refused now."""
        now_s = self.now()
        if not self.endpoints.usable(service, now_s):
            return Refusal('no_endpoint', NO_ENDPOINT_RETRY_S)
        return self.refusal(
            request.refusal_reason(now_s),
            service,
            deadline_s - now_s,
            Claim(request.priority, request.flow),
        )

    def exceeds_share(self, service: str, flow: str) -> bool:
        """Return whether one more slot is beyond an organisation's share."""
        table = self.shares.table(service)
        if not flow or not table.has_others(flow):
            return False
        return table.exceeds_share(flow, self.capacity(service).slots)

    def rows(self) -> tuple[RequestRow, ...]:
        """Return what this entry tells its peers of organisations."""
        entries = self.count_entries()
        return self.shares.heaviest(
            row
            for service, queue in self.queues.items()
            if self.shares.is_shared(service, queue)
            for row in self.shares.rows(
                service, queue, self.capacity(service).slots, entries
            )
        )
