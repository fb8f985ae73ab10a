"""Chooses an endpoint for a request among the candidates that can run it.

Power-of-two-choices over the estimated loads prevents all entries from
sending to the endpoint with the lowest load in its last report. Endpoints
of the entry's own failure domain are preferred until they are busy. Prefix
affinity applies only below a load bound, and the load of slow endpoints is
multiplied by a penalty.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

# Prefix affinity may load an endpoint up to this multiple of the mean load.
AFFINITY_BOUND: Final = 1.25
# An endpoint is slow when its time to first token exceeds this multiple of
# the pool's median. With evenly spread load, queueing alone stays below it.
SLOW_TTFT_RATIO: Final = 2.0
# Smaller differences from the median are scheduling noise.
SLOW_TTFT_MARGIN_MS: Final = 20.0
# With fewer measured endpoints the median is not meaningful.
MIN_MEASURED: Final = 3
# At most one in this many candidates gets a penalty, so that a wrong
# classification does not overload the others.
SLOW_SHARE_DIVISOR: Final = 3
MAX_SLOW_PENALTY: Final = 8.0
# Fraction of choices that ignore load and penalties, so that a slow endpoint
# that has recovered is measured again.
PROBE_SHARE: Final = 0.02


@dataclass(frozen=True, slots=True)
class Candidate:
    """Load and latency of an endpoint that can run the request."""

    name: str
    failure_domain: str
    load: int  # running and queued requests
    limit: int  # maximum of concurrently running requests
    ttft_ms: float = 0.0  # 0 if not measured
    prefix_blocks: int = 0  # cached leading blocks of the prompt

    @property
    def load_ratio(self) -> float:
        """Return the load divided by the concurrency limit."""
        return self.load / max(1, self.limit)


@dataclass(frozen=True, slots=True)
class LocalityPreference:
    """Own failure domain, and the load ratio above which others are used."""

    failure_domain: str
    spill_ratio: float


def slow_penalties(candidates: Sequence[Candidate]) -> dict[str, float]:
    """Return load multipliers of the slow endpoints, by endpoint name.

    The result is empty when too few endpoints have been measured.

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
    """Return the load ratio with one more request, times any penalty."""
    next_load_ratio = (candidate.load + 1) / max(1, candidate.limit)
    return next_load_ratio * penalties.get(candidate.name, 1.0)


def power_of_two_choices(
    candidates: Sequence[Candidate],
    penalties: dict[str, float],
    random: Random,
) -> Candidate:
    """Return the less loaded of two random candidates.

    A fraction `PROBE_SHARE` of the choices is purely random.
    """
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
    """Return the candidate with the longest cached prefix, if any.

    Slow or full candidates, and those over the affinity bound, are skipped.
    `candidates` must not be empty.
    """
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
    """Choose by prefix, else by load, regardless of failure domains."""
    holder = choose_by_prefix(candidates, penalties)
    if holder is not None:
        return holder
    return power_of_two_choices(candidates, penalties, random)


def choose_candidate(
    candidates: Sequence[Candidate],
    preference: LocalityPreference,
    random: Random,
) -> Candidate | None:
    """Return the candidate for a request, or None if there are none.

    Other failure domains are considered when the own one has no candidate
    or its choice exceeds the spill ratio.
    """
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
