"""Decides after a failed attempt whether another endpoint may be tried."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.messages import Failed, Ran
from quetzaldyke.request.deadline import DEADLINE_REASON
from quetzaldyke.request.model import OnlineRequest
from quetzaldyke.request.outcome import CRASHES_ENDPOINTS, ran_of

# A request that fails everywhere for a reason of its own ends here even
# when the budget would allow more.
MAX_ATTEMPTS: Final = 8
# Failures that no other endpoint would answer differently.
FINAL_REASONS: Final = frozenset((CRASHES_ENDPOINTS, DEADLINE_REASON))
# A sidecar that leaves refuses new work; moving on is no sign of overload,
# so it costs nothing of the retry budget.
FREE_REASONS: Final = frozenset(('leaving', 'draining'))


@dataclass(slots=True)
class Progress:
    """What all attempts of one request have led to."""

    attempt: int = 0
    texts: list[str] = field(default_factory=list)
    tokens: int = 0
    raws: list[bytes] = field(default_factory=list)
    ran: Ran = 'not_run'
    failed_on: set[str] = field(default_factory=set)

    @property
    def begun(self) -> bool:
        """Tell whether the caller already has a part of the answer."""
        return bool(self.texts)

    def note_failure(self, endpoint: str, failed: Failed) -> None:
        """Add one failed attempt."""
        self.failed_on.add(endpoint)
        self.raws.clear()
        self.ran = combine(self.ran, ran_of(failed.ran))


def combine(first: Ran, second: Ran) -> Ran:
    """Return the statement that is true of two attempts together.

    >>> combine('not_run', 'unknown'), combine('unknown', 'ran')
    ('unknown', 'ran')
    """
    for certain in ('ran', 'unknown'):
        if certain in {first, second}:
            return ran_of(certain)
    return 'not_run'


def may_retry(
    request: OnlineRequest,
    progress: Progress,
    failed: Failed,
) -> bool:
    """Tell whether another attempt is safe, budget and time aside."""
    if failed.reason in FINAL_REASONS or progress.attempt >= MAX_ATTEMPTS:
        return False
    if failed.ran == 'not_run':
        return True
    return request.idempotent


def is_free(failed: Failed) -> bool:
    """Tell whether the retry is left out of the budget."""
    return failed.ran == 'not_run' and failed.reason in FREE_REASONS
