"""Capped exponential backoff with full jitter.

Full jitter spreads the retries of many callers over the whole interval, so
that they don't all reach an endpoint that has just recovered at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

GROWTH_FACTOR: Final = 2.0
# Bounds the exponent; the cap is reached after far fewer doublings.
MAX_DOUBLINGS: Final = 32


@dataclass(frozen=True, slots=True)
class BackoffOptions:
    """Delay after the first failed attempt, and the maximum delay."""

    base_s: float = 0.02
    cap_s: float = 1.0


def max_backoff_s(options: BackoffOptions, attempt: int) -> float:
    """Return the maximum delay after a failed attempt, counted from 1.

    >>> options = BackoffOptions(0.5, 3.0)
    >>> [max_backoff_s(options, attempt) for attempt in (1, 2, 3, 4)]
    [0.5, 1.0, 2.0, 3.0]
    """
    doublings = min(max(attempt, 1) - 1, MAX_DOUBLINGS)
    return min(options.cap_s, options.base_s * GROWTH_FACTOR**doublings)


def backoff_s(
    options: BackoffOptions,
    attempt: int,
    uniform: Callable[[float, float], float],
) -> float:
    """Return a delay drawn uniformly between 0 and `max_backoff_s`."""
    return uniform(0, max_backoff_s(options, attempt))
