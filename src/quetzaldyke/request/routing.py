"""Chooses the endpoint of a request among the ones that can run it.

Power of two choices over an estimate of each endpoint's load keeps entries
from herding to the endpoint whose last report was the best. The own failure
domain is tried first and spills over when it is busy. Prefix affinity is a
hint that yields to load, and slow endpoints look busier than they are.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

# A prefix match may load an endpoint up to this multiple of the mean.
AFFINITY_BOUND: Final = 1.25
# An endpoint is slow when its time to first token is over this multiple of
# the pool's median; queueing alone stays below it on even load.
SLOW_TTFT_RATIO: Final = 2.0
# Differences below this are noise of scheduling, not a slow endpoint.
SLOW_TTFT_MARGIN_MS: Final = 20.0
# Median and ratio say nothing with fewer measured endpoints.
MIN_MEASURED: Final = 3
# At most this share of a pool is down-weighted, so that the others are not
# overloaded by a wrong verdict.
SLOW_SHARE_DIVISOR: Final = 3
MAX_SLOW_PENALTY: Final = 8.0
# Share of choices that ignore weights, so that a slow endpoint which has
# recovered is measured again.
PROBE_SHARE: Final = 0.02


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that can run the request, with what is known of it."""

    name: str
    failure_domain: str
    load: int  # requests that run or wait there
    limit: int  # requests that it runs at once
    ttft_ms: float = 0.0  # 0 when not measured
    prefix_blocks: int = 0  # cached blocks of the request's prompt

    @property
    def load_ratio(self) -> float:
        """Return the load as a share of what the endpoint can run."""
        return self.load / max(1, self.limit)


@dataclass(frozen=True, slots=True)
class LocalityPreference:
    """Where the entry stands and when it looks further."""

    failure_domain: str
    spill_ratio: float


def slow_penalties(candidates: Sequence[Candidate]) -> dict[str, float]:
    """Return how much busier slow endpoints are made to look.

    >>> pool = [Candidate(f'e{ms}', 'a', 0, 8, ms) for ms in (50, 52, 54, 400)]
    >>> slow_penalties(pool)
    {'e400': 7.547169811320755}
    """
    measured = [candidate for candidate in candidates if candidate.ttft_ms > 0]
    if len(measured) < MIN_MEASURED:
        return {}
    median_ms = statistics.median(candidate.ttft_ms for candidate in measured)
    slow = [
        candidate
        for candidate in measured
        if candidate.ttft_ms > median_ms * SLOW_TTFT_RATIO
        and candidate.ttft_ms > median_ms + SLOW_TTFT_MARGIN_MS
    ]
    slow.sort(key=lambda candidate: candidate.ttft_ms, reverse=True)
    max_slow = len(candidates) // SLOW_SHARE_DIVISOR
    return {
        candidate.name: min(MAX_SLOW_PENALTY, candidate.ttft_ms / median_ms)
        for candidate in slow[:max_slow]
    }


def weighted_load(candidate: Candidate, penalties: dict[str, float]) -> float:
    """Return the score after one more request, scaled for slow endpoints."""
    next_load_ratio = (candidate.load + 1) / max(1, candidate.limit)
    return next_load_ratio * penalties.get(candidate.name, 1.0)


def power_of_two_choices(
    candidates: Sequence[Candidate],
    penalties: dict[str, float],
    random: Random,
) -> Candidate:
    """Return the better one of two drawn endpoints."""
    if len(candidates) == 1:
        return candidates[0]
    if random.random() < PROBE_SHARE:
        return random.choice(candidates)
    pair = random.sample(candidates, 2)
    return min(pair, key=lambda candidate: weighted_load(candidate, penalties))


def choose_by_prefix(
    candidates: Sequence[Candidate],
    penalties: dict[str, float],
) -> Candidate | None:
    """Return the holder of the longest prefix within the bound."""
    total = sum(candidate.load for candidate in candidates) + 1
    bound = math.ceil(AFFINITY_BOUND * total / len(candidates))
    holders = [
        candidate
        for candidate in candidates
        if candidate.prefix_blocks
        and candidate.load + 1 <= bound
        and candidate.load_ratio < 1
        and candidate.name not in penalties
    ]
    return min(
        holders,
        key=lambda candidate: (-candidate.prefix_blocks, candidate.load_ratio),
        default=None,
    )


def choose_any_domain(
    candidates: Sequence[Candidate],
    penalties: dict[str, float],
    random: Random,
) -> Candidate:
    """Choose without regard to failure domains."""
    holder = choose_by_prefix(candidates, penalties)
    if holder is not None:
        return holder
    return power_of_two_choices(candidates, penalties, random)


def choose_candidate(
    candidates: Sequence[Candidate],
    preference: LocalityPreference,
    random: Random,
) -> Candidate | None:
    """Return the endpoint for a request; None without candidates."""
    if not candidates:
        return None
    penalties = slow_penalties(candidates)
    same_domain = [
        candidate
        for candidate in candidates
        if candidate.failure_domain == preference.failure_domain
    ]
    if not same_domain:
        return choose_any_domain(candidates, penalties, random)
    local = choose_any_domain(same_domain, penalties, random)
    if weighted_load(local, penalties) <= preference.spill_ratio:
        return local
    any_domain = choose_any_domain(candidates, penalties, random)
    return min(
        local,
        any_domain,
        key=lambda candidate: weighted_load(candidate, penalties),
    )
