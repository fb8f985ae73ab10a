"""Simulates an engine's prefix cache, with delayed and dropped events."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

MAX_EVENTS: Final = 10_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix that was stored or evicted, visible from `visible_s` on."""

    number: int
    prefix: str
    kind: str  # 'stored' or 'evicted'
    visible_s: float


@dataclass(slots=True)
class PrefixCache:
    """A cache of prompt blocks with a fixed capacity and LRU eviction.

    >>> cache = PrefixCache(2, lambda: 0.0)
    >>> cache.store(['a', 'b'])
    >>> cache.store(['c'])
    >>> cache.cached_prefix_count(['a', 'b'])
    1
    >>> [(one['kind'], one['prefix']) for one in cache.events_after(3)]
    [('evicted', 'b')]
    """

    capacity: int
    now: Callable[[], float]
    event_lag_s: float = 0.0
    # Drops events whose number is a multiple of this; 0 drops none.
    drop_every: int = 0
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    events: deque[CacheEvent] = field(
        default_factory=lambda: deque(maxlen=MAX_EVENTS),
    )
    next_number: int = 1

    def cached_prefix_count(self, prefixes: list[str]) -> int:
        """Return the number of leading blocks that are cached."""
        count = 0
        for name in prefixes:
            if name not in self.blocks:
                break
            count += 1
        return count

    def store(self, prefixes: list[str]) -> None:
        """Cache the blocks of a prompt and evict beyond the capacity.

        A block is useless without the blocks before it, so earlier blocks
        count as more recently used and are evicted later.
        """
        for name in reversed(prefixes):
            if name not in self.blocks:
                self.record_event(name, 'stored')
            self.blocks[name] = None
            self.blocks.move_to_end(name)
        while len(self.blocks) > self.capacity:
            evicted, _ = self.blocks.popitem(last=False)
            self.record_event(evicted, 'evicted')

    def clear(self) -> None:
        """Discard blocks and events, as in a crash, without new events."""
        self.blocks.clear()
        self.events.clear()

    def record_event(self, prefix: str, kind: str) -> None:
        """Record an event, unless its number is one to be dropped."""
        event_number = self.next_number
        self.next_number += 1
        if self.drop_every and event_number % self.drop_every == 0:
            return
        visible_s = self.now() + self.event_lag_s
        self.events.append(CacheEvent(event_number, prefix, kind, visible_s))

    def events_after(self, after: int) -> list[dict[str, Any]]:
        """Return the visible events numbered above `after`."""
        now_s = self.now()
        return [
            {'number': one.number, 'prefix': one.prefix, 'kind': one.kind}
            for one in self.events
            if one.number > after and one.visible_s <= now_s
        ]
