"""Bounds the bytes that all holders of one kind keep in memory together.

Failure pattern: a faulty peer sends without end, to many connections at once.
A limit for each body holds for each of them, and together they take more than
the process has. The holder of the most bytes is then given up, so that the
others, whose bodies are of the usual size, are not.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Holding:
    """The bytes of one holder."""

    budget: ByteBudget
    # Gives the holder's bytes up.
    on_evict: Callable[[], None]
    size: int = 0
    # Cleared once the bytes are in use and can't be given up.
    evictable: bool = True

    def grow(self, count: int) -> None:
        """Add bytes; evicts the largest holders if all hold too many."""
        self.size += count
        self.budget.used += count
        self.budget.evict()

    def shrink(self, count: int) -> None:
        """Remove bytes that are no longer held."""
        removed = min(count, self.size)
        self.size -= removed
        self.budget.used -= removed

    def release(self) -> None:
        """Remove all bytes; may be called again."""
        self.shrink(self.size)
        self.budget.holdings.discard(self)


@dataclass(slots=True)
class ByteBudget:
    """The limit, and who holds how much of it.

    >>> budget = ByteBudget(10)
    >>> evicted = []
    >>> small = budget.hold(lambda: evicted.append('small'))
    >>> large = budget.hold(lambda: evicted.append('large'))
    >>> large.grow(8)
    >>> small.grow(3)
    >>> evicted, budget.used
    (['large'], 3)
    """

    limit_bytes: int
    used: int = 0
    holdings: set[Holding] = field(default_factory=set)
    evictions: int = 0

    def hold(self, on_evict: Callable[[], None]) -> Holding:
        """Return a holding without bytes."""
        holding = Holding(self, on_evict)
        self.holdings.add(holding)
        return holding

    @contextmanager
    def holding(self, on_evict: Callable[[], None]) -> Iterator[Holding]:
        """Return a holding that is released with the context."""
        held = self.hold(on_evict)
        try:
            yield held
        finally:
            held.release()

    def evict(self) -> None:
        """Evict the largest holders until the others fit."""
        while self.used > self.limit_bytes:
            candidates = [one for one in self.holdings if one.evictable]
            if not candidates:
                return
            largest = max(candidates, key=lambda one: one.size)
            largest.release()
            self.evictions += 1
            largest.on_evict()
