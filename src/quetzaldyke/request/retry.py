"""Tracks the attempts of a request and decides whether it may be retried."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.messages import CRASHES_ENDPOINTS, Failed, Ran
from quetzaldyke.request.model import OnlineRequest
from quetzaldyke.request.outcome import (
    DEADLINE_REASONS,
    parse_ran,
)

# Bounds the retries of a request that fails on every endpoint for a reason
# of its own, even if the retry budget would allow more.
MAX_ATTEMPTS: Final = 8
# Failures that would recur on any other endpoint.
ANSWER_TOO_LARGE: Final = 'the answer is too large'
NON_RETRYABLE_REASONS: Final = DEADLINE_REASONS | {
    CRASHES_ENDPOINTS,
    ANSWER_TOO_LARGE,
}
# A sidecar that is shutting down refuses new work. A retry after that is no
# sign of overload and is not charged to the retry budget.
BUDGET_EXEMPT_REASONS: Final = frozenset(('endpoint is leaving',))


def not_attempted() -> Failed:
    """Return the initial failure of a request without any attempt."""
    return Failed('', 'not_run', 'no attempt was made')


@dataclass(slots=True)
class Progress:
    """Accumulated output and failures of all attempts of a request."""

    arrived_s: float = 0.0
    started_s: float = 0.0
    attempt: int = 0
    texts: list[str] = field(default_factory=list)
    tokens: int = 0
    # Start index in `texts` and token count of the current attempt.
    attempt_text_start: int = 0
    attempt_tokens: int = 0
    raw_chunks: list[bytes] = field(default_factory=list)
    raw_size: int = 0
    ran: Ran = 'not_run'
    failed_endpoints: set[str] = field(default_factory=set)
    failure: Failed = field(default_factory=not_attempted)
    completed: bool = False

    def begin_attempt(self) -> None:
        """Start an attempt that continues the text received so far."""
        self.attempt += 1
        self.attempt_text_start = len(self.texts)
        self.attempt_tokens = 0

    def add_text(self, text: str, tokens: int) -> None:
        """Add text that is relayed to the caller."""
        self.texts.append(text)
        self.tokens += tokens
        self.attempt_tokens += tokens

    def add_raw(self, raw: bytes) -> None:
        """Buffer body bytes of a plain service's answer."""
        self.raw_chunks.append(raw)
        self.raw_size += len(raw)

    def record_failure(self, endpoint: str, failed: Failed) -> None:
        """Record a failed attempt and discard its buffered bytes."""
        self.failure = failed
        self.failed_endpoints.add(endpoint)
        self.raw_chunks.clear()
        self.raw_size = 0
        self.ran = combine_ran(self.ran, parse_ran(failed.ran))


def unsent_text(progress: Progress, failed: Failed) -> tuple[str, int]:
    """Return a failed attempt's text and tokens that no chunk delivered.

    The failure carries the attempt's complete text, so text that was still
    buffered at the sidecar need not be generated again. The
    result is empty if that text does not continue the received chunks.
    """
    if not failed.partial_text:
        return '', 0
    sent = ''.join(progress.texts[progress.attempt_text_start :])
    if not failed.partial_text.startswith(sent):
        return '', 0
    tokens = failed.partial_tokens - progress.attempt_tokens
    return failed.partial_text[len(sent) :], max(0, tokens)


def combine_ran(first: Ran, second: Ran) -> Ran:
    """Return whether either of two attempts ran, as far as is known.

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
    """Return whether a retry is safe and could succeed.

    The retry budget and the deadline are checked separately.
    """
    if (
        failed.reason in NON_RETRYABLE_REASONS
        or progress.attempt >= MAX_ATTEMPTS
    ):
        return False
    if failed.ran == 'not_run':
        return True
    return request.idempotent


def is_budget_exempt(failed: Failed) -> bool:
    """Return whether the retry is not charged to the retry budget."""
    return failed.ran == 'not_run' and failed.reason in BUDGET_EXEMPT_REASONS
