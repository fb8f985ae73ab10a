"""Tracks whether the platform's store answers this process.

Failure pattern: the store ends waiting watches, each after a second or two,
while it answers all other calls. A watch that was ended while it waited says
nothing about the store, so it is neither an answered nor a failed call. If the
store is lost, the next call to it fails.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.exchange import Failure

# Consecutive failed calls after which the store counts as down.
DOWN_AFTER_FAILURES: Final = 2
# A watch whose connection ends sooner did not wait: the store accepts
# connections and fails.
MIN_WATCH_S: Final = 0.1
# Longest time between two answers of a store that is up: the lease is renewed
# each second, and the slowest answers still in time take a quarter of one.
MAX_SILENCE_S: Final = 1.3


def is_cut_watch(failure: Failure, waited_s: float) -> bool:
    """Return whether a failed watch was ended while it waited.

    >>> is_cut_watch(Failure.BROKEN, 1.0), is_cut_watch(Failure.BROKEN, 0.0)
    (True, False)
    >>> is_cut_watch(Failure.STALLED, 2.6)
    False
    """
    return failure is Failure.BROKEN and waited_s >= MIN_WATCH_S


@dataclass(slots=True)
class StoreHealth:
    """Up or down state of the store, derived from the outcomes of calls.

    >>> health = StoreHealth()
    >>> health.note(answered=False, now_s=1.0)
    >>> health.up
    True
    >>> health.note(answered=False, now_s=2.0)
    >>> health.up
    False
    >>> health.note(answered=True, now_s=3.0)
    >>> health.up, health.up_since_s
    (True, 3.0)
    """

    up: bool = True
    failures: int = 0
    last_answer_s: float = 0.0
    # Time since which no call has failed.
    up_since_s: float = 0.0
    # When the store was last found to be down.
    down_at_s: float = 0.0
    on_lost: list[Callable[[], None]] = field(default_factory=list)
    on_regained: list[Callable[[], None]] = field(default_factory=list)

    def note(self, *, answered: bool, now_s: float) -> None:
        """Record the outcome of a call; run `on_lost` on going down."""
        if answered:
            self.note_answer(now_s)
            return
        self.failures += 1
        self.up_since_s = now_s
        if self.up and self.failures >= DOWN_AFTER_FAILURES:
            self.up = False
            self.down_at_s = now_s
            for handler in self.on_lost:
                handler()

    def up_s(self, now_s: float) -> float:
        """Return for how long all calls were answered.

        0 while the store is down, or has not answered for `MAX_SILENCE_S`.
        """
        silent = now_s - self.last_answer_s > MAX_SILENCE_S
        return now_s - self.up_since_s if self.up and not silent else 0.0

    def note_answer(self, now_s: float) -> None:
        """Record an answered call; run `on_regained` on coming back up."""
        self.failures = 0
        if not self.last_answer_s:
            self.up_since_s = now_s
        self.last_answer_s = now_s
        if self.up:
            return
        self.up = True
        self.up_since_s = now_s
        for handler in self.on_regained:
            handler()
