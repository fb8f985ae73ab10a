"""Order of batch work: slack first, then fairness among organisations."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final, TypeVar

MS_IN_S: Final = 1000
# Jobs whose slack differs by less are equally urgent, so that organisations
# take turns instead of following small differences of the estimate.
SLACK_STEP_S: Final = 60
# Weight of the newest rate sample in the estimate.
RATE_WEIGHT: Final = 0.3
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

    def sample(self, finished: int, now_s: float) -> None:
        """Take the number of items finished so far."""
        passed_s = now_s - self.at_s
        if self.finished < 0 or passed_s <= 0:
            self.finished, self.at_s = max(finished, self.finished), now_s
            return
        newest = max(0, finished - self.finished) / passed_s
        self.finished, self.at_s = finished, now_s
        if self.per_s == 0:
            self.per_s = newest
            return
        self.per_s += RATE_WEIGHT * (newest - self.per_s)

    def remaining_s(self, remaining: int) -> float:
        """Return the estimated time of the remaining items."""
        return remaining / (self.per_s or FIRST_RATE)


@dataclass(frozen=True, slots=True)
class Waiting:
    """A job with items that could start now."""

    job_id: str
    organisation: str
    slack_s: float
    created_ms: int = 0


def slack_s(deadline_ms: int, now_ms: int, remaining_s: float) -> float:
    """Return the time left minus the time that the items need.

    >>> slack_s(10_000, 4_000, 2.0)
    4.0
    """
    return (deadline_ms - now_ms) / MS_IN_S - remaining_s


def in_order(
    jobs: Iterable[Waiting],
    running: Mapping[str, int],
    weights: Mapping[str, float],
) -> list[Waiting]:
    """Return jobs by urgency, then by their organisation's weighted use.

    >>> jobs = [Waiting('a', 'x', 70.0), Waiting('b', 'y', 110.0)]
    >>> [job.job_id for job in in_order(jobs, {'x': 3, 'y': 1}, {})]
    ['b', 'a']
    """

    def rank(job: Waiting) -> tuple[float, float, int, str]:
        use = running.get(job.organisation, 0)
        share = use / weights.get(job.organisation, 1.0)
        return (
            job.slack_s // SLACK_STEP_S,
            share,
            job.created_ms,
            job.job_id,
        )

    return sorted(jobs, key=rank)


ItemT = TypeVar('ItemT')


def deal_in_turns(
    queues: Sequence[Sequence[ItemT]],
    limit: int,
) -> list[ItemT]:
    """Return up to `limit` items of the queues in turns, first queue first.

    >>> deal_in_turns([['a1', 'a2', 'a3'], ['b1']], 3)
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
