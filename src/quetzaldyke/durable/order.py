"""Orders batch work: by slack, then round robin among organisations."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

MS_IN_S: Final = 1000
# Time constant of the moving average. Results are committed in groups up to
# 5 s apart, so with a shorter one the rate would follow single commits.
RATE_TIME_CONSTANT_S: Final = 15.0
MIN_INTERVAL_S: Final = 0.001
# Assumed while no rate is known: one item per second. A new job then neither
# counts as late nor has an infinite estimate.
INITIAL_RATE_PER_S: Final = 1.0


@dataclass(slots=True)
class RateEstimate:
    """Moving average of the items that a job finishes per second.

    Within the first time constant it is the plain average since the first
    sample, then an exponentially weighted one.

    >>> rate = RateEstimate()
    >>> rate.sample(0, 0.0)
    >>> rate.sample(20, 10.0)
    >>> rate.remaining_s(40)
    20.0
    """

    per_s: float = 0.0
    finished: int = -1
    sampled_s: float = 0.0
    first_finished: int = 0
    first_s: float = 0.0

    def sample(self, finished: int, now_s: float) -> None:
        """Update the rate with the number of items finished so far."""
        if self.finished < 0:
            self.first_finished, self.first_s = finished, now_s
        elif now_s - self.first_s <= RATE_TIME_CONSTANT_S:
            elapsed_s = max(now_s - self.first_s, MIN_INTERVAL_S)
            self.per_s = (finished - self.first_finished) / elapsed_s
        else:
            interval_s = max(now_s - self.sampled_s, MIN_INTERVAL_S)
            latest_per_s = max(0, finished - self.finished) / interval_s
            weight = 1 - math.exp(-interval_s / RATE_TIME_CONSTANT_S)
            self.per_s += weight * (latest_per_s - self.per_s)
        self.finished, self.sampled_s = finished, now_s

    def remaining_s(self, remaining: int) -> float:
        """Return the estimated time to finish the remaining items."""
        return remaining / (self.per_s or INITIAL_RATE_PER_S)


def slack_s(deadline_ms: int, now_ms: int, remaining_s: float) -> float:
    """Return the time to the deadline minus the estimated work.

    It is negative for a job that is expected to miss its deadline.

    >>> slack_s(10_000, 4_000, 2.0)
    4.0
    """
    return (deadline_ms - now_ms) / MS_IN_S - remaining_s


ItemT = TypeVar('ItemT')


def round_robin(
    queues: Sequence[Sequence[ItemT]],
    limit: int,
) -> list[ItemT]:
    """Return up to `limit` items, taken from the queues in turns.

    >>> round_robin([['a1', 'a2', 'a3'], ['b1']], 3)
    ['a1', 'b1', 'a2']
    """
    longest = max((len(queue) for queue in queues), default=0)
    interleaved = [
        queue[position]
        for position in range(longest)
        for queue in queues
        if position < len(queue)
    ]
    return interleaved[:limit]


def round_robin_by_organisation(
    queues: Sequence[tuple[str, Sequence[ItemT]]],
    limit: int,
) -> list[ItemT]:
    """Return up to `limit` items, taken from the organisations in turns.

    Each queue belongs to a job and comes with the job's organisation, the
    most urgent job first. The jobs of an organisation take turns within its
    share.

    >>> queues = [('x', ['a1', 'a2']), ('x', ['b1']), ('y', ['c1'])]
    >>> round_robin_by_organisation(queues, 3)
    ['a1', 'c1', 'b1']
    """
    by_organisation: dict[str, list[Sequence[ItemT]]] = {}
    for organisation, queue in queues:
        by_organisation.setdefault(organisation, []).append(queue)
    per_organisation = [
        round_robin(queues_of_one, sum(len(queue) for queue in queues_of_one))
        for queues_of_one in by_organisation.values()
    ]
    return round_robin(per_organisation, limit)
