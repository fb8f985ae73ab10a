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
    ran_of,
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
    text = ''.join(one.text for one in events if isinstance(one, AnswerText))
    tokens = sum(one.tokens for one in events if isinstance(one, AnswerText))
    raw = b''.join(one.raw for one in events if isinstance(one, AnswerBytes))
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
        events.append(Refusal(status, code, message, ran_of(ran)))
    return OutcomeRecord(fingerprint, events)
