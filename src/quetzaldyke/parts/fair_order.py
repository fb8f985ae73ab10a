"""Orders the work of several flows so that each gets its weighted share.

Load pattern: one flow offers many times its usual work and fills every slot
and every line, while many others offer little, each now and then.

The next slot goes to the flow that holds the fewest slots for its weight, so
that a flow with little work finds the next one, whatever the line of another.
Where several flows hold as many, virtual start times decide: each start moves
its flow on by one unit of work divided by its weight, and a flow that was idle
joins at the time of the last start, without a claim for what it did not use.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import (
    Callable,
    Iterator,
    Mapping,
    MutableMapping,
    Sequence,
)
from dataclasses import dataclass, field
from typing import Final, NamedTuple, TypeVar

# Virtual times of idle flows are dropped once more than these are kept.
MIN_KEPT_TIMES: Final = 64
# Slots that a flow of weight 1 may hold at least before it exceeds its share,
# also if more flows than slots are active: none of these keeps others out.
MIN_SHARE: Final = 2.0

ItemT = TypeVar('ItemT')


def equal_weight(flow: str) -> float:
    """Return the weight of a flow where none is configured."""
    return 1.0


class Rank(NamedTuple):
    """What orders work of several flows; the least is the next to start."""

    # Slots that the flow holds for its weight, with the work before this.
    level: float
    start_time: float
    # Orders what is equal otherwise.
    arrival: int


@dataclass(slots=True)
class FlowTable:
    """The slots of one resource that flows hold, and their virtual times.

    >>> table = FlowTable()
    >>> table.start('busy')
    >>> lines = {'busy': ['b1', 'b2'], 'light': ['a1']}
    >>> list(table.in_order(lines, lambda item: 0))
    ['a1', 'b1', 'b2']
    """

    weight_of: Callable[[str], float] = equal_weight
    # Slots held here and, as far as it is known, elsewhere; without zeros.
    running: dict[str, int] = field(default_factory=dict)
    elsewhere: dict[str, int] = field(default_factory=dict)
    # When each flow was last told to be active elsewhere.
    active_elsewhere: dict[str, float] = field(default_factory=dict)
    # Start time of the last start, and the next one of each flow that is
    # ahead of it.
    virtual_time: float = 0.0
    next_times: dict[str, float] = field(default_factory=dict)
    max_times: int = MIN_KEPT_TIMES

    def start(self, flow: str) -> None:
        """Count a slot that a flow takes."""
        self.running[flow] = self.running.get(flow, 0) + 1
        started = self.start_time(flow)
        self.virtual_time = max(self.virtual_time, started)
        self.next_times[flow] = started + 1 / self.weight_of(flow)
        if len(self.next_times) > self.max_times:
            self.drop_past_times()

    def end(self, flow: str) -> None:
        """Count a slot that a flow leaves."""
        left = self.running.pop(flow, 0) - 1
        if left > 0:
            self.running[flow] = left

    def drop_past_times(self) -> None:
        """Drop the times of flows that would join at the current one anyway."""
        self.next_times = {
            flow: time
            for flow, time in self.next_times.items()
            if time > self.virtual_time
        }
        self.max_times = 2 * len(self.next_times) + MIN_KEPT_TIMES

    def held(self, flow: str) -> int:
        """Return the slots that a flow holds."""
        return self.running.get(flow, 0) + self.elsewhere.get(flow, 0)

    def level(self, flow: str, ahead: int = 0) -> float:
        """Return a flow's slots for its weight, with `ahead` more of them."""
        return (self.held(flow) + ahead) / self.weight_of(flow)

    def start_time(self, flow: str) -> float:
        """Return the virtual time of a flow's next start."""
        return max(self.virtual_time, self.next_times.get(flow, 0.0))

    def active_weight(self, flow: str = '') -> float:
        """Return the summed weight of the active flows, and of a given one."""
        active = self.running.keys() | self.active_elsewhere.keys()
        return sum(map(self.weight_of, active | {flow} if flow else active))

    def share(self, flow: str) -> float:
        """Return the share of the starts that a flow can count on.

        That is what its weight gives it among the active flows, and
        more if it holds more: others then leave some of theirs.
        """
        weights = self.active_weight(flow)
        held = sum(self.running.values()) + sum(self.elsewhere.values())
        return max(
            self.weight_of(flow) / weights, self.held(flow) / max(held, 1)
        )

    def has_others(self, flow: str) -> bool:
        """Return whether flows other than one are active."""
        here = len(self.running) - (flow in self.running)
        beside = self.active_elsewhere
        return here > 0 or len(beside) > (flow in beside)

    def exceeds_share(self, flow: str, slots: float) -> bool:
        """Return whether one more slot is beyond a flow's share of `slots`.

        A flow that is alone, or holds few slots, has no share to exceed.
        """
        level = self.level(flow)
        if level < MIN_SHARE or not self.has_others(flow):
            return False
        return level >= slots / self.active_weight(flow)

    def in_order(
        self,
        lines: Mapping[str, Sequence[ItemT]],
        arrival_of: Callable[[ItemT], int],
    ) -> Iterator[ItemT]:
        """Yield the work of all flows in the order in which it should start.

        `lines` has the work of each flow in its own order. Starts while the
        iterator is read do not change the order.
        """
        held = {flow: self.held(flow) for flow in lines}
        times = {flow: self.start_time(flow) for flow in lines}

        def entry(flow: str, index: int) -> tuple[Rank, str, int]:
            weight = self.weight_of(flow)
            rank = Rank(
                (held[flow] + index) / weight,
                times[flow] + index / weight,
                arrival_of(lines[flow][index]),
            )
            return rank, flow, index

        heap = [entry(flow, 0) for flow, line in lines.items() if line]
        heapq.heapify(heap)
        while heap:
            _, flow, index = heap[0]
            yield lines[flow][index]
            if index + 1 < len(lines[flow]):
                heapq.heapreplace(heap, entry(flow, index + 1))
            else:
                heapq.heappop(heap)

    def count_ahead(self, flow: str, waiting: Mapping[str, int]) -> int:
        """Return how much waiting work starts before one more of a flow.

        `waiting` counts the work of each flow, the given one included. Work
        of the same rank counts as ahead.
        """
        own = waiting.get(flow, 0)
        level = self.level(flow, own)
        return own + sum(
            min(count, self.starts_until(other, level))
            for other, count in waiting.items()
            if other != flow
        )

    def starts_until(self, flow: str, level: float) -> int:
        """Return how often a flow may start until it is above a level."""
        room = level * self.weight_of(flow) - self.held(flow)
        return max(0, math.floor(room) + 1)


def fade_use(use: MutableMapping[str, float], factor: float) -> None:
    """Reduce the past use of flows to a share; drop those with next to none.

    >>> use = {'busy': 8.0, 'idle': 0.5}
    >>> fade_use(use, factor=0.5)
    >>> use
    {'busy': 4.0}
    """
    for flow in list(use):
        use[flow] *= factor
        if use[flow] < factor:
            use.pop(flow)
