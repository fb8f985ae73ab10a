"""Ends requests at their deadline.

One heap and one timer serve all requests: a cancel scope for each token
would cost more than relaying it. A call past its deadline gets a `Failed`
event like any other end. The sidecar drops expired requests itself and says
whether they ran, so the entry waits a moment longer than the deadline.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.calls import Call, CallTable
from quetzaldyke.connection.messages import Cancel, Failed

EXPIRY_INTERVAL_S: Final = 0.05
# Time for the sidecar's own, more certain answer to arrive.
EXPIRY_GRACE_S: Final = 0.25
DEADLINE_REASON: Final = 'deadline'

# The call is looked up by its id, so that finished requests and their bodies
# are not kept in memory until their deadline.
HeapEntry = tuple[float, int, CallTable, str]


@dataclass(slots=True)
class DeadlineQueue:
    """Calls in the order of their deadlines."""

    heap: list[HeapEntry] = field(default_factory=list)
    sequence: Iterator[int] = field(default_factory=itertools.count)

    def add(self, deadline_s: float, table: CallTable, call: Call) -> None:
        """Watch a call until its deadline."""
        due_s = deadline_s + EXPIRY_GRACE_S
        heap_entry = (due_s, next(self.sequence), table, call.submit.request_id)
        heapq.heappush(self.heap, heap_entry)

    def expire(self, now_s: float) -> int:
        """End the calls whose time is over; return how many."""
        ended = 0
        while self.heap and self.heap[0][0] <= now_s:
            _, _, table, request_id = heapq.heappop(self.heap)
            call = table.calls.get(request_id)
            if call is None:
                continue
            table.session.send(Cancel(request_id))
            table.close_call(
                call,
                Failed(request_id, 'unknown', DEADLINE_REASON),
            )
            ended += 1
        return ended
