"""Generates seeded open-loop arrivals: a base load with bursts.

Latency is measured from the intended start of a request. Otherwise a stall
of the system or of the load driver would be hidden by requests that are sent
late (coordinated omission).
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

# Prompts share prefixes, as the turns of a conversation do.
PREFIX_COUNT: Final = 12
PREFIX_WORDS: Final = 60
MAX_OWN_WORDS: Final = 40


@dataclass(frozen=True, slots=True)
class Burst:
    """An interval with a different arrival rate."""

    start_s: float
    end_s: float
    rate_per_s: float


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of the online load of one run."""

    seed: int
    duration_s: float
    rate_per_s: float
    bursts: tuple[Burst, ...]
    mean_tokens: int

    def rate_at(self, at_s: float) -> float:
        """Return the arrival rate at a time of the run."""
        for burst in self.bursts:
            if burst.start_s <= at_s < burst.end_s:
                return burst.rate_per_s
        return self.rate_per_s

    def in_burst(self, at_s: float) -> bool:
        """Return whether a time of the run is in a burst."""
        return any(burst.start_s <= at_s < burst.end_s for burst in self.bursts)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One online request and its intended start."""

    at_s: float
    prompt: str
    max_tokens: int
    in_burst: bool


def prefix_text(number: int) -> str:
    """Return the prompt prefix that a conversation shares."""
    return ' '.join(f'p{number}w{word}' for word in range(PREFIX_WORDS))


def arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Yield the requests of a run, which depend only on the plan."""
    rng = random.Random(plan.seed)  # noqa: S311
    at_s = 0.0
    number = 0
    while True:
        at_s += rng.expovariate(plan.rate_at(at_s))
        if at_s >= plan.duration_s:
            return
        number += 1
        word_count = rng.randint(1, MAX_OWN_WORDS)
        words = ' '.join(f'r{number}t{word}' for word in range(word_count))
        prefix = prefix_text(rng.randrange(PREFIX_COUNT))
        tokens = rng.randint(
            max(1, plan.mean_tokens // 2),
            plan.mean_tokens * 3 // 2,
        )
        yield Arrival(
            at_s,
            f'{prefix} {words}',
            tokens,
            plan.in_burst(at_s),
        )
