"""Ends calls whose deadline has passed.

A single heap and timer serve all requests, because a cancel scope for each
token would cost more than relaying the token. An expired call ends with a
`Failed` event. The sidecar also drops expired requests and reports whether
they ran, so the entry allows it a short grace period after the deadline.
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
# Time after the deadline for the sidecar's report, which tells whether the
# request ran; the entry itself can only report `unknown`.
EXPIRY_GRACE_S: Final = 0.25
DEADLINE_REASON: Final = 'deadline'

# Due time, tie-breaker, call table and request id. The call itself is looked
# up by id, so that completed requests and their bodies are not kept in memory
# until their deadline.
HeapEntry = tuple[float, int, CallTable, str]


@dataclass(slots=True)
class DeadlineQueue:
    """Priority queue of calls by deadline."""

    heap: list[HeapEntry] = field(default_factory=list)
    sequence: Iterator[int] = field(default_factory=itertools.count)

    def add(self, deadline_s: float, table: CallTable, call: Call) -> None:
        """Add a call that expires a grace period after its deadline."""
        due_s = deadline_s + EXPIRY_GRACE_S
        heap_entry = (due_s, next(self.sequence), table, call.submit.request_id)
        heapq.heappush(self.heap, heap_entry)

    def expire(self, now_s: float) -> int:
        """Cancel and fail the calls that are due; return how many."""
        ended = 0
        while self.heap and self.heap[0][0] <= now_s:
            _, _, table, request_id = heapq.heappop(self.heap)
            call = table.calls.get(request_id)
            if call is None:
                continue
            table.session.send(Cancel(request_id))
            table.finish_call(
                call,
                Failed(request_id, 'unknown', DEADLINE_REASON),
            )
            ended += 1
        return ended
