"""Order of batch work: slack first, then fairness among organisations."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

MS_IN_S: Final = 1000
# Time constant of the rate. Results are recorded in groups up to 5 s apart,
# so a shorter one follows single commits.
RATE_WINDOW_S: Final = 15.0
MIN_INTERVAL_S: Final = 0.001
# Used before the first rate is known, so that a new job is neither late nor
# endless: one item a second.
FIRST_RATE: Final = 1.0


@dataclass(slots=True)
class RateEstimate:
    """Items that a job finishes in a second, as a moving average.

    >>> rate = RateEstimate()
    >>> rate.sample(0, 0.0)
    >>> rate.sample(20, 10.0)
    >>> rate.remaining_s(40)
    20.0
    """

    per_s: float = 0.0
    finished: int = -1
    at_s: float = 0.0
    first_finished: int = 0
    first_s: float = 0.0

    def sample(self, finished: int, now_s: float) -> None:
        """Take the number of items finished so far."""
        if self.finished < 0:
            self.first_finished, self.first_s = finished, now_s
        elif now_s - self.first_s <= RATE_WINDOW_S:
            whole_s = max(now_s - self.first_s, MIN_INTERVAL_S)
            self.per_s = (finished - self.first_finished) / whole_s
        else:
            passed_s = max(now_s - self.at_s, MIN_INTERVAL_S)
            newest = max(0, finished - self.finished) / passed_s
            weight = 1 - math.exp(-passed_s / RATE_WINDOW_S)
            self.per_s += weight * (newest - self.per_s)
        self.finished, self.at_s = finished, now_s

    def remaining_s(self, remaining: int) -> float:
        """Return the estimated time of the remaining items."""
        return remaining / (self.per_s or FIRST_RATE)


def slack_s(deadline_ms: int, now_ms: int, remaining_s: float) -> float:
    """Return the time left minus the time that the items need.

    >>> slack_s(10_000, 4_000, 2.0)
    4.0
    """
    return (deadline_ms - now_ms) / MS_IN_S - remaining_s


ItemT = TypeVar('ItemT')


def round_robin(
    queues: Sequence[Sequence[ItemT]],
    limit: int,
) -> list[ItemT]:
    """Return up to `limit` items of the queues in turns, first queue first.

    >>> round_robin([['a1', 'a2', 'a3'], ['b1']], 3)
    ['a1', 'b1', 'a2']
    """
    longest = max((len(queue) for queue in queues), default=0)
    turns = [
        queue[position]
        for position in range(longest)
        for queue in queues
        if position < len(queue)
    ]
    return turns[:limit]


def round_robin_by_organisation(
    queues: Sequence[tuple[str, Sequence[ItemT]]],
    limit: int,
) -> list[ItemT]:
    """Return up to `limit` items, organisations in turns.

    Each queue is a job's with its organisation, the most urgent first; the
    jobs of one organisation take turns within its share.

    >>> queues = [('x', ['a1', 'a2']), ('x', ['b1']), ('y', ['c1'])]
    >>> round_robin_by_organisation(queues, 3)
    ['a1', 'c1', 'b1']
    """
    by_organisation: dict[str, list[Sequence[ItemT]]] = {}
    for organisation, queue in queues:
        by_organisation.setdefault(organisation, []).append(queue)
    dealt = [
        round_robin(own, sum(len(queue) for queue in own))
        for own in by_organisation.values()
    ]
    return round_robin(dealt, limit)
