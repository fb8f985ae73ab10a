"""Stored form of the outcome of a non-idempotent request.

It holds the request's fingerprint, so that a key that is used again for
another request is noticed instead of getting the first one's answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import msgpack

from quetzaldyke.request.outcome import (
    AnswerBytes,
    AnswerEnd,
    AnswerEvent,
    AnswerText,
    Refusal,
    parse_ran,
)

ANSWER: Final = 'answer'
REFUSAL: Final = 'refusal'


@dataclass(frozen=True, slots=True)
class OutcomeRecord:
    """A recorded outcome and the request that it belongs to."""

    fingerprint: str
    events: list[AnswerEvent]


def pack_outcome(fingerprint: str, events: list[AnswerEvent]) -> bytes:
    """Return the stored form of an answer's events."""
    text = ''.join(
        event.text for event in events if isinstance(event, AnswerText)
    )
    tokens = sum(
        event.tokens for event in events if isinstance(event, AnswerText)
    )
    raw = b''.join(
        event.raw for event in events if isinstance(event, AnswerBytes)
    )
    last = events[-1]
    match last:
        case AnswerEnd():
            fields: list[object] = [
                last.status,
                last.headers,
                last.body,
                last.finish_reason,
                last.prompt_tokens,
                last.completion_tokens,
            ]
            row = [ANSWER, fingerprint, text, tokens, raw, fields]
        case Refusal():
            fields = [last.status, last.code, last.message, last.ran]
            row = [REFUSAL, fingerprint, text, tokens, raw, fields]
        case _:
            raise ValueError('the events have no end')
    return bytes(msgpack.packb(row))


def unpack_outcome(stored: bytes) -> OutcomeRecord:
    """Return a recorded outcome."""
    kind, fingerprint, text, tokens, raw, fields = msgpack.unpackb(stored)
    events: list[AnswerEvent] = []
    if text:
        events.append(AnswerText(text, tokens))
    if raw:
        events.append(AnswerBytes(raw))
    if kind == ANSWER:
        events.append(AnswerEnd(*fields))
    else:
        status, code, message, ran = fields
        events.append(Refusal(status, code, message, parse_ran(ran)))
    return OutcomeRecord(fingerprint, events)
