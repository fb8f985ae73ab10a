"""Defines the events that a caller gets: answer parts, an end or a refusal.

A refusal always states whether the request ran, so that the caller knows
whether a retry is safe.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.connection.messages import CRASHES_ENDPOINTS, Failed, Ran

HTTP_OK: Final = 200
HTTP_BAD_REQUEST: Final = 400
HTTP_UNAUTHORIZED: Final = 401
HTTP_NOT_FOUND: Final = 404
HTTP_REQUEST_TIMEOUT: Final = 408
HTTP_CONFLICT: Final = 409
HTTP_TOO_LARGE: Final = 413
HTTP_UNPROCESSABLE: Final = 422
HTTP_TOO_MANY: Final = 429
HTTP_BAD_GATEWAY: Final = 502
HTTP_UNAVAILABLE: Final = 503
HTTP_TIMEOUT: Final = 504
MS_IN_S: Final = 1000

# Failure reasons for a missed deadline: by the entry and by the sidecar.
DEADLINE_REASONS: Final = frozenset(('deadline', 'deadline has passed'))

ERROR_TYPES: Final[Mapping[int, str]] = {
    HTTP_UNAUTHORIZED: 'authentication_error',
    HTTP_NOT_FOUND: 'not_found_error',
    HTTP_TOO_MANY: 'rate_limit_error',
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """Error that ends a request: HTTP status, code and whether it ran."""

    status: int
    code: str
    message: str
    ran: Ran
    retry_after_ms: int = 0

    @property
    def error_type(self) -> str:
        """Return the error type that client libraries expect for the status."""
        if self.status >= HTTP_BAD_GATEWAY:
            return 'unavailable_error'
        return ERROR_TYPES.get(self.status, 'invalid_request_error')

    def body(self, request_id: str) -> dict[str, dict[str, str]]:
        """Return the JSON error document."""
        return {
            'error': {
                'message': self.message,
                'type': self.error_type,
                'code': self.code,
                'ran': self.ran,
                'request_id': request_id,
            },
        }

    def headers(self) -> dict[str, str]:
        """Return a `retry-after` header if a retry may succeed."""
        if not self.retry_after_ms:
            return {}
        # Rounded up to whole seconds: zero would cause an immediate retry.
        seconds = -(-self.retry_after_ms // MS_IN_S)
        return {'retry-after': str(seconds)}


@dataclass(frozen=True, slots=True)
class AnswerText:
    """Part of the generated text, in order."""

    text: str
    tokens: int


@dataclass(frozen=True, slots=True)
class AnswerBytes:
    """Body bytes of a plain service's answer."""

    raw: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """End of a complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int


AnswerEvent = AnswerText | AnswerBytes | AnswerEnd | Refusal


@dataclass(slots=True)
class CompleteAnswer:
    """A complete answer, assembled from its events."""

    end: AnswerEnd
    text: str = ''
    raw: bytes = b''


@dataclass(slots=True)
class AnswerParts:
    """Parts of an answer received so far."""

    texts: list[str] = field(default_factory=list)
    raw_chunks: list[bytes] = field(default_factory=list)


async def collect(
    events: AsyncIterator[AnswerEvent],
) -> CompleteAnswer | Refusal:
    """Return the complete answer, or the refusal that ended it."""
    parts = AnswerParts()
    async with aclosing(events) as open_events:  # type: ignore[type-var]
        async for event in open_events:
            match event:
                case AnswerText(text=text):
                    parts.texts.append(text)
                case AnswerBytes(raw=raw):
                    parts.raw_chunks.append(raw)
                case Refusal():
                    return event
                case AnswerEnd():
                    raw = b''.join((*parts.raw_chunks, event.body))
                    return CompleteAnswer(event, ''.join(parts.texts), raw)
    return incomplete('the answer ended without its end mark')


def incomplete(message: str) -> Refusal:
    """Return the refusal for an answer that cannot be completed."""
    return Refusal(HTTP_BAD_GATEWAY, 'incomplete', message, 'unknown')


def no_endpoint(pool: str, retry_after_ms: int) -> Refusal:
    """Return the refusal if no endpoint of the pool is available."""
    return Refusal(
        HTTP_UNAVAILABLE,
        'no_endpoint',
        f'no endpoint of {pool} is available',
        'not_run',
        retry_after_ms,
    )


def overloaded(pool: str, retry_after_ms: int) -> Refusal:
    """Return the refusal of a request that cannot start in time."""
    return Refusal(
        HTTP_UNAVAILABLE,
        'overloaded',
        f'the endpoints of {pool} are busy until after the deadline',
        'not_run',
        retry_after_ms,
    )


def deadline_exceeded(ran: Ran) -> Refusal:
    """Return the refusal of a request that missed its deadline."""
    return Refusal(
        HTTP_TIMEOUT,
        'deadline_exceeded',
        'the deadline passed before the answer was complete',
        ran,
    )


def crashes_endpoints(ran: Ran) -> Refusal:
    """Return the refusal of a request that crashes endpoints."""
    return Refusal(
        HTTP_UNPROCESSABLE,
        CRASHES_ENDPOINTS,
        'the request crashes the endpoints that run it',
        ran,
    )


def parse_ran(text: str) -> Ran:
    """Return a peer's `ran` value; unexpected values become `unknown`.

    >>> parse_ran('not_run'), parse_ran('perhaps')
    ('not_run', 'unknown')
    """
    if text == 'not_run':
        return 'not_run'
    return 'ran' if text == 'ran' else 'unknown'


def refusal_for_failure(failed: Failed, ran: Ran) -> Refusal:
    """Return the refusal for a request whose last attempt failed.

    `ran` covers all attempts; `failed` describes only the last one.
    """
    if failed.reason == CRASHES_ENDPOINTS:
        return crashes_endpoints(ran)
    if failed.reason in DEADLINE_REASONS:
        return deadline_exceeded(ran)
    if failed.reason == 'overloaded':
        return Refusal(
            HTTP_UNAVAILABLE,
            'overloaded',
            'the endpoints are busy until after the deadline',
            ran,
            failed.retry_after_ms,
        )
    status = HTTP_UNAVAILABLE if ran == 'not_run' else HTTP_BAD_GATEWAY
    return Refusal(
        status,
        'not_run' if ran == 'not_run' else 'endpoint_failed',
        failed.reason,
        ran,
        failed.retry_after_ms,
    )
