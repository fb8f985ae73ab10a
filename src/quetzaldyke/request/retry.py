"""Decides after a failed attempt whether another endpoint may be tried."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.messages import Failed, Ran
from quetzaldyke.request.model import OnlineRequest
from quetzaldyke.request.outcome import (
    CRASHES_ENDPOINTS,
    DEADLINE_REASONS,
    parse_ran,
)

# A request that fails everywhere for a reason of its own ends here even
# when the budget would allow more.
MAX_ATTEMPTS: Final = 8
# Failures that no other endpoint would answer differently.
ANSWER_TOO_LARGE: Final = 'the answer is too large'
NON_RETRYABLE_REASONS: Final = DEADLINE_REASONS | {
    CRASHES_ENDPOINTS,
    ANSWER_TOO_LARGE,
}
# A sidecar that leaves refuses new work; moving on is no sign of overload,
# so it costs nothing of the retry budget.
BUDGET_EXEMPT_REASONS: Final = frozenset(('endpoint is leaving',))


def not_attempted() -> Failed:
    """Return the failure of a request before its first attempt."""
    return Failed('', 'not_run', 'no attempt was made')


@dataclass(slots=True)
class Progress:
    """What all attempts of one request have led to."""

    received_s: float = 0.0
    started_s: float = 0.0
    attempt: int = 0
    texts: list[str] = field(default_factory=list)
    tokens: int = 0
    # Where the present attempt's part of the text begins.
    attempt_text_start: int = 0
    attempt_tokens: int = 0
    raw_chunks: list[bytes] = field(default_factory=list)
    raw_size: int = 0
    ran: Ran = 'not_run'
    failed_endpoints: set[str] = field(default_factory=set)
    last_failure: Failed = field(default_factory=not_attempted)
    completed: bool = False

    def begin_attempt(self) -> None:
        """Count an attempt; it continues after the text so far."""
        self.attempt += 1
        self.attempt_text_start = len(self.texts)
        self.attempt_tokens = 0

    def add_text(self, text: str, tokens: int) -> None:
        """Add text that the caller gets."""
        self.texts.append(text)
        self.tokens += tokens
        self.attempt_tokens += tokens

    def add_raw(self, raw: bytes) -> None:
        """Keep bytes of a plain service's answer."""
        self.raw_chunks.append(raw)
        self.raw_size += len(raw)

    def record_failure(self, endpoint: str, failed: Failed) -> None:
        """Add one failed attempt."""
        self.last_failure = failed
        self.failed_endpoints.add(endpoint)
        self.raw_chunks.clear()
        self.raw_size = 0
        self.ran = combine_ran(self.ran, parse_ran(failed.ran))


def unsent_text(progress: Progress, failed: Failed) -> tuple[str, int]:
    """Return text of a failed attempt that did not arrive in chunks.

    The failure carries the attempt's whole text; what was still waiting at
    the sidecar is not generated a second time.
    """
    if not failed.partial_text:
        return '', 0
    sent = ''.join(progress.texts[progress.attempt_text_start :])
    if not failed.partial_text.startswith(sent):
        return '', 0
    tokens = failed.partial_tokens - progress.attempt_tokens
    return failed.partial_text[len(sent) :], max(0, tokens)


def combine_ran(first: Ran, second: Ran) -> Ran:
    """Return the statement that is true of two attempts together.

    >>> combine_ran('not_run', 'unknown'), combine_ran('unknown', 'ran')
    ('unknown', 'ran')
    """
    for value in ('ran', 'unknown'):
        if value in {first, second}:
            return parse_ran(value)
    return 'not_run'


def may_retry(
    request: OnlineRequest,
    progress: Progress,
    failed: Failed,
) -> bool:
    """Tell whether another attempt is safe, budget and time aside."""
    if (
        failed.reason in NON_RETRYABLE_REASONS
        or progress.attempt >= MAX_ATTEMPTS
    ):
        return False
    if failed.ran == 'not_run':
        return True
    return request.idempotent


def is_budget_exempt(failed: Failed) -> bool:
    """Tell whether the retry is left out of the budget."""
    return failed.ran == 'not_run' and failed.reason in BUDGET_EXEMPT_REASONS
