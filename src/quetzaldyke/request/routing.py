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
SLOW_RATIO: Final = 2.0
# Differences below this are noise of scheduling, not a slow endpoint.
SLOW_MARGIN_MS: Final = 20.0
# Median and ratio say nothing with fewer measured endpoints.
MIN_MEASURED: Final = 3
# At most this share of a pool is down-weighted, so that the others are not
# overloaded by a wrong verdict.
MAX_SLOW_PART: Final = 3
MAX_SLOW_FACTOR: Final = 8.0
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
    def score(self) -> float:
        """Return the load as a share of what the endpoint can run."""
        return self.load / max(1, self.limit)


@dataclass(frozen=True, slots=True)
class Preference:
    """Where the entry stands and when it looks further."""

    failure_domain: str
    spill_ratio: float


def slow_factors(candidates: Sequence[Candidate]) -> dict[str, float]:
    """Return how much busier slow endpoints are made to look.

    >>> pool = [Candidate(f'e{ms}', 'a', 0, 8, ms) for ms in (50, 52, 54, 400)]
    >>> slow_factors(pool)
    {'e400': 7.547169811320755}
    """
    measured = [one for one in candidates if one.ttft_ms > 0]
    if len(measured) < MIN_MEASURED:
        return {}
    median_ms = statistics.median(one.ttft_ms for one in measured)
    slow = [
        one
        for one in measured
        if one.ttft_ms > median_ms * SLOW_RATIO
        and one.ttft_ms > median_ms + SLOW_MARGIN_MS
    ]
    slow.sort(key=lambda one: one.ttft_ms, reverse=True)
    most = len(candidates) // MAX_SLOW_PART
    return {
        one.name: min(MAX_SLOW_FACTOR, one.ttft_ms / median_ms)
        for one in slow[:most]
    }


def weighted(candidate: Candidate, factors: dict[str, float]) -> float:
    """Return the score after one more request, scaled for slow endpoints."""
    after = (candidate.load + 1) / max(1, candidate.limit)
    return after * factors.get(candidate.name, 1.0)


def two_choices(
    candidates: Sequence[Candidate],
    factors: dict[str, float],
    random: Random,
) -> Candidate:
    """Return the better one of two drawn endpoints."""
    if len(candidates) == 1:
        return candidates[0]
    if random.random() < PROBE_SHARE:
        return random.choice(candidates)
    pair = random.sample(candidates, 2)
    return min(pair, key=lambda one: weighted(one, factors))


def with_prefix(
    candidates: Sequence[Candidate],
    factors: dict[str, float],
) -> Candidate | None:
    """Return the holder of the longest prefix within the bound."""
    total = sum(one.load for one in candidates) + 1
    bound = math.ceil(AFFINITY_BOUND * total / len(candidates))
    holders = [
        one
        for one in candidates
        if one.prefix_blocks
        and one.load + 1 <= bound
        and one.score < 1
        and one.name not in factors
    ]
    return min(
        holders,
        key=lambda one: (-one.prefix_blocks, one.score),
        default=None,
    )


def choose_among(
    candidates: Sequence[Candidate],
    factors: dict[str, float],
    random: Random,
) -> Candidate:
    """Choose without regard to failure domains."""
    holder = with_prefix(candidates, factors)
    if holder is not None:
        return holder
    return two_choices(candidates, factors, random)


def choose(
    candidates: Sequence[Candidate],
    preference: Preference,
    random: Random,
) -> Candidate | None:
    """Return the endpoint for a request; None without candidates."""
    if not candidates:
        return None
    factors = slow_factors(candidates)
    near = [
        one
        for one in candidates
        if one.failure_domain == preference.failure_domain
    ]
    if not near:
        return choose_among(candidates, factors, random)
    local = choose_among(near, factors, random)
    if weighted(local, factors) <= preference.spill_ratio:
        return local
    wider = choose_among(candidates, factors, random)
    return min(local, wider, key=lambda one: weighted(one, factors))
