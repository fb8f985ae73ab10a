"""Hybrid logical clock: orders the events of several processes.

A new stamp is above every stamp that the process has observed, so an effect
has a later stamp than its cause even if wall clocks differ. The exception is
a peer whose clock runs ahead by more than `MAX_AHEAD_MS`.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

MS_IN_S: Final = 1000

# Stamps further ahead of the wall clock are not observed, so that one broken
# clock can't move the stamps of the whole fleet into the future.
MAX_AHEAD_MS: Final = 60_000


class Stamp(NamedTuple):
    """Wall time in ms, a counter within that millisecond, and a process id."""

    wall_ms: int
    counter: int
    process: str

    def __str__(self) -> str:
        """Return a fixed-width form that sorts as text in stamp order."""
        return f'{self.wall_ms:014d}.{self.counter:05d}@{self.process}'


def wall_clock_ms() -> int:
    """Return the wall time in milliseconds since the Unix epoch."""
    return int(time.time() * MS_IN_S)


@dataclass(slots=True)
class HybridClock:
    """Hybrid logical clock of one process.

    >>> clock = HybridClock('entry-1', read_wall_ms=lambda: 5)
    >>> clock.now() < clock.now()
    True
    >>> clock.observe(Stamp(9, 3, 'entry-2'))
    >>> clock.now()
    Stamp(wall_ms=9, counter=4, process='entry-1')
    """

    process: str
    read_wall_ms: Callable[[], int] = wall_clock_ms
    wall_ms: int = field(default=0, init=False)
    counter: int = field(default=0, init=False)

    def now(self) -> Stamp:
        """Return a stamp above all that were returned or observed before."""
        wall_ms = self.read_wall_ms()
        if wall_ms > self.wall_ms:
            self.wall_ms = wall_ms
            self.counter = 0
        else:
            self.counter += 1
        return Stamp(self.wall_ms, self.counter, self.process)

    def observe(self, stamp: Stamp) -> None:
        """Advance the clock to a stamp received from another process.

        A stamp more than `MAX_AHEAD_MS` ahead of the wall clock is ignored.
        """
        if stamp.wall_ms > self.read_wall_ms() + MAX_AHEAD_MS:
            return
        if (stamp.wall_ms, stamp.counter) > (self.wall_ms, self.counter):
            self.wall_ms = stamp.wall_ms
            self.counter = stamp.counter
