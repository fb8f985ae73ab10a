"""Finds the traits that explain crashes of endpoints.

A trait is something that several requests can share: a whole content that
callers send again, or a part of a prompt. The fewest traits that explain the
crashes are the causes, and of traits that explain the same crashes the most
specific one, because refusing it affects the fewest requests.

All functions are pure; `parts/crash_quarantine.py` keeps the evidence.
"""

from __future__ import annotations

import heapq
import math
import operator
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

QUARANTINE_SCORE: Final = 3.0
# Needed if a trait explains less than the share of the crashes in its time.
MIXED_SCORE: Final = 6.0
EXPLAINED_SHARE: Final = 0.7
# Score of a crash during a response that had made progress. Most of the
# requests in flight at a crash are in this state.
LATE_SCORE: Final = 0.5
# Sorts crashes by time; a function in C, as each search calls it often.
seen_s: Final = operator.attrgetter('seen_s')
# Endpoints that end within this time, under requests that ran at the same time,
# are taken to share a cause such as the loss of a rack, and count as one crash.
SAME_CAUSE_S: Final = 0.03
# Short at first, for a trait that was quarantined for crashes with another
# cause; each further crash makes that less likely.
FIRST_HOLD_S: Final = 3.0
HOLD_FACTOR: Final = 4.0
MAX_HOLD_S: Final = 3_600.0


@dataclass(frozen=True, slots=True)
class Trait:
    """Something that several requests can share."""

    key: str
    # The higher, the fewer requests are expected to share it.
    specificity: int


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash as evidence against one trait."""

    # One lifetime of an endpoint, which can crash only once.
    lifetime: str
    # Whether the response had made progress.
    late: bool
    # When this process learned of it.
    seen_s: float
    # For how long the request had been in flight there.
    age_s: float = math.inf
    # The endpoint's service; crashes of others say nothing about its requests.
    service: str = ''


def crash_score(crashes: Collection[Crash]) -> float:
    """Return how much some crashes say against a trait.

    A trait crashes endpoints early or late, so the evidence does not add up.

    >>> crash_score([Crash('a', False, 1.0), Crash('b', True, 2.0)])
    1.0
    """
    early = CauseCount()
    late = CauseCount()
    for crash in sorted(crashes, key=seen_s):
        (late if crash.late else early).add(crash)
    return combined_score(early.count, late.count)


def combined_score(early: int, late: int) -> float:
    """Return the score of some numbers of early and late causes."""
    return max(float(early), LATE_SCORE * late)


@dataclass(slots=True)
class CauseCount:
    """The number of causes of crashes that are added in order of time."""

    count: int = 0
    group_start_s: float = -math.inf

    def add(self, crash: Crash) -> None:
        """Count a crash that was not seen before any added one."""
        sent_after = crash.seen_s - crash.age_s > self.group_start_s
        if sent_after or crash.seen_s - self.group_start_s > SAME_CAUSE_S:
            self.count += 1
            self.group_start_s = crash.seen_s


def count_causes(crashes: Iterable[Crash]) -> int:
    """Return the number of crashes; those at the same time count as one.

    A request that was sent after a crash, such as a retry, doesn't share the
    cause of that crash.

    >>> count_causes([Crash('a', False, 1.0), Crash('b', False, 1.01)])
    1
    >>> count_causes([Crash('a', False, 1.0), Crash('b', False, 1.01, 0.005)])
    2
    """
    causes = CauseCount()
    for crash in sorted(crashes, key=seen_s):
        causes.add(crash)
    return causes.count


def hold_s(score: float) -> float:
    """Return for how long a trait with this score is refused.

    >>> hold_s(3.0), hold_s(4.0), hold_s(90.0)
    (3.0, 12.0, 3600.0)
    """
    steps = max(0.0, score - QUARANTINE_SCORE)
    longest_steps = math.log(MAX_HOLD_S / FIRST_HOLD_S, HOLD_FACTOR)
    if steps >= longest_steps:
        return MAX_HOLD_S
    return FIRST_HOLD_S * math.pow(HOLD_FACTOR, steps)


def needed_score(
    crashes: Collection[Crash], all_crashes: Collection[Crash]
) -> float:
    """Return the score from which a trait is quarantined for some crashes.

    >>> crashes = [Crash(name, False, ord(name)) for name in 'ace']
    >>> others = [Crash(name, False, ord(name)) for name in 'bd']
    >>> needed_score(crashes, crashes), needed_score(crashes, crashes + others)
    (3.0, 6.0)
    """
    first_s = min(crash.seen_s for crash in crashes) - SAME_CAUSE_S
    last_s = max(crash.seen_s for crash in crashes) + SAME_CAUSE_S
    services = {crash.service for crash in crashes}
    meanwhile = count_causes(
        crash
        for crash in all_crashes
        if first_s <= crash.seen_s <= last_s and crash.service in services
    )
    share = count_causes(crashes) / max(1, meanwhile)
    return QUARANTINE_SCORE if share >= EXPLAINED_SHARE else MIXED_SCORE


def find_causes(
    crashes_by_trait: Mapping[str, Collection[Crash]],
    specificity: Mapping[str, int],
    all_crashes: Collection[Crash] = (),
    confirmed: Collection[str] = (),
    scores: Mapping[str, float] | None = None,
) -> list[str]:
    """Return the fewest traits that explain the crashes, greedily.

    A crash that a cause explains says nothing against the other traits of
    the requests that were in flight. Traits that were confirmed to be causes
    need no more evidence while endpoints crash for other reasons. `scores`
    are those of each trait's crashes, if the caller knows them.

    >>> crashes = [Crash(name, False, number) for number, name in
    ...            enumerate('abcd')]
    >>> by_trait = {'prompt': crashes, 'part': crashes, 'body': crashes[:3]}
    >>> find_causes(by_trait, {'prompt': 1, 'part': 2, 'body': 3})
    ['part']
    """
    known = scores or {
        key: crash_score(crashes) for key, crashes in crashes_by_trait.items()
    }
    sufficient = [
        key
        for key, crashes in crashes_by_trait.items()
        if known[key] >= QUARANTINE_SCORE
        and (
            key in confirmed or known[key] >= needed_score(crashes, all_crashes)
        )
    ]
    sufficient.sort(key=lambda key: (specificity[key], key), reverse=True)
    return choose_causes(
        {key: crashes_by_trait[key] for key in sufficient}, known
    )


def choose_causes(
    unexplained: dict[str, Collection[Crash]], scores: Mapping[str, float]
) -> list[str]:
    """Return causes in the order of how much each explains beyond the others.

    Of equal traits the first one comes first. Explaining crashes lowers the
    scores of traits and never raises one, because a part of the crashes that
    count as one does so too. So a trait is scored again only when its last
    score is the highest one.
    """
    ranked = [(-scores[key], rank, key) for rank, key in enumerate(unexplained)]
    heapq.heapify(ranked)
    causes: list[str] = []
    explained: set[str] = set()
    while ranked:
        score, rank, key = heapq.heappop(ranked)
        crashes = unexplained[key]
        rest = [crash for crash in crashes if crash.lifetime not in explained]
        if len(rest) < len(crashes):
            unexplained[key] = rest
            score = -rest_score(rest)
        if -score < QUARANTINE_SCORE:
            continue
        if ranked and (score, rank, key) > ranked[0]:
            heapq.heappush(ranked, (score, rank, key))
            continue
        causes.append(key)
        explained.update(crash.lifetime for crash in rest)
    return causes


def rest_score(crashes: Collection[Crash]) -> float:
    """Return the score of unexplained crashes, or 0 if they are too few.

    Each crash adds one at most, so too few need not be counted.
    """
    return crash_score(crashes) if len(crashes) >= QUARANTINE_SCORE else 0.0
