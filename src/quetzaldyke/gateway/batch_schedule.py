"""Decides when batch items start and which yield to online requests.

Load pattern: batch items run for seconds on engines whose slots a burst of
online requests needs within milliseconds, and several entries fill the same
slots.

Items start on every free slot that `slot_grants.py` grants to this entry, the
job that is due first before the others, unless `batch_reserve.py` keeps a slot
for the next peak. Under overload, items whose job can no
longer be done in time go behind those whose job can. `preemption.py` decides
which runs leave an engine that holds more requests than slots; a preempted
item resumes later after its last event.

An endpoint may fail some of its requests while it seems healthy. An item that
failed there is retried on other endpoints, so that its few attempts are not
all spent on the same fault.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.batch_reserve import BatchReserve
from quetzaldyke.gateway.endpoint_speeds import EndpointSpeeds
from quetzaldyke.gateway.expected_times import batch_shift
from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.gateway.model import Endpoint
from quetzaldyke.gateway.slot_grants import SlotGrants

# Initial averages, used until the first runs have ended.
DEFAULT_EVENTS: Final = 100.0
DEFAULT_EVENT_S: Final = 0.02
# Runs with fewer events say little of an endpoint's pace.
MIN_PACE_EVENTS: Final = 8
# Weight of the latest run in the pace of an endpoint, which may change.
PACE_WEIGHT: Final = 0.3
# Weight of the latest run in the exponential moving averages.
SMOOTHING_FACTOR: Final = 0.1
# An item that is longer than the average is assumed to need this share of
# the average length until its end.
MIN_REMAINING_SHARE: Final = 0.1
# An item is urgent when less than this multiple of the time that it still takes
# is left: the next slot may come free only after another run.
URGENT_RUNS: Final = 2.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """An item that is ready to start."""

    job_id: str
    item: int
    # Unix time at which its job is due.
    due_ms: float
    events_done: int
    # Whether it can no longer be done before its job is due.
    late: bool
    # Endpoints on which it has failed, or whose answer has to be confirmed.
    avoided: frozenset[str] = frozenset()
    # Whether it will be late if it does not start soon.
    urgent: bool = False
    # Name of its job's organisation; empty if there is none.
    organisation: str = ''


def start_order(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the items in the order in which they should start.

    Items that can be done in time go first, then those due earlier, then
    those with more events done.

    >>> early = Candidate('a', 0, due_ms=1.0, events_done=0, late=True)
    >>> later = Candidate('a', 0, due_ms=9.0, events_done=0, late=False)
    >>> begun = Candidate('b', 0, due_ms=5.0, events_done=7, late=False)
    >>> fresh = Candidate('b', 1, due_ms=5.0, events_done=0, late=False)
    >>> ordered = start_order([early, later, fresh, begun])
    >>> ordered == [begun, fresh, later, early]
    True
    """
    return sorted(
        candidates,
        key=lambda candidate: (
            candidate.late,
            candidate.due_ms,
            -candidate.events_done,
            candidate.job_id,
            candidate.item,
        ),
    )


def assign_endpoints(
    candidates: Iterable[Candidate],
    slots: Sequence[Endpoint],
    usable: Collection[str],
) -> list[tuple[Candidate, Endpoint]]:
    """Assign the free slots to the items, in order.

    `slots` has one endpoint for each free slot. An item is not assigned to
    an endpoint that it avoids while there is a usable endpoint that it does
    not, even if that one has no free slot.
    """
    remaining = list(slots)
    pairs: list[tuple[Candidate, Endpoint]] = []
    for candidate in candidates:
        if not remaining:
            break
        avoided = candidate.avoided
        if avoided.issuperset(usable):
            avoided = frozenset()
        found = next(
            (slot for slot in remaining if slot.endpoint_id not in avoided),
            None,
        )
        if found is not None:
            remaining.remove(found)
            pairs.append((candidate, found))
    return pairs


@dataclass(slots=True)
class RunTimeEstimator:
    """Estimates run times from moving averages of runs that have ended.

    >>> times = RunTimeEstimator()
    >>> times.record_run(events=200, duration_s=4.0)
    >>> times.remaining_s(0) > times.remaining_s(events_done=100) > 0
    True
    """

    events: float = DEFAULT_EVENTS
    event_s: float = DEFAULT_EVENT_S
    # Time between events at each endpoint, of runs that ended in any way.
    pace_s: dict[str, float] = field(default_factory=dict)

    def record_pace(
        self, endpoint_id: str, events: int, duration_s: float
    ) -> None:
        """Update the pace of an endpoint with the events of a run there.

        A slow endpoint may take more than twice as long as a fast one.
        """
        if events < MIN_PACE_EVENTS:
            return
        measured_s = duration_s / events
        known_s = self.pace_s.get(endpoint_id, measured_s)
        changed_s = PACE_WEIGHT * (measured_s - known_s)
        self.pace_s[endpoint_id] = known_s + changed_s

    def remaining_at_s(self, endpoint_id: str, events_done: int) -> float:
        """Return the estimated time that an item takes at an endpoint."""
        pace_s = self.pace_s.get(endpoint_id, self.event_s)
        return self.remaining_s(events_done) * pace_s / self.event_s

    def keep_endpoints(self, endpoint_ids: Collection[str]) -> None:
        """Drop what is known of all other endpoints."""
        for endpoint_id in self.pace_s.keys() - set(endpoint_ids):
            del self.pace_s[endpoint_id]

    def record_run(self, events: int, duration_s: float) -> None:
        """Update the averages with an uninterrupted run of a whole item."""
        if not events:
            return
        self.events += SMOOTHING_FACTOR * (events - self.events)
        measured_event_s = duration_s / events
        self.event_s += SMOOTHING_FACTOR * (measured_event_s - self.event_s)

    def remaining_s(self, events_done: int) -> float:
        """Return the estimated time that an item still takes."""
        remaining = max(
            self.events - events_done, MIN_REMAINING_SHARE * self.events
        )
        return remaining * self.event_s


@dataclass(frozen=True, slots=True)
class BatchPolicy:
    """Decides how many batch items one entry starts on each endpoint."""

    loads: LoadTable
    grants: SlotGrants
    generator: random.Random
    # None if batch work may use every free slot.
    reserve: BatchReserve | None = None
    # None if the endpoints of a service are taken for equally fast.
    speeds: EndpointSpeeds | None = None

    def allocate_slots(
        self,
        endpoints: Sequence[Endpoint],
        own_pending: int,
        now_s: float,
    ) -> list[Endpoint]:
        """Return one endpoint for each item that may start now.

        The endpoints with the most free slots come first, ties in random
        order. Where speeds are known, items go to somewhat slow endpoints
        rather than to those that online requests prefer, and of the slots that
        all items need, the first item gets the fastest.
        """
        allocated: list[tuple[float, float, Endpoint]] = []
        weights = self.grants.weigh_entries(own_pending)
        for endpoint in endpoints:
            endpoint_id = endpoint.endpoint_id
            free = endpoint.slots - self.loads.total(endpoint_id)
            if free <= 0 or not self.grants.may_fill(
                endpoint_id,
                own_pending,
                now_s,
                endpoint.failure_domain,
                weights,
            ):
                continue
            for number in range(free):
                tie_break = self.generator.random()
                order = number - free + self.shift(endpoint)
                allocated.append((order, tie_break, endpoint))
        allocated.sort(key=lambda row: row[:2])
        slots = [row[2] for row in allocated]
        if self.speeds is None:
            return slots
        first = sorted(slots[:own_pending], key=self.speeds.pace)
        return first + slots[own_pending:]

    def shift(self, endpoint: Endpoint) -> float:
        """Return what an endpoint's speed adds to its place, in slots."""
        return batch_shift(self.speeds, endpoint) if self.speeds else 0.0
