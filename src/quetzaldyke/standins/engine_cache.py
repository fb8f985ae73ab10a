"""Prefix cache of the stand-in engine, with its late and lossy events."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

MAX_EVENTS: Final = 10_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of the cache."""

    number: int
    prefix: str
    kind: str  # 'stored' or 'evicted'
    visible_s: float


@dataclass(slots=True)
class PrefixCache:
    """Blocks in limited memory; the least recently used is evicted.

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
    # Each event whose number is a multiple of this is lost; 0 loses none.
    drop_every: int = 0
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    events: deque[CacheEvent] = field(
        default_factory=lambda: deque(maxlen=MAX_EVENTS),
    )
    next_number: int = 1

    def cached_prefix_count(self, prefixes: list[str]) -> int:
        """Return how many leading blocks are cached."""
        count = 0
        for name in prefixes:
            if name not in self.blocks:
                break
            count += 1
        return count

    def store(self, prefixes: list[str]) -> None:
        """Cache the blocks of a prompt.

        Later blocks are useless without the earlier ones, so the earlier
        ones count as used more recently.
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
        """Lose everything, as at a crash: no events tell of it."""
        self.blocks.clear()
        self.events.clear()

    def record_event(self, prefix: str, kind: str) -> None:
        """Record an event, or lose it."""
        event_number = self.next_number
        self.next_number += 1
        if self.drop_every and event_number % self.drop_every == 0:
            return
        visible_s = self.now() + self.event_lag_s
        self.events.append(CacheEvent(event_number, prefix, kind, visible_s))

    def events_after(self, after: int) -> list[dict[str, Any]]:
        """Return the visible events with a higher number."""
        now_s = self.now()
        return [
            {'number': one.number, 'prefix': one.prefix, 'kind': one.kind}
            for one in self.events
            if one.number > after and one.visible_s <= now_s
        ]
