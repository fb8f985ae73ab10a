"""Pauses between tries: exponential, capped, with full jitter.

Full jitter spreads the retries of many callers over the whole interval, so
that they don't arrive together at the endpoint that just recovered.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

FACTOR: Final = 2.0
# Keeps the exponent in range; the cap applies long before.
MAX_DOUBLINGS: Final = 32


@dataclass(frozen=True, slots=True)
class BackoffOptions:
    """Bounds of the pauses."""

    base_s: float = 0.02
    cap_s: float = 1.0


def max_backoff_s(options: BackoffOptions, attempt: int) -> float:
    """Return the longest pause after the given failed attempt (from 1).

    >>> options = BackoffOptions(0.5, 3.0)
    >>> [max_backoff_s(options, attempt) for attempt in (1, 2, 3, 4)]
    [0.5, 1.0, 2.0, 3.0]
    """
    doublings = min(max(attempt, 1) - 1, MAX_DOUBLINGS)
    return min(options.cap_s, options.base_s * FACTOR**doublings)


def backoff_s(
    options: BackoffOptions,
    attempt: int,
    uniform: Callable[[float, float], float],
) -> float:
    """Return a pause drawn evenly between zero and the ceiling."""
    return uniform(0, max_backoff_s(options, attempt))
