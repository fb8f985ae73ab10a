"""Serialises the outcome of a non-idempotent request.

The record contains the request's fingerprint, so that the reuse of a key
for another request is detected instead of getting the first answer.
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
    """Recorded events and the fingerprint of their request."""

    fingerprint: str
    events: list[AnswerEvent]


def pack_outcome(fingerprint: str, events: list[AnswerEvent]) -> bytes:
    """Serialise events; the last must be an end or a refusal.

    Raises ValueError otherwise.
    """
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
            raise ValueError('the last event is not AnswerEnd or Refusal')
    return bytes(msgpack.packb(row))


def unpack_outcome(stored: bytes) -> OutcomeRecord:
    """Return the outcome that `pack_outcome` serialised."""
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
